/** Addition, replacement and restart of entry VMs. */
import {request} from 'undici';
import {describe, expect, it} from 'vitest';
import {Cluster} from '@wisteriarun/demo';
import {
  BUNDLE_LIMIT_MS,
  SERVICE,
  SMALL_CLUSTER,
  TEST_TIMEOUT_MS,
  longestGapMs,
  sleep,
  statusOf,
  runUnderLoad,
  waitUntil,
  wallMs,
} from './scenario.js';

/** Longest gap of a key while entry VMs are stopped gracefully in turn. */
const PLANNED_GAP_LIMIT_MS = 3_000;

/** Whether an entry VM answers a read with 200. */
async function answersReads(address: string): Promise<boolean> {
  const response = await request(`http://${address}/${SERVICE}/key-0`, {
    signal: AbortSignal.timeout(2_000),
  });
  await response.body.dump();
  return response.statusCode === 200;
}

describe('replacement of entry VMs', () => {
  // Guards against an entry VM that cannot start without the log.
  it(
    'started during a log outage: it gets the state from peers and serves',
    async () => {
      const result = await runUnderLoad({}, async ({cluster}) => {
        await cluster.setLogFault({outage: true});
        await cluster.addEntry({id: 'e4', zone: 'zone-a'});
        await waitUntil('e4 serves', BUNDLE_LIMIT_MS, () =>
          answersReads(cluster.entryAddress('e4')),
        );
        const {bundle, logAvailable} = await statusOf(cluster, 'e4');
        expect(bundle?.version).toBe(1);
        expect(logAvailable).toBe(false);
        await cluster.setLogFault({outage: false});
        await sleep(500);
      });
      expect(result.violations).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against state that only the replaced processes hold and that is lost
  // with them. Every promise is kept if there is no violation and no key is
  // unavailable for 3 s.
  it(
    'all replaced one after another under load: every promise kept',
    async () => {
      let startMs = 0;
      const result = await runUnderLoad(
        {settings: {limits: {shutdown_delay_ms: 300}}},
        async ({cluster, load}) => {
          startMs = wallMs();
          const live = SMALL_CLUSTER.entries.map(({id}) => id);
          for (const id of [...live]) {
            const next = `${id}-next`;
            await cluster.addEntry({id: next, zone: 'zone-a'});
            await waitUntil(`${next} serves`, BUNDLE_LIMIT_MS, () =>
              answersReads(cluster.entryAddress(next)),
            );
            live.splice(live.indexOf(id), 1, next);
            load.setEntries(live.map(entry => cluster.entryAddress(entry)));
            // Lets requests already sent to the old VM finish there.
            await sleep(300);
            // 0 is the exit code of a graceful stop.
            expect(await cluster.stopEntry(id)).toBe(0);
            await cluster.setVmListed(id, false);
          }
          await sleep(1_000);
        },
      );
      expect(result.violations).toEqual([]);
      expect(longestGapMs(result, startMs)).toBeLessThan(PLANNED_GAP_LIMIT_MS);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against the loss of committed state when no process is left.
  it(
    'all killed at once: restarted processes recover the newest bundle',
    async () => {
      const settings = {log: {snapshot_interval_ms: 1_000}};
      const cluster = await Cluster.start({...SMALL_CLUSTER, settings});
      try {
        await cluster.waitUntilServing(BUNDLE_LIMIT_MS);
        const before = await statusOf(cluster, 'e1');
        await waitUntil(
          'a snapshot is on the log',
          BUNDLE_LIMIT_MS,
          async () => {
            return ((await cluster.logCounters()).appends['snapshot'] ?? 0) > 0;
          },
        );
        // Appends a record after the snapshot; the recovered state must include it.
        const {version} = await cluster.publishBundle();
        const ids = SMALL_CLUSTER.entries.map(({id}) => id);
        await Promise.all(ids.map(id => cluster.killEntry(id)));
        // Keeps only the last three records. Without the start of the log, the
        // state can be recovered only from a snapshot and the records after it.
        await cluster.setLogFault({retainCount: 3});
        await Promise.all(ids.map(id => cluster.restartEntry(id)));
        await cluster.waitUntilServing(BUNDLE_LIMIT_MS);
        for (const id of ids) {
          const {bundle, offset} = await statusOf(cluster, id);
          expect(bundle?.version).toBe(version);
          expect(offset).toBeGreaterThanOrEqual(before.offset);
        }
      } finally {
        await cluster.close();
      }
    },
    TEST_TIMEOUT_MS,
  );
});
