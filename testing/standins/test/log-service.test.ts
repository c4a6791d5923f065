import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {LogService, VmList, type Address} from '@wisteriarun/standins';

let log: LogService;
let baseUrl: string;

const urlOf = ({host, port}: Address) => `http://${host}:${port}`;
const append = (record: unknown, headers: Record<string, string> = {}) =>
  fetch(`${baseUrl}/streams/s/records`, {
    method: 'POST',
    headers,
    body: JSON.stringify({record}),
  });
const read = (query: string, headers: Record<string, string> = {}) =>
  fetch(`${baseUrl}/streams/s/records?${query}`, {headers});
const control = (change: unknown) =>
  fetch(`${baseUrl}/control`, {method: 'POST', body: JSON.stringify(change)});

beforeEach(async () => {
  log = new LogService();
  baseUrl = urlOf(await log.start());
});
afterEach(() => log.close());

describe('log service', () => {
  it('numbers records from 1 and reads them back in order', async () => {
    expect(await (await append({kind: 'term'})).json()).toEqual({offset: 1});
    expect(await (await append({kind: 'assign'})).json()).toEqual({offset: 2});
    expect(await (await read('from=1&limit=1')).json()).toEqual({
      first: 1,
      next: 2,
      records: [{offset: 1, record: {kind: 'term'}}],
    });
    expect(log.counters().appends).toEqual({term: 1, assign: 1});
  });

  it('answers a long poll as soon as a record is appended', async () => {
    const waiting = read('from=1&waitMs=10000');
    await append({kind: 'term'});
    const batch = (await (await waiting).json()) as {records: unknown[]};
    expect(batch.records).toHaveLength(1);
  });

  it('answers 410 with the first offset for expired records', async () => {
    await control({retainCount: 2});
    for (let i = 0; i < 5; i++) await append({kind: 'term'});
    const response = await read('from=1');
    expect(response.status).toBe(410);
    expect(await response.json()).toEqual({first: 4});
  });

  it('keeps offsets after all records have expired by age', async () => {
    await append({kind: 'term'});
    await control({retainAgeMs: 1});
    await new Promise(resolve => setTimeout(resolve, 10));
    expect((await read('from=1')).status).toBe(410);
    expect(await (await append({kind: 'term'})).json()).toEqual({offset: 2});
  });

  it('stores the record of an append that it does not acknowledge', async () => {
    await control({loseAnswers: 1});
    await expect(append({kind: 'term'})).rejects.toThrow();
    expect(log.records('s')).toHaveLength(1);
    expect((await append({kind: 'term'})).status).toBe(201);
  });

  it.each([
    ['outage', {outage: true}, {}, 503, 503],
    ['other client', {clientOutages: ['b']}, {}, 201, 200],
    ['client outage', {clientOutages: ['a']}, {}, 503, 503],
    ['rate', {appendsPerSecond: 1}, {burst: true}, 429, 200],
  ])(
    'refuses only the requests that a fault affects: %s',
    async (_, faults, {burst}: {burst?: boolean}, appendStatus, readStatus) => {
      const headers = {'x-wisteriarun-client': 'a'};
      await control(faults);
      if (burst) await append({kind: 'term'}, headers);
      expect((await append({kind: 'term'}, headers)).status).toBe(appendStatus);
      expect((await read('from=1', headers)).status).toBe(readStatus);
      if (appendStatus !== 201)
        expect(log.records('s')).toHaveLength(burst ? 1 : 0);
    },
  );

  it('delays answers and fails a long poll when an outage begins', async () => {
    await control({slowMs: 60});
    const startMs = performance.now();
    await append({kind: 'term'});
    expect(performance.now() - startMs).toBeGreaterThanOrEqual(55);
    await control({slowMs: 0});
    const waiting = read('from=2&waitMs=10000');
    await new Promise(resolve => setTimeout(resolve, 50));
    await control({outage: true});
    expect((await waiting).status).toBe(503);
  });
});

describe('VM list', () => {
  it('shows a change after the delay and answers 503 in an outage', async () => {
    const list = new VmList({lagMs: 80});
    const url = urlOf(await list.start());
    const vm = {
      id: 'e1',
      role: 'entry',
      zone: 'a',
      address: '127.0.0.1:1',
      state: 'live',
    };
    const post = (change: unknown) =>
      fetch(`${url}/control`, {method: 'POST', body: JSON.stringify(change)});
    await post({vms: [vm]});
    expect(await (await fetch(`${url}/vms`)).json()).toEqual({vms: []});
    await new Promise(resolve => setTimeout(resolve, 100));
    expect(await (await fetch(`${url}/vms`)).json()).toEqual({vms: [vm]});
    await post({outage: true});
    expect((await fetch(`${url}/vms`)).status).toBe(503);
    await list.close();
  });
});
