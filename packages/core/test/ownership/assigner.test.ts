import {describe, expect, it} from 'vitest';
import {
  Assigner,
  certainExpiryMs,
  type AssignerCommand,
  type Bundle,
  type EntryVm,
  type ServerStatus,
} from '@wisteriarun/core';
import {TestLog, makeBundle, type BundleOptions} from './fold.js';

type Of<K extends AssignerCommand['kind']> = Extract<
  AssignerCommand,
  {kind: K}
>;

const entry = (vm: string, draining = false): EntryVm => ({
  vm,
  capacity: 1,
  draining,
});

/** Drives an assigner by hand; servers answer at once unless silenced. */
class Bench {
  readonly log = new TestLog();
  readonly assigner: Assigner;
  readonly silent = new Set<string>();
  readonly boots = new Map<string, string>();
  readonly statuses = new Map<string, Partial<ServerStatus>>();
  readonly seen: AssignerCommand[] = [];
  nowMs = 0;
  logAvailable = true;
  confirms = true;
  confirmedAtMs = 0;
  appends = true;
  entries: EntryVm[] = [entry('a'), entry('b')];
  onPermission: (command: Of<'permission'>) => void = () => {};

  constructor(bundle: Bundle, hasPredecessor = false) {
    this.log.append({kind: 'bundle', body: bundle});
    const term = this.log.append({
      kind: 'term',
      author: 'a',
      zone: 'z1',
      authorZone: 'z1',
      baseTerm: 0,
    });
    this.assigner = new Assigner({
      vm: 'a',
      zone: 'z1',
      term,
      termAcknowledgedAtMs: 0,
      nowMs: 0,
      hasPredecessor,
      longestDeadlineMs: () => 10_000,
    });
  }

  /** Steps every 10 ms and returns the commands of the period. */
  run(durationMs: number): AssignerCommand[] {
    const from = this.seen.length;
    for (let end = this.nowMs + durationMs; this.nowMs < end;) {
      this.nowMs += 10;
      if (this.confirms) this.confirmedAtMs = this.nowMs;
      const commands = this.assigner.step({
        nowMs: this.nowMs,
        wallMs: this.nowMs,
        state: this.log.latest,
        entries: this.entries,
        removedServers: new Set(),
        logAvailable: this.logAvailable,
        termConfirmedAtMs: this.confirmedAtMs,
      });
      for (const command of commands) {
        this.seen.push(command);
        this.answer(command);
      }
    }
    return this.seen.slice(from);
  }

  private answer(command: AssignerCommand): void {
    if (command.kind === 'append' && this.appends) {
      const offset = this.log.append(command.record);
      const accepted = this.log.accepted[offset - 1]!;
      this.assigner.onAppendResult({recordId: 'r', accepted});
    }
    if (command.kind === 'permission') this.onPermission(command);
    if (command.kind !== 'lease' && command.kind !== 'probe') return;
    const {server} = command;
    if (this.silent.has(server)) {
      this.assigner.onServerFailure({server, nowMs: this.nowMs});
      return;
    }
    const lease = command.kind === 'lease' ? command.request : null;
    const status: ServerStatus = {
      bootId: this.boots.get(server) ?? '1',
      clockMs: this.nowMs,
      term: lease?.term ?? 0,
      fence: lease?.fence ?? null,
      dispatcher: lease?.dispatcher ?? null,
      busy: [],
      inFlight: 0,
      load: 0,
      draining: false,
      ...this.statuses.get(server),
    };
    const receivedAtMs = this.nowMs;
    const sentLease = lease;
    this.assigner.onServerStatus({server, receivedAtMs, status, sentLease});
  }
}

function pick<K extends AssignerCommand['kind']>(
  commands: readonly AssignerCommand[],
  kind: K,
): Of<K>[] {
  return commands.filter((c): c is Of<K> => c.kind === kind);
}

const two = (options: Partial<BundleOptions> = {}) =>
  makeBundle({servers: [{id: 's1', batch: 'b1'}, {id: 's2'}], ...options});

const dispatcherOf = (bench: Bench, server: string) =>
  pick(bench.seen, 'dispatch-table')
    .at(-1)!
    .table.rows.find(r => r.server === server)?.dispatcher;

