import {describe, expect, it} from 'vitest';
import {GatewayHarness} from './harness.js';

const KEYS = Array.from({length: 32}, (_, index) => index * 2_048);
const SERVERS = ['i-1', 'i-2', 'i-3', 'i-4'];
/** Required time from the return of the VMs until all keys are served. */
const MAX_RECOVERY_MS = 15_000;
/**
 * Approximate time in which a server must be listed again to keep its keys.
 * Repeats the constant of `server-directory.ts`, which is not exported.
 */
const RELIST_GRACE_MS = 2_000;
/** Time between the listing of one server and the next. */
const LISTING_GAP_MS = 300;
const TEST_LIMIT_MS = 45_000;

/** An outage of all gateways, and the order in which VMs and servers return. */
interface Outage {
  readonly name: string;
  /** Gateways that return, in order; vm-1 was the assigner before. */
  readonly vms: readonly string[];
  /** Time between the starts of two gateways. */
  readonly gapMs: number;
  /**
   * Approximate time from the first start until the first server is listed
   * again, but at least until all gateways have started. With 0, the servers
   * stay listed.
   */
  readonly unlistedMs: number;
}

const outages: Outage[] = [];
for (const {order, vms} of [
  {order: 'the former assigner', vms: ['vm-1', 'vm-2']},
  {order: 'another VM', vms: ['vm-2', 'vm-3']},
]) {
  for (const unlistedMs of [0, 800, 5_000]) {
    const name = `${order}, servers unlisted for ${unlistedMs} ms`;
    outages.push({name, vms, gapMs: 300, unlistedMs});
  }
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function areAllKeysServed(harness: GatewayHarness): Promise<boolean> {
  for (const gateway of harness.gateways.keys()) {
    for (const key of KEYS) {
      const answer = await harness.call('GET', '/read/x', {key, gateway});
      if (answer.status !== 200) return false;
    }
  }
  return true;
}

// Guards against keys that stay unserved after an outage because servers are
// listed late, or that move although their servers are soon listed again.
describe('after an outage of all gateways', () => {
  it.concurrent.each(outages.map(outage => [outage.name, outage] as const))(
    'all keys are served in time, by the same servers if listed soon: %s',
    async (_, {vms, gapMs, unlistedMs}) => {
      const harness = new GatewayHarness();
      await harness.start();
      for (const id of SERVERS) await harness.addServer('records', {id});
      await harness.addGateway('vm-1');
      const ownerOf = (key: number) =>
        harness.servers.findIndex(({server}) => server.holdsKey(key));
      const before = KEYS.map(ownerOf);
      harness.loseGateways();
      if (unlistedMs > 0) harness.unlistServers();
      // Grants last at most 4 s (`GRANT_HOLD_MS`), so all have lapsed when
      // the first VM returns.
      await sleep(4_200);
      for (const vm of vms) {
        await harness.startGateway(vm);
        await sleep(gapMs);
      }
      const returnedAtMs = performance.now();
      await sleep(unlistedMs - vms.length * gapMs);
      await harness.relistServers(LISTING_GAP_MS);
      await harness.until(() => areAllKeysServed(harness), 2 * MAX_RECOVERY_MS);
      const tookMs = performance.now() - returnedAtMs;
      const after = KEYS.map(ownerOf);
      await harness.close();
      expect(tookMs).toBeLessThan(MAX_RECOVERY_MS);
      if (unlistedMs <= RELIST_GRACE_MS) expect(after).toEqual(before);
    },
    TEST_LIMIT_MS,
  );
});
