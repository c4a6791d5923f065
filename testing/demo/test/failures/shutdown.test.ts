/** Graceful stops of entry VMs. */
import {createHash, randomBytes} from 'node:crypto';
import {Readable} from 'node:stream';
import {request} from 'undici';
import {beforeAll, describe, expect, it} from 'vitest';
import {
  SERVICE,
  TEST_TIMEOUT_MS,
  formatAttempts,
  sleep,
  runUnderLoad,
  vmIdOf,
  type ScenarioResult,
  type Scenario,
} from './scenario.js';

const UPLOAD_MS = 6_000;
const CHUNK_COUNT = 60;
const CHUNK_BYTES = 16 * 1024;
const DOWNLOAD_BYTES = 60_000;
const DEADLINE_HEADERS = {'request-timeout-ms': '30000'};

/**
 * Uploads random bytes over `UPLOAD_MS`. Returns the checksums of the bytes
 * that were sent and of those that the server received.
 */
async function upload(address: string, key: string) {
  const hash = createHash('sha256');
  async function* chunks() {
    for (let index = 0; index < CHUNK_COUNT; index++) {
      await sleep(UPLOAD_MS / CHUNK_COUNT);
      const chunk = randomBytes(CHUNK_BYTES);
      hash.update(chunk);
      yield chunk;
    }
  }
  const response = await request(`http://${address}/${SERVICE}/${key}`, {
    method: 'PUT',
    headers: {
      ...DEADLINE_HEADERS,
      'content-length': String(CHUNK_COUNT * CHUNK_BYTES),
    },
    body: Readable.from(chunks()),
  });
  const answer = (await response.body.json()) as {sha256?: string};
  return {
    status: response.statusCode,
    received: answer.sha256,
    sent: hash.digest('hex'),
  };
}

/** Reads a stored value slowly and returns the number of bytes received. */
async function download(address: string) {
  const response = await request(`http://${address}/${SERVICE}/download`, {
    headers: DEADLINE_HEADERS,
    highWaterMark: 1_024,
  });
  let sizeBytes = 0;
  for await (const chunk of response.body) {
    sizeBytes += (chunk as Buffer).length;
    await sleep(100);
  }
  return {status: response.statusCode, sizeBytes};
}

/** Stores the value that `download` reads. */
async function storeValue({cluster}: Scenario) {
  const body = `v1\n${'x'.repeat(DOWNLOAD_BYTES - 3)}`;
  const address = cluster.entryAddress('e1');
  const {statusCode} = await request(`http://${address}/${SERVICE}/download`, {
    method: 'PUT',
    headers: DEADLINE_HEADERS,
    body,
  });
  expect(statusCode).toBe(200);
}

interface StopResult {
  readonly result: ScenarioResult;
  readonly exitCode: number | null;
  readonly uploaded: Awaited<ReturnType<typeof upload>> | null;
  readonly downloaded: Awaited<ReturnType<typeof download>> | null;
}

/**
 * Finds a key that the load does not use, by its dispatcher.
 *
 * @param isDispatcher - Whether the entry VM must be the dispatcher of the
 *     key's server, or must not be.
 */
async function findUploadKey(
  scenario: Scenario,
  entry: string,
  isDispatcher: boolean,
) {
  for (let number = 0; ; number++) {
    const key = `upload-${number}`;
    const view = await scenario.operatorClient(entry).explain(SERVICE, key);
    if (view.isErr) throw new Error(view.error.kind);
    const dispatcher = view.value.dispatcher;
    if (dispatcher && (vmIdOf(dispatcher) === entry) === isDispatcher)
      return key;
    if (number > 1_000) throw new Error(`no upload key for ${entry}`);
  }
}

/**
 * Stops the entry VM that has the given role; for `dispatcher`, one that is not
 * the assigner.
 *
 * @param hasTransfers - Whether an upload and a download run through it
 *     meanwhile.
 */
async function stopUnderLoad(
  role: 'assigner' | 'dispatcher',
  hasTransfers: boolean,
): Promise<StopResult> {
  let stop: Omit<StopResult, 'result'> | null = null;
  const result = await runUnderLoad({}, async scenario => {
    const {cluster, load} = scenario;
    await storeValue(scenario);
    const stopping =
      role === 'assigner'
        ? await scenario.assigner()
        : (await scenario.nonAssignerDispatcher()).entry;
    const others = ['e1', 'e2', 'e3'].filter(id => id !== stopping);
    load.setEntries(others.map(id => cluster.entryAddress(id)));
    await sleep(500);
    const address = cluster.entryAddress(stopping);
    const key = await findUploadKey(scenario, stopping, role === 'dispatcher');
    const uploading = hasTransfers ? upload(address, key) : null;
    const downloading = hasTransfers ? download(address) : null;
    await sleep(1_000);
    const exit = cluster.stopEntry(stopping);
    const [uploaded, downloaded] = await Promise.all([uploading, downloading]);
    stop = {exitCode: await exit, uploaded, downloaded};
    await sleep(1_000);
  });
  return {result, ...stop!};
}

function failedAttempts({result}: StopResult): string[] {
  const {attempts} = result;
  const failed = attempts.filter(a => a.outcome !== 'answered');
  return formatAttempts(failed, attempts[0]!.startMs);
}

describe.each(['assigner', 'dispatcher'] as const)(
  'graceful stop of the %s',
  role => {
    // Guards against requests that fail while the role is handed over.
    it(
      'no request through other entries fails',
      async () => {
        const stop = await stopUnderLoad(role, false);
        expect(stop.exitCode).toBe(0);
        expect(stop.result.violations).toEqual([]);
        expect(failedAttempts(stop)).toEqual([]);
      },
      TEST_TIMEOUT_MS,
    );

    describe('during a 6 s upload and a slow download', () => {
      let stop: StopResult;

      beforeAll(async () => {
        stop = await stopUnderLoad(role, true);
      }, TEST_TIMEOUT_MS);

      // Guards against a stop that cuts off transfers in progress.
      it('both end whole, and the exit code is 0', () => {
        const {uploaded, downloaded, exitCode, result} = stop;
        expect(uploaded!.status).toBe(200);
        expect(uploaded!.received).toBe(uploaded!.sent);
        expect(downloaded).toEqual({status: 200, sizeBytes: DOWNLOAD_BYTES});
        expect(exitCode).toBe(0);
        expect(result.violations).toEqual([]);
      });

      // Guards against a handover that waits for the transfers to end, which
      // would delay all requests for the same servers.
      it('no request through other entries fails', () => {
        expect(failedAttempts(stop)).toEqual([]);
      });
    });
  },
);
