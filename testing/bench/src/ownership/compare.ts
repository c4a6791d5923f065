/** Compares the product's placement with the baselines on one time line. */
import {LEASE_RENEW_INTERVAL_MS, certainExpiryMs} from '@wisteriarun/core';
import {
  createRandom,
  median,
  quantile,
  roundToSignificant,
} from '../capacity/stats.js';
import {
  MOVE_DURATION_MS,
  PLACEMENT_POLICIES,
  Simulation,
  type PlacementPolicy,
} from './simulation.js';
import {
  KeyWorkload,
  totalCapacity,
  generateServers,
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
export type ResultRow = Readonly<Record<string, string | number>>;

function start(policy: PlacementPolicy, spec: ServiceSpec, seed: number) {
  const random = createRandom(seed);
  const servers = generateServers(spec, random);
  const keys = new KeyWorkload(spec, totalCapacity(servers), random);
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
export function meanShardUnownedMs(): number {
  return certainExpiryMs() - LEASE_RENEW_INTERVAL_MS / 2 + MOVE_DURATION_MS / 4;
}

/**
 * Runs the time line with a moving hot set.
 *
 * @param spec - The service.
 * @returns One row for each placement.
 */
export function compareBalance(spec: ServiceSpec): ResultRow[] {
  return PLACEMENT_POLICIES.map(policy => {
    const {simulation, keys} = start(policy, spec, SEED);
    let reachedS = NaN;
    simulation.run(WARM_UP_MS, () => {
      if (Number.isNaN(reachedS) && simulation.imbalance() <= REACHED) {
        reachedS = simulation.nowMs / 1_000;
      }
    });
    const before = simulation.totalMoves;
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
    const moved = simulation.totalMoves - before;
    return {
      service: spec.name,
      placement: policy,
      'imbalance median': roundToSignificant(median(windows)),
      p95: roundToSignificant(quantile(windows, 0.95)),
      max: roundToSignificant(quantile(windows, 1)),
      'of zones, median': roundToSignificant(median(zones)),
      'lowest possible': roundToSignificant(median(lowest)),
      [`first <= ${REACHED}, s`]: Number.isNaN(reachedS) ? '-' : reachedS,
      'shards moved/h': Math.round((moved * HOUR_MS) / RUN_MS),
      'isolated keys': simulation.moveCounts.get('hot-key') ?? 0,
    };
  });
}

/**
 * Counts the shards that move for each kind of change.
 *
 * @param spec - The service.
 * @returns One row for each placement.
 */
export function compareChurn(spec: ServiceSpec): ResultRow[] {
  return PLACEMENT_POLICIES.map(policy => {
    const lost = churnOfLoss(policy, spec);
    const added = churnOfAdded(policy, spec);
    const leaving = churnOfLeaving(policy, spec);
    const hot = start(policy, spec, SEED);
    hot.simulation.run(WARM_UP_MS);
    const before = hot.simulation.totalMoves;
    hot.keys.moveHotSet();
    hot.simulation.run(SETTLE_MS);
    return {
      service: spec.name,
      placement: policy,
      'lost: moved/fewest': ratio(lost.moved, lost.fewest),
      'lost: later': lost.later,
      'lost: unserved shard-s': roundToSignificant(lost.unservedS),
      'added: moved/fair share': ratio(added.moved, added.fewest),
      'leaving: moved/fewest': ratio(leaving.moved, leaving.fewest),
      'leaving: later': leaving.later,
      'hot set: moved': hot.simulation.totalMoves - before,
    };
  });
}

function ratio(moved: number, fewest: number): string {
  return `${moved}/${fewest}=${roundToSignificant(moved / fewest)}`;
}

function churnOfLoss(policy: PlacementPolicy, spec: ServiceSpec) {
  const {simulation} = start(policy, spec, SEED);
  simulation.run(WARM_UP_MS);
  const fewest = simulation.countShardsOf('s1');
  const moved = simulation.removeServer('s1');
  const before = simulation.totalMoves;
  simulation.run(SETTLE_MS);
  const later = simulation.totalMoves - before;
  const planned = moved - fewest;
  const unservedS =
    (fewest * meanShardUnownedMs() + planned * MOVE_DURATION_MS) / 1_000;
  return {fewest, moved, later, unservedS};
}

function churnOfAdded(policy: PlacementPolicy, spec: ServiceSpec) {
  const {simulation, servers} = start(policy, spec, SEED);
  simulation.run(WARM_UP_MS);
  const added: SimServer = {
    id: 'added',
    zone: 0,
    slots: spec.slots,
    speed: 1,
    batch: 'new',
  };
  const share = spec.slots / (totalCapacity(servers) + spec.slots);
  const before = simulation.totalMoves;
  const atOnce = simulation.addServer(added);
  simulation.run(SETTLE_MS);
  const moved = atOnce + simulation.totalMoves - before;
  return {moved, fewest: Math.round(spec.shards * share)};
}

function churnOfLeaving(policy: PlacementPolicy, spec: ServiceSpec) {
  const {simulation, servers} = start(policy, spec, SEED);
  simulation.run(WARM_UP_MS);
  const batch = 'b1';
  const fewest = servers
    .filter(s => s.batch === batch)
    .reduce((sum, s) => sum + simulation.countShardsOf(s.id), 0);
  const moved = simulation.drainBatch(batch);
  const before = simulation.totalMoves;
  simulation.run(SETTLE_MS);
  return {fewest, moved, later: simulation.totalMoves - before};
}