describe('leases', () => {
  it('grants to a restarted server only after the term was confirmed', () => {
    const bench = new Bench(two());
    bench.run(500);
    bench.confirms = false;
    bench.boots.set('s1', '2');
    bench.statuses.set('s1', {term: 0, fence: null, dispatcher: null});
    bench.run(310);
    const leases = () =>
      pick(bench.run(1_000), 'lease').filter(c => c.server === 's1').length;
    expect(leases()).toBe(0);
    bench.confirms = true;
    expect(leases()).toBeGreaterThan(0);
  });

  it('renews at the interval and never has two calls outstanding', () => {
    const bench = new Bench(two());
    bench.run(1_000);
    const renewals = pick(bench.run(3_000), 'lease');
    expect(renewals.length).toBe(20);
  });
});

describe('dispatchers', () => {
  it('keeps the dispatcher and fence that a server reports', () => {
    const bench = new Bench(two());
    const fence = {term: 1, seq: 9};
    bench.statuses.set('s1', {term: 1, fence, dispatcher: 'b'});
    const lease = pick(bench.run(100), 'lease').find(c => c.server === 's1')!;
    expect(lease.request).toMatchObject({fence, dispatcher: 'b'});
  });

  it('changes a draining dispatcher by stop, then fence, then table', () => {
    const bench = new Bench(two());
    bench.run(500);
    const old = dispatcherOf(bench, 's1')!;
    const next = old === 'a' ? 'b' : 'a';
    bench.entries = [entry(old, true), entry(next)];
    const before = bench.run(500);
    const stop = pick(before, 'dispatch-stop').find(
      c => c.message.server === 's1',
    )!;
    expect([stop.to, stop.message.next]).toEqual([old, next]);
    expect(dispatcherOf(bench, 's1')).toBe(old);
    bench.silent.add('s1');
    const term = stop.message.term;
    const message = {kind: 'dispatch-stopped', server: 's1', term} as const;
    bench.assigner.onDispatchStopped(message, next);
    bench.run(50);
    expect(dispatcherOf(bench, 's1')).toBe(old);
    bench.assigner.onDispatchStopped(message, old);
    bench.run(500);
    expect(dispatcherOf(bench, 's1')).toBeUndefined();
    bench.silent.clear();
    bench.run(500);
    expect(dispatcherOf(bench, 's1')).toBe(next);
  });

  it('replaces a lost dispatcher while the log is down', () => {
    const bench = new Bench(two());
    bench.run(500);
    const old = dispatcherOf(bench, 's1')!;
    const next = old === 'a' ? 'b' : 'a';
    bench.logAvailable = bench.confirms = false;
    bench.entries = [entry(next)];
    expect(pick(bench.run(100), 'dispatch-stop')).toEqual([]);
    expect(dispatcherOf(bench, 's1')).toBe(next);
  });
});

describe('planned moves', () => {
  function leave(): {bench: Bench; drain: Of<'shard-drain'>} {
    const bench = new Bench(two());
    bench.run(500);
    const body = two({leaveAtMs: 100_000});
    bench.log.append({kind: 'bundle', body});
    const drain = pick(bench.run(100), 'shard-drain')[0]!;
    return {bench, drain};
  }

  function confirm(bench: Bench, drain: Of<'shard-drain'>): void {
    const {term, server, service, shards} = drain.message;
    const kind = 'shard-drained';
    bench.assigner.onShardDrained({kind, term, server, service, shards});
  }

  it('keeps the grant until the dispatcher has drained', () => {
    const {bench, drain} = leave();
    const grants = () =>
      pick(bench.run(350), 'lease')
        .filter(c => c.server === 's1')
        .at(-1)!.request.grants.length;
    const before = grants();
    bench.statuses.set('s1', {
      busy: drain.message.shards.map(shard => ({service: 'svc', shard})),
    });
    confirm(bench, drain);
    expect(grants()).toBe(before - 1);
    expect(pick(bench.run(500), 'append')).toEqual([]);
    bench.statuses.clear();
    expect(pick(bench.run(500), 'append').length).toBe(1);
  });

  it('gives the shard back when the append is refused', () => {
    const {bench, drain} = leave();
    bench.appends = false;
    confirm(bench, drain);
    expect(pick(bench.run(200), 'append').length).toBe(1);
    bench.logAvailable = false;
    bench.assigner.onAppendResult({recordId: 'r', accepted: false});
    const commands = bench.run(350);
    expect(pick(commands, 'shard-drain')[0]!.message.drain).toBe(false);
    const lease = pick(commands, 'lease').find(c => c.server === 's1')!;
    const [shard] = drain.message.shards;
    expect(lease.request.grants.map(g => g.shard)).toContain(shard);
  });

  it('gives the shard back when the log stays down', () => {
    const {bench, drain} = leave();
    bench.logAvailable = false;
    confirm(bench, drain);
    const events = pick(bench.run(2_000), 'event').map(c => c.event.cause);
    expect(events).toContain('log-unavailable');
    expect(pick(bench.run(500), 'append')).toEqual([]);
  });

  it('has at most two balance moves in flight', () => {
    const bench = new Bench(two({shards: 16}));
    // The initial placement counts as a move, after which shards rest.
    bench.run(61_000);
    const vm = dispatcherOf(bench, 's1')!;
    const shards = bench.log.latest.services
      .get('svc')!
      .rows.flatMap((row, shard) => (row.server === 's1' ? [shard] : []))
      .map(shard => ({
        service: 'svc',
        shard,
        busySlots: 0.4,
        hotKey: null,
        hotKeyShare: 0,
      }));
    const server = {
      server: 's1',
      serviceTimeMs: 5,
      busySlots: 3,
      queued: 0,
      shards,
    };
    bench.assigner.onLoadReport({kind: 'load-report', vm, servers: [server]});
    const drains = pick(bench.run(900), 'shard-drain');
    expect(drains.flatMap(d => d.message.shards).length).toBe(2);
  });
});

