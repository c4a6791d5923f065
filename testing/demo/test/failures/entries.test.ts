/** Failures of entry VMs that are the assigner or a dispatcher. */
import {describe, expect, it} from 'vitest';
import {
  RECOVERY_LIMIT_MS,
  TEST_TIMEOUT_MS,
  countAnsweredAfter,
  longestGapMs,
  createServerSpecs,
  sleep,
  runUnderLoad,
  waitUntil,
  wallMs,
  type ScenarioResult,
  type Scenario,
} from './scenario.js';

/** Kills an entry VM, sends the load to the others and waits for recovery. */
async function killEntry({cluster, load}: Scenario, entry: string) {
  const survivors = ['e1', 'e2', 'e3'].filter(id => id !== entry);
  const lostAtMs = wallMs();
  await cluster.killEntry(entry);
  // A load balancer would stop sending requests to the lost VM.
  load.setEntries(survivors.map(id => cluster.entryAddress(id)));
  await sleep(4_500);
  return {lostAtMs, survivors};
}

/** Asserts that no guarantee was violated and all keys are served again. */
function expectRecovered(result: ScenarioResult, lostAtMs: number) {
  expect(result.violations).toEqual([]);
  expect(longestGapMs(result, lostAtMs)).toBeLessThan(RECOVERY_LIMIT_MS);
  const answeredAfterRecovery = countAnsweredAfter(
    result,
    lostAtMs + RECOVERY_LIMIT_MS,
  );
  expect(answeredAfterRecovery).toBeGreaterThan(60);
}

describe('loss of an entry VM', () => {
  // Guards against a zone that is left without an assigner, and against POST
  // requests that run twice when callers resend them through another entry VM.
  it(
    'assigner killed: another takes the term, no POST runs twice',
    async () => {
      let lostAtMs = 0;
      const result = await runUnderLoad({}, async scenario => {
        const assigner = await scenario.assigner();
        const lost = await killEntry(scenario, assigner);
        lostAtMs = lost.lostAtMs;
        const seenBy = lost.survivors[0]!;
        expect(lost.survivors).toContain(
          await scenario.assigner('zone-a', seenBy),
        );
      });
      expectRecovered(result, lostAtMs);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against a dispatcher that is replaced too late, and against a new
  // dispatcher that runs a POST request again which the lost one had started.
  it(
    'dispatcher killed: its servers are served again, no resent POST runs twice',
    async () => {
      let lostAtMs = 0;
      const result = await runUnderLoad(
        {servers: SLOW_SERVERS},
        async scenario => {
          const {entry} = await scenario.nonAssignerDispatcher();
          ({lostAtMs} = await killEntry(scenario, entry));
        },
      );
      expectRecovered(result, lostAtMs);
      const resentPosts = result.attempts.filter(
        ({operation, tryNumber, startMs}) =>
          operation === 'post' && tryNumber > 0 && startMs >= lostAtMs,
      );
      expect(resentPosts.length).toBeGreaterThan(0);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against an assigner that, resumed after a pause, still acts on its
  // old term although another VM has taken the next one.
  it(
    'assigner frozen for 4 s: its old term changes nothing when it returns',
    async () => {
      let frozenAtMs = 0;
      let thawedAtMs = 0;
      let successorTerm = 0;
      const result = await runUnderLoad({}, async scenario => {
        const {cluster, load} = scenario;
        const assigner = await scenario.assigner();
        const others = ['e1', 'e2', 'e3'].filter(id => id !== assigner);
        frozenAtMs = wallMs();
        cluster.freezeEntry(assigner);
        load.setEntries(others.map(id => cluster.entryAddress(id)));
        await sleep(4_000);
        const {terms} = await scenario.status(others[0]!);
        successorTerm = terms[0]!.term;
        expect(terms[0]!.holder.startsWith(`${assigner}.`)).toBe(false);
        thawedAtMs = wallMs();
        cluster.thawEntry(assigner);
        load.setEntries(cluster.entryAddresses());
        await waitUntil(
          'the former assigner knows the new term',
          3_000,
          async () =>
            (await scenario.status(assigner)).terms.some(
              ({term}) => term >= successorTerm,
            ),
        );
        await sleep(2_000);
      });
      expectRecovered(result, frozenAtMs);
      const staleLeases = result.records.filter(
        record =>
          record.kind === 'lease' &&
          record.wallMs >= thawedAtMs &&
          record.term < successorTerm,
      );
      expect(staleLeases).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against a paused dispatcher that resumes and sends its queued
  // requests to servers that have another dispatcher by now.
  it(
    'dispatcher frozen for 4 s: its queued requests are refused, none runs twice',
    async () => {
      let frozenAtMs = 0;
      const result = await runUnderLoad(
        {servers: SLOW_SERVERS},
        async scenario => {
          const {cluster, load} = scenario;
          const {entry} = await scenario.nonAssignerDispatcher();
          const others = ['e1', 'e2', 'e3'].filter(id => id !== entry);
          frozenAtMs = wallMs();
          cluster.freezeEntry(entry);
          load.setEntries(others.map(id => cluster.entryAddress(id)));
          await sleep(4_000);
          cluster.thawEntry(entry);
          load.setEntries(cluster.entryAddresses());
          await sleep(2_500);
        },
      );
      expectRecovered(result, frozenAtMs);
    },
    TEST_TIMEOUT_MS,
  );
});

/** Servers so slow that some requests are in progress at any time. */
const SLOW_SERVERS = createServerSpecs(3, {slots: 8, serviceTimeMs: 80});
