/** Compares the product's placement with the baselines on one time line. */
import {LEASE_RENEW_INTERVAL_MS, certainExpiryMs} from '@wisteriarun/core';
import {createRandom, median, quantile, round} from '../capacity/stats.js';
import {MOVE_MS, POLICIES, Simulation, type Policy} from './simulation.js';
import {
  Keys,
  capacityOf,
  drawServers,
  type ServiceSpec,
  type SimServer,
} from './workload.js';

const SEED = 20_261;
const WARM_UP_MS = 300_000;
const RUN_MS = 1_800_000;
const HOT_SET_INTERVAL_MS = 600_000;
const WINDOW_S = 10;
const SETTLE_MS = 300_000;
const HOUR_MS = 3_600_000;
/** Imbalance that counts as reached after a start. */
const REACHED = 1.5;

/** Figures of one placement for one service. */
export type Row = Readonly<Record<string, string | number>>;

function start(policy: Policy, spec: ServiceSpec, seed: number) {
  const random = createRandom(seed);
  const servers = drawServers(spec, random);
  const keys = new Keys(spec, capacityOf(servers), random);
  const noise = createRandom(seed + 1);
  return {
    servers,
    keys,
    simulation: new Simulation(policy, spec, servers, keys, noise),
  };
}

/**
 * Time for which a lost server's shard has no owner, on average.
 *
 * The lease counts from the last answer, on average half a renewal interval
 * before the loss; one append and one lease call follow.
 *
 * @returns Milliseconds.
 */
export function meanLossMs(): number {
  return certainExpiryMs() - LEASE_RENEW_INTERVAL_MS / 2 + MOVE_MS / 4;
}

/**
 * Runs the time line with a moving hot set.
 *
 * @param spec - The service.
 * @returns One row for each placement.
 */
export function compareBalance(spec: ServiceSpec): Row[] {
  return POLICIES.map(policy => {
    const {simulation, keys} = start(policy, spec, SEED);
    let reachedS = NaN;
    simulation.run(WARM_UP_MS, () => {
      if (Number.isNaN(reachedS) && simulation.imbalance() <= REACHED) {
        reachedS = simulation.nowMs / 1_000;
      }
    });
    const before = simulation.movedShards;
    const windows: number[] = [];
    const zones: number[] = [];
    const lowest: number[] = [];
    for (let t = 0; t < RUN_MS; t += HOT_SET_INTERVAL_MS) {
      keys.moveHotSet();
      let second = 0;
      simulation.run(HOT_SET_INTERVAL_MS, () => {
        if (++second % WINDOW_S !== 0) return;
        windows.push(simulation.imbalance());
        zones.push(simulation.zoneImbalance());
        lowest.push(simulation.lowestImbalance());
      });
    }
    const moved = simulation.movedShards - before;
    return {
      service: spec.name,
      placement: policy,
      'imbalance median': round(median(windows)),
      p95: round(quantile(windows, 0.95)),
      max: round(quantile(windows, 1)),
      'of zones, median': round(median(zones)),
      'lowest possible': round(median(lowest)),
      [`first <= ${REACHED}, s`]: Number.isNaN(reachedS) ? '-' : reachedS,
      'shards moved/h': Math.round((moved * HOUR_MS) / RUN_MS),
      'isolated keys': simulation.moves.get('hot-key') ?? 0,
    };
  });
}

/**
 * Counts the shards that move for each kind of change.
 *
 * @param spec - The service.
 * @returns One row for each placement.
 */
export function compareChurn(spec: ServiceSpec): Row[] {
  return POLICIES.map(policy => {
    const lost = churnOfLoss(policy, spec);
    const added = churnOfAdded(policy, spec);
    const leaving = churnOfLeaving(policy, spec);
    const hot = start(policy, spec, SEED);
    hot.simulation.run(WARM_UP_MS);
    const before = hot.simulation.movedShards;
    hot.keys.moveHotSet();
    hot.simulation.run(SETTLE_MS);
    return {
      service: spec.name,
      placement: policy,
      'lost: moved/fewest': ratio(lost.moved, lost.fewest),
      'lost: later': lost.later,
      'lost: unserved shard-s': round(lost.unservedS),
      'added: moved/fair share': ratio(added.moved, added.fewest),
      'leaving: moved/fewest': ratio(leaving.moved, leaving.fewest),
      'leaving: later': leaving.later,
      'hot set: moved': hot.simulation.movedShards - before,
    };
  });
}

function ratio(moved: number, fewest: number): string {
  return `${moved}/${fewest}=${round(moved / fewest)}`;
}

function churnOfLoss(policy: Policy, spec: ServiceSpec) {
  const {simulation} = start(policy, spec, SEED);
  simulation.run(WARM_UP_MS);
  const fewest = simulation.ownedBy('s1');
  const moved = simulation.lose('s1');
  const before = simulation.movedShards;
  simulation.run(SETTLE_MS);
  const later = simulation.movedShards - before;
  const planned = moved - fewest;
  const unservedS = (fewest * meanLossMs() + planned * MOVE_MS) / 1_000;
  return {fewest, moved, later, unservedS};
}

function churnOfAdded(policy: Policy, spec: ServiceSpec) {
  const {simulation, servers} = start(policy, spec, SEED);
  simulation.run(WARM_UP_MS);
  const added: SimServer = {
    id: 'added',
    zone: 0,
    slots: spec.slots,
    speed: 1,
    batch: 'new',
  };
  const share = spec.slots / (capacityOf(servers) + spec.slots);
  const before = simulation.movedShards;
  const atOnce = simulation.add(added);
  simulation.run(SETTLE_MS);
  const moved = atOnce + simulation.movedShards - before;
  return {moved, fewest: Math.round(spec.shards * share)};
}

function churnOfLeaving(policy: Policy, spec: ServiceSpec) {
  const {simulation, servers} = start(policy, spec, SEED);
  simulation.run(WARM_UP_MS);
  const batch = 'b1';
  const fewest = servers
    .filter(s => s.batch === batch)
    .reduce((sum, s) => sum + simulation.ownedBy(s.id), 0);
  const moved = simulation.leave(batch);
  const before = simulation.movedShards;
  simulation.run(SETTLE_MS);
  return {fewest, moved, later: simulation.movedShards - before};
}
