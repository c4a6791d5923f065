import type {
  Bundle,
  ChangeRecord,
  ServerLoad,
  Verdict,
} from '@wisteriarun/core';
import {Metrics} from '@wisteriarun/runtime';
import {beforeEach, describe, expect, test} from 'vitest';
import type {FoldedRecord} from '../src/control/state-replica.js';
import {
  DaemonMetrics,
  ImbalanceMeter,
  RequestMeter,
  UnavailableTime,
} from '../src/metrics/index.js';

let nowMs = 0;
const clock = {monotonicMs: () => nowMs, wallMs: () => nowMs};
let metrics: Metrics;
beforeEach(() => {
  nowMs = 0;
  metrics = new Metrics();
});

const lines = (name: string) =>
  metrics
    .render()
    .split('\n')
    .filter(line => line.startsWith(name));

describe('requests', () => {
  test('are counted by service, outcome and reason', () => {
    const meter = new RequestMeter(
      metrics,
      new UnavailableTime(metrics, clock),
    );
    meter.recordRequest('filing', null, 5, 3);
    meter.recordRequest('filing', null, 5, 3);
    meter.recordRequest('filing', 'no-owner', 9, null);
    meter.recordRequest('filing', 'answer-timeout', 9, null);
    meter.recordRequest(null, 'unknown-service', 1, null);
    expect(lines('wisteriarun_requests_total')).toEqual([
      'wisteriarun_requests_total{service="filing",outcome="answered",reason=""} 2',
      'wisteriarun_requests_total{service="filing",outcome="not-run",reason="no-owner"} 1',
      'wisteriarun_requests_total{service="filing",outcome="unknown",reason="answer-timeout"} 1',
      'wisteriarun_requests_total{service="(none)",outcome="not-run",reason="unknown-service"} 1',
    ]);
    expect(metrics.render()).toContain(
      'wisteriarun_router_time_us_sum{service="filing"} 4000',
    );
  });
});

describe('unavailable time', () => {
  const total = () =>
    Number(lines('wisteriarun_unavailable_shard_ms_total')[0]?.split(' ')[1]);
  let unavailable: UnavailableTime;
  beforeEach(() => {
    unavailable = new UnavailableTime(metrics, clock);
  });

  test('lasts from the first failed try to the next answered one', () => {
    unavailable.recordUnserved('s', 1);
    nowMs = 100;
    unavailable.recordUnserved('s', 1);
    nowMs = 150;
    unavailable.recordServed('s', 2);
    nowMs = 400;
    unavailable.recordServed('s', 1);
    nowMs = 900;
    unavailable.recordServed('s', 1);
    expect(total()).toBe(400);
  });

  test('is summed over shards', () => {
    unavailable.recordUnserved('s', 1);
    unavailable.recordUnserved('s', 2);
    nowMs = 50;
    unavailable.recordServed('s', 1);
    unavailable.recordServed('s', 2);
    expect(total()).toBe(100);
  });

  // Guards against counting hours of unavailable time for a shard that gets no
  // requests.
  test('ends with the last failed try when no other follows in time', () => {
    unavailable.recordUnserved('s', 1);
    nowMs = 200;
    unavailable.recordUnserved('s', 1);
    nowMs = 3_600_000;
    unavailable.recordServed('s', 1);
    expect(total()).toBe(200);
  });

  // Guards against memory that grows with the shards of all services.
  test('is tracked for a bounded number of shards', () => {
    for (let shard = 0; shard < 10_000; shard++)
      unavailable.recordUnserved('s', shard);
    nowMs = 1;
    for (let shard = 0; shard < 10_000; shard++)
      unavailable.recordServed('s', shard);
    expect(total()).toBe(4_096);
  });
});

