import {describe, expect, it} from 'vitest';
import {
  CONTROL_BUDGET,
  TARGET_SIZE,
  averageBytesPerSecond,
  divideVms,
  meshLimits,
  meshLoad,
  sizeAtLimit,
} from '../src/capacity/model.js';
import {
  seededRandom,
  fitLine,
  median,
  quantile,
} from '../src/capacity/stats.js';
import {
  KeyWorkload,
  SERVICES,
  generateServers,
  totalCapacity,
} from '../src/ownership/workload.js';

describe('slopes', () => {
  // Guards against counting a fixed cost as growth with the size.
  it('fits the slope and the intercept separately', () => {
    const line = fitLine([10, 20, 40].map(x => ({x, y: 7 + 3 * x})));
    expect(line.slope).toBeCloseTo(3);
    expect(line.intercept).toBeCloseTo(7);
    expect(line.r2).toBeCloseTo(1);
  });

  // Guards against reporting points that lie on no line as a good fit.
  it('reports a low r2 for points that lie on no line', () => {
    const points = [5, 1, 6, 2].map((y, x) => ({x, y}));
    expect(fitLine(points).r2).toBeLessThan(0.2);
  });

  // Guards against quantiles that are off by one rank.
  it('computes quantiles by the nearest rank', () => {
    const values = [5, 1, 4, 2, 3];
    expect(median(values)).toBe(3);
    expect(quantile(values, 0)).toBe(1);
    expect(quantile(values, 0.95)).toBe(5);
    expect(median([])).toBeNaN();
  });
});

describe('estimate', () => {
  // Guards against losing VMs or counting them twice.
  it('divides all VMs into entry VMs and servers', () => {
    // 2,700 VMs in 11 zones, with 3 servers for each entry VM.
    const {entries, servers, serversPerZone} = divideVms(TARGET_SIZE);
    expect(entries + servers).toBe(TARGET_SIZE.vms);
    expect(entries).toBe(675);
    expect(serversPerZone).toBeCloseTo(184.1, 1);
    const currentDeployment = divideVms({...TARGET_SIZE, vms: 48, zones: 3});
    expect(currentDeployment).toMatchObject({entries: 12, servers: 36});
  });

  // Guards against counting only one direction, or a VM as its own peer.
  it('counts messages to and from all peers but not to the VM itself', () => {
    const cost = {sizeBytes: 100, cpuUs: 10, perSecond: 4};
    expect(meshLoad(1, cost).bytesPerSecond).toBe(0);
    // A VM sends 8 messages per second and receives 8. Their bytes count in
    // both directions; `cpuUs` covers both ends of a message and counts once.
    expect(meshLoad(3, cost)).toEqual({
      messagesPerSecond: 16,
      bytesPerSecond: 1_600,
      cpuUs: 80,
    });
  });

  // Guards against mesh limits that exceed the budget or leave some of it unused.
  it('finds the largest mesh within the budget', () => {
    const cost = {sizeBytes: 95, cpuUs: 9, perSecond: 4};
    const {byBytes, byCpu} = meshLimits(cost, CONTROL_BUDGET);
    // CONTROL_BUDGET allows 15,000 bytes and 33,000 us per second.
    expect(meshLoad(byBytes, cost).bytesPerSecond).toBeLessThanOrEqual(15_000);
    expect(meshLoad(byBytes + 1, cost).bytesPerSecond).toBeGreaterThan(15_000);
    expect(meshLoad(byCpu, cost).cpuUs).toBeLessThanOrEqual(33_000);
    expect(meshLoad(byCpu + 1, cost).cpuUs).toBeGreaterThan(33_000);
  });

  // Guards against mixing up days and seconds, and rounding up past a limit.
  it('converts records per day to bytes per second, and limits to sizes', () => {
    expect(averageBytesPerSecond(1_000, 86_400)).toBe(1_000);
    // Limit, growth per unit of size, and value at size 0.
    expect(sizeAtLimit(1_048_576, 41.5, 5_000)).toBe(25_146);
  });
});

describe('workload of the simulation', () => {
  // Guards against comparing placements under different total loads.
  it('keeps the total load when the hot set moves', () => {
    const spec = SERVICES[0]!;
    const random = seededRandom(1);
    const capacity = totalCapacity(generateServers(spec, random));
    const keys = new KeyWorkload(spec, capacity, random);
    const total = () => keys.loadByKey.reduce((a, b) => a + b, 0);
    const before = [...keys.loadByKey];
    // The workload loads the servers to half of their capacity.
    expect(total()).toBeCloseTo(capacity / 2);
    keys.moveHotSet();
    expect(total()).toBeCloseTo(capacity / 2);
    expect([...keys.loadByKey]).not.toEqual(before);
  });
});
