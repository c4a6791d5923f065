/** Requests that crash any server that runs them. */
import {request} from 'undici';
import {describe, expect, it} from 'vitest';
import {CRASH_HEADER, selectRunRecords, uuidv7} from '@wisteriarun/standins';
import {
  RECOVERY_LIMIT_MS,
  SERVICE,
  TEST_TIMEOUT_MS,
  longestGapMs,
  createServerSpecs,
  sleep,
  runUnderLoad,
  waitUntil,
  wallMs,
} from './scenario.js';

/** Largest number of servers that one request may crash. */
const MAX_CRASHES = 2;
/** Times that the request is sent unless it is refused with 422 before. */
const MAX_TRIES = 8;

describe('crashing request', () => {
  // Guards against a request that crashes one server after another because
  // each entry VM counts its crashes separately.
  it.each(['GET', 'POST'] as const)(
    '%s resent through all entries: at most two servers crash, then 422',
    async method => {
      const key = 'poison';
      let firstMs = 0;
      const result = await runUnderLoad(
        {servers: createServerSpecs(4)},
        async scenario => {
          const {cluster} = scenario;
          const addresses = cluster.entryAddresses();
          const idempotencyKey = uuidv7();
          let last: {status: number; reason: unknown} | null = null;
          firstMs = wallMs();
          for (let number = 0; number < MAX_TRIES; number++) {
            const address = addresses[number % addresses.length]!;
            const response = await request(
              `http://${address}/${SERVICE}/${key}`,
              {
                method,
                headers: {
                  [CRASH_HEADER]: '1',
                  'idempotency-key': idempotencyKey,
                  'request-timeout-ms': '4000',
                },
              },
            );
            await response.body.dump();
            last = {
              status: response.statusCode,
              reason: response.headers['wisteriarun-reason'],
            };
            if (last.status === 422) break;
            await sleep(200);
          }
          const crashed = cluster
            .serverSpecs()
            .filter(({id}) => !cluster.isRunning(id));
          expect(crashed.length).toBeGreaterThan(0);
          expect(crashed.length).toBeLessThanOrEqual(MAX_CRASHES);
          // A POST request that may have run is never run again, so its answer
          // may be another one than 422.
          if (method === 'GET') {
            expect(last).toEqual({status: 422, reason: 'crash-suspect'});
          }
          for (const address of addresses) {
            await waitUntil(
              `${key} is read through ${address}`,
              3_000,
              async () => {
                const response = await request(
                  `http://${address}/${SERVICE}/${key}`,
                );
                await response.body.dump();
                return response.statusCode === 200;
              },
            );
          }
          await sleep(500);
          const after = cluster
            .serverSpecs()
            .filter(({id}) => !cluster.isRunning(id));
          expect(after).toEqual(crashed);
        },
      );
      expect(result.violations).toEqual([]);
      const runsOfRequest = selectRunRecords(result.records).filter(
        run => run.key === key && run.method === method,
      );
      expect(runsOfRequest.length).toBeGreaterThan(0);
      expect(longestGapMs(result, firstMs)).toBeLessThan(
        MAX_CRASHES * RECOVERY_LIMIT_MS,
      );
    },
    TEST_TIMEOUT_MS,
  );
});