describe('imbalance', () => {
  const slots: Record<string, number> = {a1: 2, a2: 4, b1: 2};
  const load = (server: string, busySlots: number): ServerLoad => ({
    server,
    busySlots,
    serviceTimeMs: 1,
    queued: 0,
    shards: [],
  });
  const server = (id: string) =>
    id in slots
      ? ({
          id,
          zone: id[0] ?? '',
          service: 's',
          slots: slots[id],
        } as Bundle['servers'][number])
      : null;

  test('is the largest busy share over the mean of the window', () => {
    const meter = new ImbalanceMeter({
      metrics,
      clock,
      server,
      isAssigner: zone => zone === 'a',
    });
    const name = 'wisteriarun_imbalance_ratio{';
    meter.addReport([load('a1', 1), load('b1', 2), load('gone', 2)]);
    meter.addReport([load('a1', 2), load('a2', 1)]);
    expect(lines(name)).toEqual([]);
    nowMs = 10_000;
    // The servers had 0.75 and 0.25 of their slots busy.
    expect(lines(name)).toEqual([`${name}zone="a",service="s"} 1.5`]);
    nowMs = 20_000;
    // Guards against publishing an old value after the term has ended.
    expect(lines(name)).toEqual([]);
  });
});

describe('process and roles', () => {
  const create = () =>
    new DaemonMetrics(metrics, {
      clock,
      serverUsages: () => [{server: 'a1', inFlight: 2, queued: 5, limit: 3}],
      logAvailable: () => false,
      offset: () => 17,
      peersConnected: () => 4,
    });

  test('renders the state of servers, log, peers, memory and leases', () => {
    const daemon = create();
    daemon.recordRenewed('a1', 1_200);
    daemon.recordFailed();
    daemon.recordRefused();
    daemon.recordAppend('uncertain', 12);
    nowMs = 500;
    const text = metrics.render();
    daemon.close();
    for (const line of [
      'wisteriarun_server_in_flight{server="a1"} 2',
      'wisteriarun_server_queue_length{server="a1"} 5',
      'wisteriarun_server_slots{server="a1"} 3',
      'wisteriarun_log_up 0',
      'wisteriarun_log_offset 17',
      'wisteriarun_peers_connected 4',
      'wisteriarun_lease_time_left_ms{server="a1"} 700',
      'wisteriarun_lease_calls_total{result="renewed"} 1',
      'wisteriarun_lease_calls_total{result="failed"} 1',
      'wisteriarun_lease_calls_total{result="refused"} 1',
      'wisteriarun_log_append_ms_count{result="uncertain"} 1',
    ]) {
      expect(text).toContain(`${line}\n`);
    }
    expect(text).toMatch(/^wisteriarun_resident_memory_bytes \d{7,}$/m);
  });

  test('counts moved shards of accepted records by reason', () => {
    const daemon = create();
    const folded = (kind: 'accepted' | 'rejected'): FoldedRecord => {
      const change = {
        service: 's',
        server: 'a1',
        reason: 'leaving' as const,
        formerFence: null,
      };
      const record: ChangeRecord = {
        kind: 'assign',
        id: 'r',
        author: 'vm',
        zone: 'a',
        term: 1,
        baseOffset: 1,
        changes: [
          {...change, shard: 1},
          {...change, shard: 2},
          {...change, shard: 3, server: null},
        ],
      };
      const error = {kind: 'unknown-shard', service: 's', shard: 1} as const;
      const verdict: Verdict =
        kind === 'accepted' ? {kind, record} : {kind, record, error};
      return {offset: 5, record, verdict};
    };
    daemon.onFolded(folded('accepted'));
    daemon.onFolded(folded('rejected'));
    daemon.close();
    expect(lines('wisteriarun_shards_moved_total')).toEqual([
      'wisteriarun_shards_moved_total{service="s",reason="leaving"} 2',
    ]);
  });

  test('renders the event-loop delay of the latest complete window', () => {
    const daemon = create();
    expect(lines('wisteriarun_event_loop_delay_us{')).toEqual([]);
    nowMs = 10_000;
    daemon.closeWindowIfDue();
    daemon.close();
    expect(lines('wisteriarun_event_loop_delay_us{')).toHaveLength(3);
  });
});
