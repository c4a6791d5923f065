/** Failures of the log service, alone and combined with a server's loss. */
import {describe, expect, it} from 'vitest';
import {
  RECOVERY_LIMIT_MS,
  TEST_TIMEOUT_MS,
  countAnsweredAfter,
  longestGapMs,
  sleep,
  runUnderLoad,
  wallMs,
  type ScenarioResult,
} from './scenario.js';

const OUTAGE_MS = 10_000;
/**
 * Longest gap accepted for keys that the failure does not affect. It is far
 * below the outage, and as long as the design allows after a loss, so that the
 * test does not fail on a busy machine.
 */
const UNAFFECTED_GAP_LIMIT_MS = RECOVERY_LIMIT_MS;

function otherKeys(result: ScenarioResult, keys: ReadonlySet<string>) {
  return new Set(
    result.attempts.map(({key}) => key).filter(key => !keys.has(key)),
  );
}

describe('failures of the log', () => {
  // Guards against leases, dispatching or routing that need the log to work.
  it(
    'log down for 10 s: no key stops',
    async () => {
      let downAtMs = 0;
      const result = await runUnderLoad({}, async ({cluster}) => {
        downAtMs = wallMs();
        await cluster.setLogFault({outage: true});
        await sleep(OUTAGE_MS);
        await cluster.setLogFault({outage: false});
        await sleep(1_000);
      });
      expect(result.violations).toEqual([]);
      expect(longestGapMs(result, downAtMs)).toBeLessThan(
        UNAFFECTED_GAP_LIMIT_MS,
      );
      expect(countAnsweredAfter(result, downAtMs)).toBeGreaterThan(500);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against a takeover without a record accepted by the log, and against
  // shards that stay unserved after the log is available again.
  it.each(['killed', 'frozen'] as const)(
    'log down and a server %s: its shards wait for the log, others go on',
    async how => {
      let lostAtMs = 0;
      let backAtMs = 0;
      let lostKeys: ReadonlySet<string> = new Set();
      const result = await runUnderLoad(
        {},
        async scenario => {
          const {cluster} = scenario;
          lostKeys = await scenario.keysOwnedBy('s2');
          await cluster.setLogFault({outage: true});
          await sleep(500);
          lostAtMs = wallMs();
          if (how === 'killed') await cluster.killServer('s2');
          else cluster.freezeServer('s2');
          await sleep(5_000);
          backAtMs = wallMs();
          await cluster.setLogFault({outage: false});
          await sleep(4_000);
          if (how === 'frozen') cluster.thawServer('s2');
          await sleep(1_000);
        },
        // Ends the first requests for the lost keys while the log is down.
        {timeoutMs: 2_000},
      );
      expect(result.violations).toEqual([]);
      expect(lostKeys.size).toBeGreaterThan(3);
      const others = otherKeys(result, lostKeys);
      expect(longestGapMs(result, lostAtMs, others)).toBeLessThan(
        UNAFFECTED_GAP_LIMIT_MS,
      );
      const runsDuringOutage = result.runs.filter(
        ({key, effect, wallMs: atMs}) =>
          lostKeys.has(key) &&
          effect === 'done' &&
          // The server may complete requests until the signal reaches it.
          atMs > lostAtMs + 50 &&
          atMs < backAtMs,
      );
      expect(
        runsDuringOutage.map(({server, key}) => `${key} at ${server}`),
      ).toEqual([]);
      expect(longestGapMs(result, backAtMs, lostKeys)).toBeLessThan(
        RECOVERY_LIMIT_MS,
      );
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against an assigner that treats a lost answer as a failed append and
  // therefore appends again or assigns a shard to two servers.
  it(
    'answers of the log lost while a server is lost: one owner, served again',
    async () => {
      let lostAtMs = 0;
      let answersLost = 0;
      const result = await runUnderLoad({}, async ({cluster}) => {
        await cluster.setLogFault({loseAnswers: 3});
        lostAtMs = wallMs();
        await cluster.killServer('s2');
        await sleep(5_000);
        ({answersLost} = await cluster.logCounters());
      });
      expect(answersLost).toBeGreaterThan(0);
      expect(result.violations).toEqual([]);
      expect(longestGapMs(result, lostAtMs)).toBeLessThan(RECOVERY_LIMIT_MS);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against timeouts so short that a slow log counts as unavailable.
  it(
    'log slow by 300 ms while a server is lost: served again within 3 s',
    async () => {
      let lostAtMs = 0;
      const result = await runUnderLoad({}, async ({cluster}) => {
        await cluster.setLogFault({slowMs: 300});
        await sleep(1_000);
        lostAtMs = wallMs();
        await cluster.killServer('s2');
        await sleep(5_000);
      });
      expect(result.violations).toEqual([]);
      expect(longestGapMs(result, lostAtMs)).toBeLessThan(RECOVERY_LIMIT_MS);
    },
    TEST_TIMEOUT_MS,
  );
});
