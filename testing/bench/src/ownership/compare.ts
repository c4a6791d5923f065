/** Compares the router's placement with baselines on the same simulated load. */
import {LEASE_RENEW_INTERVAL_MS, certainExpiryMs} from '@wisteriarun/core';
import {
  seededRandom,
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
const WARM_UP_DURATION_MS = 300_000;
const RUN_DURATION_MS = 1_800_000;
/** Interval between two changes of the hot keys. */
const HOT_SET_INTERVAL_MS = 600_000;
const SAMPLE_INTERVAL_S = 10;
/** Time after a change during which later moves are counted. */
const SETTLE_DURATION_MS = 300_000;
const HOUR_MS = 3_600_000;
/** Imbalance at or below which the load counts as balanced after the start. */
const BALANCED_LIMIT = 1.5;

/** One row of a result table. */
export type ResultRow = Readonly<Record<string, string | number>>;

function createSimulation(
  policy: PlacementPolicy,
  spec: ServiceSpec,
  seed: number,
) {
  const random = seededRandom(seed);
  const servers = generateServers(spec, random);
  const keys = new KeyWorkload(spec, totalCapacity(servers), random);
  const noiseRandom = seededRandom(seed + 1);
  return {
    servers,
    keys,
    simulation: new Simulation(policy, spec, servers, keys, noiseRandom),
  };
}

/**
 * Estimates the mean time for which the shards of a lost server have no owner.
 *
 * The lease runs from the server's last answer, which lies on average half a
 * renewal interval before the loss. One append and one lease call follow its
 * expiry; they are estimated at a quarter of `MOVE_DURATION_MS`.
 *
 * @returns Mean time in milliseconds.
 */
export function meanShardUnownedMs(): number {
  return certainExpiryMs() - LEASE_RENEW_INTERVAL_MS / 2 + MOVE_DURATION_MS / 4;
}

/**
 * Compares the imbalance of the placements while the hot keys change.
 *
 * @param spec - Service to simulate.
 * @returns One row for each placement policy.
 */
export function compareBalance(spec: ServiceSpec): ResultRow[] {
  return PLACEMENT_POLICIES.map(policy => {
    const {simulation, keys} = createSimulation(policy, spec, SEED);
    let balancedAtS = NaN;
    simulation.run(WARM_UP_DURATION_MS, () => {
      if (
        Number.isNaN(balancedAtS) &&
        simulation.imbalance() <= BALANCED_LIMIT
      ) {
        balancedAtS = simulation.nowMs / 1_000;
      }
    });
    const movesBefore = simulation.totalMoves;
    const imbalances: number[] = [];
    const zoneImbalances: number[] = [];
    const lowestImbalances: number[] = [];
    for (let t = 0; t < RUN_DURATION_MS; t += HOT_SET_INTERVAL_MS) {
      keys.moveHotSet();
      let elapsedS = 0;
      simulation.run(HOT_SET_INTERVAL_MS, () => {
        if (++elapsedS % SAMPLE_INTERVAL_S !== 0) return;
        imbalances.push(simulation.imbalance());
        zoneImbalances.push(simulation.zoneImbalance());
        lowestImbalances.push(simulation.lowestImbalance());
      });
    }
    const moved = simulation.totalMoves - movesBefore;
    return {
      service: spec.name,
      placement: policy,
      'imbalance median': roundToSignificant(median(imbalances)),
      p95: roundToSignificant(quantile(imbalances, 0.95)),
      max: roundToSignificant(quantile(imbalances, 1)),
      'of zones, median': roundToSignificant(median(zoneImbalances)),
      'lowest possible': roundToSignificant(median(lowestImbalances)),
      [`first <= ${BALANCED_LIMIT}, s`]: Number.isNaN(balancedAtS)
        ? '-'
        : balancedAtS,
      'shards moved/h': Math.round((moved * HOUR_MS) / RUN_DURATION_MS),
      'isolated keys': simulation.moveCounts.get('hot-key') ?? 0,
    };
  });
}

/**
 * Counts the shards that move after each kind of change: a lost server, an
 * added server, a batch that leaves, and a new set of hot keys.
 *
 * @param spec - Service to simulate.
 * @returns One row for each placement policy.
 */
export function compareChurn(spec: ServiceSpec): ResultRow[] {
  return PLACEMENT_POLICIES.map(policy => {
    const loss = measureServerLoss(policy, spec);
    const addition = measureServerAddition(policy, spec);
    const departure = measureBatchDeparture(policy, spec);
    const hotSetChange = createSimulation(policy, spec, SEED);
    hotSetChange.simulation.run(WARM_UP_DURATION_MS);
    const movesBefore = hotSetChange.simulation.totalMoves;
    hotSetChange.keys.moveHotSet();
    hotSetChange.simulation.run(SETTLE_DURATION_MS);
    return {
      service: spec.name,
      placement: policy,
      'lost: moved/fewest': formatRatio(loss.moved, loss.idealMoves),
      'lost: later': loss.laterMoves,
      'lost: unserved shard-s': roundToSignificant(loss.unservedS),
      'added: moved/fair share': formatRatio(
        addition.moved,
        addition.idealMoves,
      ),
      'leaving: moved/fewest': formatRatio(
        departure.moved,
        departure.idealMoves,
      ),
      'leaving: later': departure.laterMoves,
      'hot set: moved': hotSetChange.simulation.totalMoves - movesBefore,
    };
  });
}

function formatRatio(moved: number, idealMoves: number): string {
  return `${moved}/${idealMoves}=${roundToSignificant(moved / idealMoves)}`;
}

/**
 * Simulates the loss of a server.
 *
 * @returns Shards of the lost server, which are the fewest possible moves;
 * shards that moved immediately; moves in the time after; and the sum of the
 * times in seconds for which shards were not served.
 */
function measureServerLoss(policy: PlacementPolicy, spec: ServiceSpec) {
  const {simulation} = createSimulation(policy, spec, SEED);
  simulation.run(WARM_UP_DURATION_MS);
  const idealMoves = simulation.countShardsOf('s1');
  const moved = simulation.removeServer('s1');
  const movesBefore = simulation.totalMoves;
  simulation.run(SETTLE_DURATION_MS);
  const laterMoves = simulation.totalMoves - movesBefore;
  const plannedMoves = moved - idealMoves;
  const unservedS =
    (idealMoves * meanShardUnownedMs() + plannedMoves * MOVE_DURATION_MS) /
    1_000;
  return {idealMoves, moved, laterMoves, unservedS};
}

/**
 * Simulates the addition of a server.
 *
 * @returns All shards that moved, and the added server's share of all shards in
 * proportion to its capacity.
 */
function measureServerAddition(policy: PlacementPolicy, spec: ServiceSpec) {
  const {simulation, servers} = createSimulation(policy, spec, SEED);
  simulation.run(WARM_UP_DURATION_MS);
  const added: SimServer = {
    id: 'added',
    zone: 0,
    slots: spec.slots,
    speed: 1,
    batch: 'new',
  };
  const share = spec.slots / (totalCapacity(servers) + spec.slots);
  const movesBefore = simulation.totalMoves;
  const movedAtOnce = simulation.addServer(added);
  simulation.run(SETTLE_DURATION_MS);
  const moved = movedAtOnce + simulation.totalMoves - movesBefore;
  return {moved, idealMoves: Math.round(spec.shards * share)};
}

/**
 * Simulates a batch that leaves.
 *
 * @returns Shards of the batch, which are the fewest possible moves; shards
 * that moved immediately; and moves in the time after.
 */
function measureBatchDeparture(policy: PlacementPolicy, spec: ServiceSpec) {
  const {simulation, servers} = createSimulation(policy, spec, SEED);
  simulation.run(WARM_UP_DURATION_MS);
  const batch = 'b1';
  const idealMoves = servers
    .filter(s => s.batch === batch)
    .reduce((sum, s) => sum + simulation.countShardsOf(s.id), 0);
  const moved = simulation.drainBatch(batch);
  const movesBefore = simulation.totalMoves;
  simulation.run(SETTLE_DURATION_MS);
  return {idealMoves, moved, laterMoves: simulation.totalMoves - movesBefore};
}
