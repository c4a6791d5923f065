/** Batches of servers that leave because their support contract ends. */
import {describe, expect, it} from 'vitest';
import {
  BUNDLE_LIMIT_MS,
  RECOVERY_LIMIT_MS,
  SMALL_CLUSTER,
  TEST_TIMEOUT_MS,
  countAnsweredAfter,
  formatAttempts,
  longestGapMs,
  createServerSpecs,
  sleep,
  runUnderLoad,
  waitUntil,
  type ScenarioResult,
  type Scenario,
} from './scenario.js';

/**
 * Longest time after `leaveAtMs` in which servers of the batch may still get
 * new work (docs/design.md, section 3.8).
 */
const LEAVE_GRACE_MS = 2_000;
const LEAVE_IN_MS = 5_000;
const LEAVING_SERVERS = ['s3', 's4'];
const SERVERS = createServerSpecs(4).map(server => ({
  ...server,
  batch: LEAVING_SERVERS.includes(server.id) ? 'old' : 'new',
}));

async function publishLeavingBatch({cluster}: Scenario): Promise<number> {
  const leaveAtMs = Math.round(Date.now() + LEAVE_IN_MS);
  await cluster.publishBundle({
    batches: [
      {id: 'new', state: 'serving'},
      {id: 'old', state: 'leaving', leaveAtMs},
    ],
  });
  return leaveAtMs;
}

async function waitUntilBundleInForce(scenario: Scenario) {
  const {version} = scenario.cluster.currentBundle();
  for (const {id} of SMALL_CLUSTER.entries) {
    await waitUntil(
      `version ${version} at ${id}`,
      BUNDLE_LIMIT_MS,
      async () => {
        return (await scenario.status(id)).bundle?.version === version;
      },
    );
  }
}

function startedOnLeavingServers(result: ScenarioResult, sinceMs: number) {
  return result.runs.filter(
    ({server, effect, wallMs}) =>
      LEAVING_SERVERS.includes(server) &&
      effect === 'started' &&
      wallMs > sinceMs,
  );
}

describe('leaving batch', () => {
  // Guards against shard moves that lose requests or cause stale reads, and
  // against work on servers whose support has ended.
  it(
    'its shards move out in time, and no request fails',
    async () => {
      let leaveAtMs = 0;
      const result = await runUnderLoad({servers: SERVERS}, async scenario => {
        leaveAtMs = await publishLeavingBatch(scenario);
        // Runs the load for 2 s after the grace period, so that requests that
        // start too late are recorded.
        await sleep(LEAVE_IN_MS + LEAVE_GRACE_MS + 2_000);
      });
      expect(result.violations).toEqual([]);
      expect(startedOnLeavingServers(result, 0).length).toBeGreaterThan(0);
      expect(
        startedOnLeavingServers(result, leaveAtMs + LEAVE_GRACE_MS),
      ).toEqual([]);
      const failed = result.attempts.filter(a => a.outcome !== 'answered');
      expect(formatAttempts(failed, leaveAtMs)).toEqual([]);
      expect(longestGapMs(result, 0)).toBeLessThan(RECOVERY_LIMIT_MS);
      expect(countAnsweredAfter(result, leaveAtMs)).toBeGreaterThan(100);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against a `leaveAtMs` that is enforced only through the log. Without
  // the log no shard can move, so the dispatchers must refuse requests once
  // their own clocks reach that time.
  it(
    'with the log down, its servers still get no new work',
    async () => {
      let leaveAtMs = 0;
      let backAtMs = 0;
      const result = await runUnderLoad(
        {servers: SERVERS},
        async scenario => {
          leaveAtMs = await publishLeavingBatch(scenario);
          await waitUntilBundleInForce(scenario);
          await scenario.cluster.setLogFault({outage: true});
          // Runs the load for 2 s after the grace period, so that requests that
          // start too late are recorded.
          await sleep(leaveAtMs + LEAVE_GRACE_MS + 2_000 - Date.now());
          backAtMs = Date.now();
          await scenario.cluster.setLogFault({outage: false});
          await sleep(4_000);
        },
        // Shorter than the 4 s from `leaveAtMs` to the end of the outage, so that
        // the first refused requests end while the log is down. The default is
        // 5 s.
        {timeoutMs: 2_000},
      );
      expect(result.violations).toEqual([]);
      expect(
        startedOnLeavingServers(result, leaveAtMs + LEAVE_GRACE_MS),
      ).toEqual([]);
      // Every caller must know whether its POST request ran.
      const unknownOutcomes = result.attempts.filter(
        ({outcome, operation}) =>
          operation === 'post' &&
          outcome !== 'answered' &&
          outcome !== 'not-run',
      );
      expect(formatAttempts(unknownOutcomes, leaveAtMs)).toEqual([]);
      expect(longestGapMs(result, backAtMs)).toBeLessThan(RECOVERY_LIMIT_MS);
    },
    TEST_TIMEOUT_MS,
  );
});
