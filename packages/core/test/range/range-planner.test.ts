import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  initialRanges,
  KEY_COUNT,
  KeyLoadMap,
  RangePlanner,
  RangeTable,
} from '@wisteriarun/core';
import type {PlannedServer, RangeOwner} from '@wisteriarun/core';

const SERVICE = 'records';
const CAPACITY = 3_000;

const servers = (count: number, capacity = CAPACITY): PlannedServer[] =>
  Array.from({length: count}, (_, index) => ({id: `s${index}`, capacity}));

function owner(server: string | null, fromKey: number, toKey: number) {
  const range: RangeOwner = {
    service: SERVICE,
    fromKey,
    toKey,
    server,
    former: null,
    bornMs: 1,
    fence: 1,
    moving: false,
  };
  return range;
}

/** Source of pseudorandom numbers from 0 to 1. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) & 0x7fffffff;
    return state / 0x7fffffff;
  };
}

function evenTable(count: number): RangeTable {
  const moves = initialRanges(servers(count));
  return new RangeTable(
    moves.map(({to, fromKey, toKey}) => owner(to, fromKey, toKey)),
  );
}

/**
 * Load in ms/s: `hot` on each of `hotCount` keys from `hotFrom` on, and 2 on
 * every 16th key.
 */
function loadMap(hotFrom: number, hotCount: number, hot: number): KeyLoadMap {
  const load = new KeyLoadMap(1_000 * Math.LN2);
  for (let key = 0; key < KEY_COUNT; key += 16) load.add(key, 2);
  for (let index = 0; index < hotCount; index += 1) {
    load.add(hotFrom + index, hot);
  }
  return load;
}

function maxUtilization(
  table: RangeTable,
  load: KeyLoadMap,
  members: readonly PlannedServer[],
): number {
  const utilizations = members.map(({id, capacity}) => {
    const ranges = table.ofServer(id);
    return ranges.reduce((sum, range) => sum + load.sum(range), 0) / capacity;
  });
  return Math.max(...utilizations);
}

function rebalanceOnce(table: RangeTable, planner: RangePlanner): number {
  const moves = planner.rebalance();
  for (const {to, fromKey, toKey} of moves) {
    table.assign(owner(to, fromKey, toKey));
  }
  return moves.length;
}

function rebalanceSteps(
  table: RangeTable,
  load: KeyLoadMap,
  members: readonly PlannedServer[],
  steps: number,
): void {
  for (let step = 0; step < steps; step += 1) {
    const ranges = table.ofService(SERVICE);
    rebalanceOnce(table, new RangePlanner(load, members, ranges));
  }
}

describe('initial ranges', () => {
  it('cover every key once, for any number of servers', () => {
    fc.assert(
      fc.property(
        fc.array(fc.double({min: 0.1, max: 9, noNaN: true}), {
          minLength: 1,
          maxLength: 300,
        }),
        capacities => {
          const members = capacities.map((capacity, index) => ({
            id: `s${index}`,
            capacity,
          }));
          let next = 0;
          for (const {fromKey, toKey} of initialRanges(members)) {
            expect(fromKey).toBe(next);
            expect(toKey).toBeGreaterThanOrEqual(fromKey);
            next = toKey + 1;
          }
          expect(next).toBe(KEY_COUNT);
        },
      ),
    );
  });
});

