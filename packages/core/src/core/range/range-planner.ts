/** Plans which keys move to which servers. */
import {KEY_COUNT} from '../../types/index.js';
import type {KeyRange, RangeOwner} from '../../types/index.js';
import {subtractKeys} from '../../utils/index.js';
import type {KeyLoadMap} from './key-load-map.js';

/** Ratio of load to target load above which keys move away from a server. */
const OVERLOAD_RATIO = 1.2;
/**
 * Load above the target, as a share of the capacity, up to which no keys move:
 * such a small excess delays few requests.
 */
const OVERLOAD_CAPACITY_SHARE = 0.1;
/**
 * Load above the target, in standard deviations of the measured load, up to which
 * no keys move: it is probably noise.
 */
const OVERLOAD_DEVIATIONS = 2;
/** Number of moves that may be planned in one step, however few servers there are. */
const MIN_MOVES_PER_STEP = 16;
/** Number of moves that may be planned in one step, as a share of the servers. */
const MOVES_PER_STEP_SHARE = 0.2;
/**
 * Share of the load to move by which the load of a piece may exceed it. Pieces
 * count as equally close to the load to move if they differ by less than this.
 */
const PIECE_TOLERANCE = 0.15;
/**
 * Load of one key, as a share of its server's capacity, from which the key
 * needs a faster server.
 */
const HOT_KEY_SHARE = 0.7;
/**
 * A hot key moves only to a server with at least this many times the capacity
 * of its own.
 */
const HOT_KEY_GAIN = 1.3;
/**
 * Load up to which a server is filled to relieve one that has more load than it can
 * serve, as a share of its capacity.
 */
const RELIEF_UTILIZATION = 0.75;
/** Rebalancing gives no further range to a server that has this many. */
const MAX_RANGES_PER_SERVER = 8;

/** A server that may own keys. */
export interface PlannedServer {
  readonly id: string;
  /**
   * Work that it can do in one second: the milliseconds that the work takes on
   * one slot of a server of speed 1 (see `ServerSpeeds`).
   */
  readonly capacity: number;
}

/** Keys that should move to a server. */
export interface PlannedMove extends KeyRange {
  readonly from: string | null;
  readonly to: string;
}

/**
 * Divides all keys by capacity, for a service whose load is not known yet.
 *
 * @param servers - Servers in the order of their ranges.
 * @returns One range for each server, in proportion to its capacity.
 */
export function initialRanges(
  servers: readonly PlannedServer[],
): PlannedMove[] {
  const total = servers.reduce((sum, server) => sum + server.capacity, 0);
  const moves: PlannedMove[] = [];
  let fromKey = 0;
  let given = 0;
  for (const [index, server] of servers.entries()) {
    given += server.capacity;
    const isLast = index === servers.length - 1;
    const end = isLast ? KEY_COUNT : Math.round((KEY_COUNT * given) / total);
    if (end <= fromKey) continue;
    moves.push({from: null, to: server.id, fromKey, toKey: end - 1});
    fromKey = end;
  }
  return moves;
}

interface ServerState {
  readonly id: string;
  readonly capacity: number;
  /** Load at which one more request is delayed as much as on other servers. */
  readonly targetLoad: number;
  load: number;
  /** Ranges that may move to other servers. */
  ranges: RangeOwner[];
  /** Number of ranges, including those that are moving to the server. */
  rangeCount: number;
  /**
   * Whether keys are moving to the server; no other move from or to it is
   * planned in this step. Stays false for the receiver of a hot key, so that
   * its other keys can move away in the same step.
   */
  isReceiving: boolean;
}

/** Load above the target load, as a share of the capacity. */
const excessRatio = (state: ServerState, extraLoad = 0) =>
  (state.load + extraLoad - state.targetLoad) / state.capacity;

/** Plans the moves of one service in one step. */
export class RangePlanner {
  readonly #load: KeyLoadMap;
  readonly #states = new Map<string, ServerState>();
  readonly #moves: PlannedMove[] = [];

