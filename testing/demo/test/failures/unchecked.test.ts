/**
 * Loss of a dispatcher whose servers do not check grants (docs/design.md,
 * section 3.5).
 */
import {describe, expect, it} from 'vitest';
import {
  TEST_TIMEOUT_MS,
  SMALL_CLUSTER,
  createServerSpecs,
  sleep,
  runUnderLoad,
  wallMs,
} from './scenario.js';

/**
 * Longest request deadline. It is short so that a takeover waits only a short
 * time: requests of a lost dispatcher may run until their deadlines.
 */
const DEADLINE_MS = 2_000;
const OPTIONS = {
  servers: createServerSpecs(3, {
    slots: 8,
    serviceTimeMs: 60,
    checksGrants: false,
  }),
  services: SMALL_CLUSTER.services.map(service => ({
    ...service,
    longestDeadlineMs: DEADLINE_MS,
  })),
};

describe('servers that do not check grants', () => {
  // Guards against a new dispatcher that sends requests while some of the
  // former one may still arrive: the server would run both.
  it.each(['killed', 'frozen'] as const)(
    'dispatcher %s: no request runs twice, its servers are served again',
    async how => {
      let lostAtMs = 0;
      let lostServer = '';
      const result = await runUnderLoad(
        OPTIONS,
        async scenario => {
          const {cluster, load} = scenario;
          const {entry, server} = await scenario.nonAssignerDispatcher();
          lostServer = server;
          const others = ['e1', 'e2', 'e3'].filter(id => id !== entry);
          lostAtMs = wallMs();
          if (how === 'killed') await cluster.killEntry(entry);
          else cluster.freezeEntry(entry);
          load.setEntries(others.map(id => cluster.entryAddress(id)));
          // Longer than the lost dispatcher's permission to send is valid, and
          // longer than the deadlines of its requests.
          await sleep(6_000);
          if (how === 'frozen') cluster.thawEntry(entry);
          // Leaves a resumed dispatcher time to send old requests, which could
          // run twice.
          await sleep(2_000);
        },
        {timeoutMs: DEADLINE_MS},
      );
      expect(result.violations).toEqual([]);
      // Requests take 60 ms on average, so those that the lost dispatcher had
      // sent have ended after 1 s.
      const servedAgain = result.runs.filter(
        ({server, effect, wallMs: atMs}) =>
          server === lostServer && effect === 'done' && atMs > lostAtMs + 1_000,
      );
      expect(servedAgain.length).toBeGreaterThan(0);
    },
    TEST_TIMEOUT_MS,
  );
});
