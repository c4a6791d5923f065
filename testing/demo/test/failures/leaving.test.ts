/** Batches of servers that leave because their support contract ends. */
import {describe, expect, it} from 'vitest';
import {
  IN_FORCE_MS,
  SERVED_AGAIN_MS,
  SMALL,
  TEST_TIMEOUT_MS,
  answeredAfter,
  brief,
  longestGapMs,
  serversOf,
  sleep,
  underLoad,
  until,
  type Result,
  type Scenario,
} from './scenario.js';

/**
 * Longest time after `leaveAtMs` in which servers of the batch may still get new
 * work (design, 3.8).
 */
const REFUSED_WITHIN_MS = 2_000;
const LEAVE_IN_MS = 5_000;
const LEAVING = ['s3', 's4'];
const SERVERS = serversOf(4).map(server => ({
  ...server,
  batch: LEAVING.includes(server.id) ? 'old' : 'new',
}));

async function leave({cluster}: Scenario): Promise<number> {
  const leaveAtMs = Math.round(Date.now() + LEAVE_IN_MS);
  await cluster.publishBundle({
    batches: [
      {id: 'new', state: 'serving'},
      {id: 'old', state: 'leaving', leaveAtMs},
    ],
  });
  return leaveAtMs;
}

async function untilInForce(scenario: Scenario) {
  const {version} = scenario.cluster.currentBundle();
  for (const {id} of SMALL.entries) {
    await until(`version ${version} at ${id}`, IN_FORCE_MS, async () => {
      return (await scenario.status(id)).bundle?.version === version;
    });
  }
}

function startedAtLeaving(result: Result, afterMs: number) {
  return result.runs.filter(
    ({server, effect, wallMs}) =>
      LEAVING.includes(server) && effect === 'started' && wallMs > afterMs,
  );
}

describe('leaving batch', () => {
  // Guards against shard moves that lose requests or cause stale reads, and
  // against work on servers whose support has ended.
  it(
    'its shards move out in time, and no request fails',
    async () => {
      let leaveAtMs = 0;
      const result = await underLoad({servers: SERVERS}, async scenario => {
        leaveAtMs = await leave(scenario);
        await sleep(LEAVE_IN_MS + REFUSED_WITHIN_MS + 2_000);
      });
      expect(result.violations).toEqual([]);
      expect(startedAtLeaving(result, 0).length).toBeGreaterThan(0);
      expect(startedAtLeaving(result, leaveAtMs + REFUSED_WITHIN_MS)).toEqual(
        [],
      );
      const failed = result.attempts.filter(a => a.outcome !== 'answered');
      expect(brief(failed, leaveAtMs)).toEqual([]);
      expect(longestGapMs(result, 0)).toBeLessThan(SERVED_AGAIN_MS);
      expect(answeredAfter(result, leaveAtMs)).toBeGreaterThan(100);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against a deadline that is enforced only through the log. Without
  // the log no shard can move, so dispatchers must refuse by their own clocks.
  it(
    'with the log down, its servers still get no new work',
    async () => {
      let leaveAtMs = 0;
      let backAtMs = 0;
      const result = await underLoad(
        {servers: SERVERS},
        async scenario => {
          leaveAtMs = await leave(scenario);
          await untilInForce(scenario);
          await scenario.cluster.setLogFault({outage: true});
          await sleep(leaveAtMs + REFUSED_WITHIN_MS + 2_000 - Date.now());
          backAtMs = Date.now();
          await scenario.cluster.setLogFault({outage: false});
          await sleep(4_000);
        },
        {timeoutMs: 2_000},
      );
      expect(result.violations).toEqual([]);
      expect(startedAtLeaving(result, leaveAtMs + REFUSED_WITHIN_MS)).toEqual(
        [],
      );
      // Every caller must learn whether its filing ran.
      const doubtful = result.attempts.filter(
        ({outcome, operation}) =>
          operation === 'post' &&
          outcome !== 'answered' &&
          outcome !== 'not-run',
      );
      expect(brief(doubtful, leaveAtMs)).toEqual([]);
      expect(longestGapMs(result, backAtMs)).toBeLessThan(SERVED_AGAIN_MS);
    },
    TEST_TIMEOUT_MS,
  );
});