  /**
   * @param load - Load of the keys.
   * @param servers - Servers that may own keys.
   * @param ranges - Ranges with their current owners.
   */
  constructor(
    load: KeyLoadMap,
    servers: readonly PlannedServer[],
    ranges: readonly RangeOwner[],
  ) {
    this.#load = load;
    const totalLoad = ranges.reduce((sum, range) => sum + load.sum(range), 0);
    const targetLoadsById = targetLoads(servers, totalLoad);
    for (const {id, capacity} of servers) {
      this.#states.set(id, {
        id,
        capacity,
        targetLoad: targetLoadsById.get(id) ?? 0,
        load: 0,
        ranges: [],
        rangeCount: 0,
        isReceiving: false,
      });
    }
    for (const range of ranges) {
      if (range.server === null) continue;
      const state = this.#states.get(range.server);
      if (state === undefined) continue;
      state.load += load.sum(range);
      state.rangeCount += 1;
      if (range.moving) state.isReceiving = true;
      else state.ranges.push(range);
    }
  }

  /**
   * Chooses new owners for ranges that have to leave their owners.
   *
   * @param ranges - The ranges to place.
   * @returns Moves that cover the ranges; none when there is no server.
   */
  place(ranges: readonly RangeOwner[]): PlannedMove[] {
    if (this.#states.size === 0) return [];
    const moves: PlannedMove[] = [];
    for (const range of ranges) {
      for (const piece of this.#splitRange(range)) {
        const receiver = this.#leastLoaded(this.#load.sum(piece));
        receiver.load += this.#load.sum(piece);
        receiver.rangeCount += 1;
        moves.push({...piece, from: range.server, to: receiver.id});
      }
    }
    return mergeNeighbors(moves);
  }

  /**
   * Plans moves that relieve overloaded servers.
   *
   * @returns Moves of hot keys, then moves from overloaded servers, the most
   * overloaded first.
   */
  rebalance(): PlannedMove[] {
    const states = [...this.#states.values()];
    this.#promoteHotKeys(states);
    const overloaded = states
      .filter(state => !state.isReceiving && this.#isOverloaded(state))
      .sort((a, b) => excessRatio(b) - excessRatio(a));
    const maxMoves = Math.max(
      MIN_MOVES_PER_STEP,
      states.length * MOVES_PER_STEP_SHARE,
    );
    for (const state of overloaded) {
      while (
        this.#isOverloaded(state) &&
        this.#moves.length < maxMoves &&
        this.#relieve(state)
      );
    }
    return this.#moves;
  }

  /**
   * Moves each hot key to the fastest server, since a key cannot be split.
   * Rebalancing then moves the other keys of that server away.
   */
  #promoteHotKeys(states: readonly ServerState[]): void {
    const hotKeys = new Map<ServerState, number>();
    for (const state of states) {
      const key = this.#hotKey(state);
      if (key !== null) hotKeys.set(state, key);
    }
    const hotServers = new Set(hotKeys.keys());
    for (const [state, key] of hotKeys) {
      if (state.isReceiving) continue;
      const receiver = states
        .filter(other => !other.isReceiving && !hotServers.has(other))
        .sort((a, b) => b.capacity - a.capacity)[0];
      if (
        receiver === undefined ||
        receiver.capacity < state.capacity * HOT_KEY_GAIN
      ) {
        continue;
      }
      const movedLoad = this.#load.at(key);
      const piece = {fromKey: key, toKey: key};
      state.load -= movedLoad;
      state.ranges = state.ranges.flatMap(range => subtractKeys(range, piece));
      receiver.load += movedLoad;
      hotServers.add(receiver);
      this.#moves.push({...piece, from: state.id, to: receiver.id});
    }
  }

  #hotKey(state: ServerState): number | null {
    const limit = state.capacity * HOT_KEY_SHARE;
    if (state.load < limit) return null;
    for (const range of state.ranges) {
      for (let key = range.fromKey; key <= range.toKey; key += 1) {
        if (this.#load.at(key) >= limit) return key;
      }
    }
    return null;
  }

  /**
   * Moves keys from an overloaded server to the one with the least excess.
   * Returns false when no move helps.
   */
  #relieve(state: ServerState): boolean {
    const receiver = [...this.#states.values()]
      .filter(
        other =>
          other !== state &&
          !other.isReceiving &&
          other.ranges.length < MAX_RANGES_PER_SERVER,
      )
      .sort((a, b) => excessRatio(a) - excessRatio(b))[0];
    if (receiver === undefined) return false;
    const surplus = state.load - state.targetLoad;
    // A server with more load than it can serve gives it to any server that has
    // capacity left; later steps even out what that server gets too much.
    const limit =
      state.load > state.capacity
        ? Math.max(receiver.targetLoad, receiver.capacity * RELIEF_UTILIZATION)
        : receiver.targetLoad;
    const loadToMove = Math.min(surplus, limit - receiver.load);
    if (loadToMove <= 0) return false;
    const piece = this.#bestPiece(state.ranges, loadToMove);
    if (piece === null) return false;
    const movedLoad = this.#load.sum(piece);
    // A receiver that ends up with as much excess as this server has now would
    // have to be relieved next, and the keys would be moved again and again.
    if (excessRatio(receiver, movedLoad) >= excessRatio(state)) return false;
    state.load -= movedLoad;
    state.ranges = state.ranges.flatMap(range => subtractKeys(range, piece));
    receiver.load += movedLoad;
    receiver.isReceiving = true;
    this.#moves.push({...piece, from: state.id, to: receiver.id});
    return true;
  }

  /**
   * Finds the piece at an end of a range whose load is closest to the load to
   * move; of about equally close pieces, the narrowest.
   */
  #bestPiece(
    ranges: readonly RangeOwner[],
    loadToMove: number,
  ): KeyRange | null {
    let best: {piece: KeyRange; error: number; width: number} | null = null;
    const maxLoad = loadToMove * (1 + PIECE_TOLERANCE);
    for (const range of ranges) {
      for (const piece of this.#endPieces(range, maxLoad)) {
        const pieceLoad = this.#load.sum(piece);
        if (pieceLoad <= 0) continue;
        const error = Math.abs(loadToMove - pieceLoad) / loadToMove;
        const width = piece.toKey - piece.fromKey + 1;
        const isBetter =
          best === null ||
          error < best.error - PIECE_TOLERANCE ||
          (error < best.error + PIECE_TOLERANCE && width < best.width);
        if (isBetter) best = {piece, error, width};
      }
    }
    return best === null ? null : best.piece;
  }

  /**
   * Yields the longest piece at each end with a load of at most `maxLoad`, and the
   * same piece with one more key, which may be too hot to fit anywhere.
   */
  *#endPieces(range: KeyRange, maxLoad: number): Generator<KeyRange> {
    let sum = 0;
    let key = range.fromKey;
    while (key <= range.toKey && sum + this.#load.at(key) <= maxLoad) {
      sum += this.#load.at(key);
      key += 1;
    }
    if (key > range.fromKey) {
      yield this.#trim({fromKey: range.fromKey, toKey: key - 1}, 'low');
    }
    if (key < range.toKey) yield {fromKey: range.fromKey, toKey: key};
    sum = 0;
    key = range.toKey;
    while (key >= range.fromKey && sum + this.#load.at(key) <= maxLoad) {
      sum += this.#load.at(key);
      key -= 1;
    }
    if (key < range.toKey) {
      yield this.#trim({fromKey: key + 1, toKey: range.toKey}, 'high');
    }
    if (key > range.fromKey) yield {fromKey: key, toKey: range.toKey};
  }

  /** Removes keys without load at the inner end of a piece. */
  #trim(piece: KeyRange, outerEnd: 'low' | 'high'): KeyRange {
    let {fromKey, toKey} = piece;
    if (outerEnd === 'low') {
      while (toKey > fromKey && this.#load.at(toKey) === 0) toKey -= 1;
    } else {
      while (fromKey < toKey && this.#load.at(fromKey) === 0) fromKey += 1;
    }
    return {fromKey, toKey};
  }

  /**
   * Splits a range into pieces that an average server can take. The load of a
   * piece is at most half of the mean load of a server after the move, or a
   * sixth of the load of the range if that is more; only a single key may
   * exceed it.
   */
  *#splitRange(range: RangeOwner): Generator<KeyRange> {
    const states = [...this.#states.values()];
    const capacity = states.reduce((sum, state) => sum + state.capacity, 0);
    const load = states.reduce((sum, state) => sum + state.load, 0);
    const rangeLoad = this.#load.sum(range);
    const meanAfter = (load + rangeLoad) / states.length;
    const maxPieceLoad =
      capacity === 0 ? 0 : Math.max(meanAfter / 2, rangeLoad / 6);
    let fromKey = range.fromKey;
    let sum = 0;
    for (let key = range.fromKey; key <= range.toKey; key += 1) {
      const keyLoad = this.#load.at(key);
      if (sum + keyLoad > maxPieceLoad && sum > 0) {
        yield {fromKey, toKey: key - 1};
        fromKey = key;
        sum = 0;
      }
      sum += keyLoad;
    }
    yield {fromKey, toKey: range.toKey};
  }

  #isOverloaded({load, targetLoad, capacity}: ServerState): boolean {
    const limit = Math.max(
      targetLoad * OVERLOAD_RATIO,
      targetLoad + capacity * OVERLOAD_CAPACITY_SHARE,
      targetLoad + this.#load.noise(targetLoad) * OVERLOAD_DEVIATIONS,
    );
    return load > limit;
  }

  #leastLoaded(extraLoad: number): ServerState {
    let best: ServerState | null = null;
    let leastRatio = Infinity;
    for (const state of this.#states.values()) {
      // Of servers with equal excess, the one with the fewest ranges is chosen.
      // The factor is too small to outweigh a noticeable difference in excess.
      const after = excessRatio(state, extraLoad) + state.rangeCount * 1e-6;
      if (after < leastRatio) {
        best = state;
        leastRatio = after;
      }
    }
    return best!;
  }
}