describe('rebalancing', () => {
  it('spreads neighboring hot keys over all servers in a few steps', () => {
    const members = servers(33);
    const table = evenTable(33);
    const load = loadMap(30_000, 200, 100);
    const before = maxUtilization(table, load, members);
    rebalanceSteps(table, load, members, 6);
    expect(before).toBeGreaterThan(5);
    expect(maxUtilization(table, load, members)).toBeLessThan(1.2);
  });

  it('plans no move for a balanced table', () => {
    const table = evenTable(8);
    const load = loadMap(0, 0, 0);
    const planner = new RangePlanner(
      load,
      servers(8),
      table.ofService(SERVICE),
    );
    expect(planner.rebalance()).toEqual([]);
  });

  it('does not pass a single hot key on from server to server', () => {
    const members = servers(4);
    const table = evenTable(4);
    const load = loadMap(10, 1, 5_000);
    let moves = 0;
    for (let step = 0; step < 10; step += 1) {
      moves = rebalanceOnce(
        table,
        new RangePlanner(load, members, table.ofService(SERVICE)),
      );
    }
    expect(moves).toBe(0);
    expect(table.find(SERVICE, 10)?.server).toBe('s0');
  });

  it('moves a hot key to the fastest server, and other keys off that server', () => {
    const members = servers(6).map(({id}) => ({
      id,
      capacity: id === 's4' ? 5_100 : 2_100,
    }));
    const table = evenTable(6);
    const load = loadMap(10, 1, 5_000);
    rebalanceSteps(table, load, members, 6);
    expect(table.find(SERVICE, 10)?.server).toBe('s4');
    const others = table
      .ofServer('s4')
      .reduce((sum, range) => sum + load.sum(range), -load.at(10));
    expect(others).toBeLessThan(300);
  });

  // Guards against late answers under low load: slow servers, which are late
  // even without a queue, got load in proportion to their capacity, and none of
  // it was moved while the servers were idle.
  it('gives slow servers less than their share while capacity is spare', () => {
    const members = servers(12).map(({id}, index) => ({
      id,
      capacity: index % 3 === 0 ? 5_100 : 2_100,
    }));
    const table = evenTable(12);
    const load = loadMap(0, 0, 0);
    rebalanceSteps(table, load, members, 12);
    const utilization = ({id, capacity}: PlannedServer) =>
      table.ofServer(id).reduce((sum, range) => sum + load.sum(range), 0) /
      capacity;
    const slow = members.filter(({capacity}) => capacity === 2_100);
    const fast = members.filter(({capacity}) => capacity === 5_100);
    // A proportional division of 8.2 s/s on 37.2 s/s would give 0.22 each.
    for (const server of slow) expect(utilization(server)).toBeLessThan(0.2);
    for (const server of fast) expect(utilization(server)).toBeLessThan(0.5);
  });

  it('divides a load above the capacity in proportion to the capacity', () => {
    const members = servers(12).map(({id}, index) => ({
      id,
      capacity: index % 3 === 0 ? 510 : 210,
    }));
    const table = evenTable(12);
    const load = loadMap(0, 0, 0);
    rebalanceSteps(table, load, members, 12);
    // 8.2 s/s on 3.7 s/s give 2.2 each; up to 20% more is not overloaded.
    expect(maxUtilization(table, load, members)).toBeLessThan(2.2 * 1.2 + 0.1);
  });

  // Guards against keys that move again and again on a calm day, because a few
  // requests of 300 ms make the load of a server with three slots look uneven.
  it('moves few keys for the noise of a steady load', () => {
    const SERVERS = 300;
    const REQUESTS_PER_S = 1_800;
    const WORK_MS = 300;
    const STEP_MS = 250;
    const moveCount = (requestWorkMs: number) => {
      const random = seededRandom(7);
      const load = new KeyLoadMap(1_500);
      load.requestWorkMs = requestWorkMs;
      const table = evenTable(SERVERS);
      const members = servers(SERVERS);
      let moves = 0;
      for (let nowMs = 0; nowMs < 12_000; nowMs += STEP_MS) {
        load.decay(nowMs);
        const count = (REQUESTS_PER_S * STEP_MS) / 1_000;
        for (let at = 0; at < count; at += 1) {
          load.add(Math.floor(random() * KEY_COUNT), WORK_MS);
        }
        if (nowMs < 4_000) continue;
        const ranges = table.ofService(SERVICE);
        moves += rebalanceOnce(table, new RangePlanner(load, members, ranges));
      }
      return moves;
    };
    expect(moveCount(WORK_MS)).toBeLessThan(moveCount(0) / 4);
  });

  it('spreads keys that become hot within a few steps over hundreds of servers', () => {
    const members = servers(300);
    const table = evenTable(300);
    // A third of the load on 200 keys, which one server owns at first.
    const load = loadMap(10, 200, 900);
    load.requestWorkMs = 300;
    const before = maxUtilization(table, load, members);
    rebalanceSteps(table, load, members, 4);
    expect(before).toBeGreaterThan(50);
    expect(maxUtilization(table, load, members)).toBeLessThan(1.2);
  });

  it('plans moves that do not overlap and name the current owner', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 2, max: 40}),
        fc.integer({min: 0, max: KEY_COUNT - 300}),
        fc.integer({min: 1, max: 250}),
        fc.integer({min: 1, max: 400}),
        (count, hotFrom, hotCount, hot) => {
          const table = evenTable(count);
          const planner = new RangePlanner(
            loadMap(hotFrom, hotCount, hot),
            servers(count),
            table.ofService(SERVICE),
          );
          const moves = planner
            .rebalance()
            .sort((a, b) => a.fromKey - b.fromKey);
          let end = -1;
          for (const move of moves) {
            expect(move.fromKey).toBeGreaterThan(end);
            expect(move.to).not.toBe(move.from);
            end = move.toKey;
            for (const key of [move.fromKey, move.toKey]) {
              expect(table.find(SERVICE, key)?.server).toBe(move.from);
            }
          }
        },
      ),
      {numRuns: 30},
    );
  });
});

describe('placing ranges that leave their owners', () => {
  it('moves all keys to several of the remaining servers', () => {
    const table = evenTable(5);
    const leaving = table.ofServer('s2');
    const staying = servers(5).filter(({id}) => id !== 's2');
    const planner = new RangePlanner(
      loadMap(0, 0, 0),
      staying,
      table.ofService(SERVICE),
    );
    const moves = planner.place(leaving);
    const covered = moves.reduce(
      (sum, {fromKey, toKey}) => sum + toKey - fromKey + 1,
      0,
    );
    expect(covered).toBe(leaving[0]!.toKey - leaving[0]!.fromKey + 1);
    expect(moves.map(({to}) => to)).not.toContain('s2');
    expect(new Set(moves.map(({to}) => to)).size).toBeGreaterThan(1);
  });

  it('spreads ranges without known load over all servers', () => {
    const table = evenTable(30);
    const members = servers(30).slice(0, 10);
    const lost = table
      .all()
      .filter(({server}) => members.every(({id}) => id !== server));
    const load = new KeyLoadMap(1_000);
    const moves = new RangePlanner(load, members, table.all()).place(lost);
    const counts = members.map(
      ({id}) => moves.filter(({to}) => to === id).length,
    );
    expect(Math.max(...counts)).toBeLessThanOrEqual(2);
  });

  it('plans no move while there is no server', () => {
    const planner = new RangePlanner(loadMap(0, 0, 0), [], []);
    expect(planner.place([owner('s0', 0, 10)])).toEqual([]);
  });
});