describe('hot keys', () => {
  it('isolates a key that took over half of the slots for 30 s, once', () => {
    const bench = new Bench(two());
    bench.run(500);
    const vm = dispatcherOf(bench, 's1')!;
    const shard = bench.log.latest.services
      .get('svc')!
      .rows.findIndex(row => row.server === 's1');
    const hot = {service: 'svc', shard, busySlots: 3, hotKeyShare: 0.9};
    const server = {
      server: 's1',
      serviceTimeMs: 5,
      busySlots: 3,
      queued: 0,
      shards: [{...hot, hotKey: 'k'}],
    };
    const report = {kind: 'load-report', vm, servers: [server]} as const;
    const isolations = (durationMs: number) => {
      bench.assigner.onLoadReport({...report, servers: [...report.servers]});
      return pick(bench.run(durationMs), 'append').filter(
        c => c.record.kind === 'isolate',
      ).length;
    };
    expect(isolations(29_900)).toBe(0);
    expect(isolations(200)).toBe(0);
    bench.appends = false;
    expect(isolations(5_000)).toBe(1);
  });
});

describe('servers that do not check grants', () => {
  const unchecked = {checksGrants: false, servers: [{id: 's1'}]};

  function start(): Bench {
    const bench = new Bench(two(unchecked));
    bench.onPermission = ({to, message: {server, term}}) => {
      if (!bench.entries.some(e => e.vm === to)) return;
      bench.assigner.onPermissionAck({
        vm: to,
        receivedAtMs: bench.nowMs,
        msg: {
          kind: 'permission-ack',
          server,
          term,
          clockMs: bench.nowMs + 5_000,
          busy: [],
        },
      });
    };
    bench.run(1_500);
    return bench;
  }

  it('sends permissions to the dispatcher and no leases', () => {
    const bench = start();
    expect(pick(bench.seen, 'lease')).toEqual([]);
    const {message} = pick(bench.run(350), 'permission').at(-1)!;
    expect(message.grants.length).toBe(8);
    expect(message.expiresAtMs).toBeLessThanOrEqual(bench.nowMs + 6_200);
  });

  it('waits for expiry and the longest deadline after a lost dispatcher', () => {
    const bench = start();
    const old = dispatcherOf(bench, 's1')!;
    const next = old === 'a' ? 'b' : 'a';
    bench.entries = [entry(next)];
    const last = pick(bench.seen, 'permission').at(-1)!;
    const validUntilMs = last.message.expiresAtMs - 5_000;
    const early = bench.run(validUntilMs + 10_000 - bench.nowMs);
    const toNext = pick(early, 'permission').filter(c => c.to === next);
    expect(toNext).toEqual([]);
    bench.run(200);
    expect(dispatcherOf(bench, 's1')).toBe(next);
  });

  it('grants nothing in a later term before the former one has ended', () => {
    const bench = new Bench(two(unchecked), true);
    const until = 700 + certainExpiryMs() + 10_000;
    expect(pick(bench.run(until - 20), 'permission')).toEqual([]);
    expect(pick(bench.run(100), 'permission').length).toBeGreaterThan(0);
  });
});