/**
 * Divides a load so that one more request would add the same delay on each
 * server. With each server as a single-server queue, the target load for a
 * capacity c is c - k * sqrt(c). Slow servers, which answer late even without a
 * queue, therefore get less than their proportional share while there is spare
 * capacity. A load that exceeds the total capacity is divided in proportion.
 */
function targetLoads(
  servers: readonly PlannedServer[],
  load: number,
): Map<string, number> {
  const totalCapacity = servers.reduce((sum, {capacity}) => sum + capacity, 0);
  if (load >= totalCapacity) {
    return new Map(
      servers.map(({id, capacity}) => [id, (load * capacity) / totalCapacity]),
    );
  }
  // Leaves out the slowest servers until all target loads are above 0.
  let usedServers = [...servers].sort((a, b) => a.capacity - b.capacity);
  for (;;) {
    const capacity = usedServers.reduce(
      (sum, server) => sum + server.capacity,
      0,
    );
    const sqrtSum = usedServers.reduce(
      (sum, {capacity: c}) => sum + Math.sqrt(c),
      0,
    );
    const k = (capacity - load) / sqrtSum;
    const slowest = usedServers[0];
    if (slowest === undefined || Math.sqrt(slowest.capacity) > k) {
      return new Map(
        usedServers.map(({id, capacity: c}) => [id, c - k * Math.sqrt(c)]),
      );
    }
    usedServers = usedServers.slice(1);
  }
}

function mergeNeighbors(moves: readonly PlannedMove[]): PlannedMove[] {
  const merged: PlannedMove[] = [];
  for (const move of moves) {
    const last = merged.at(-1);
    if (
      last !== undefined &&
      last.to === move.to &&
      last.from === move.from &&
      last.toKey + 1 === move.fromKey
    ) {
      merged[merged.length - 1] = {...last, toKey: move.toKey};
    } else {
      merged.push(move);
    }
  }
  return merged;
}
