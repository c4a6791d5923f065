/** Checks the router's guarantees against records of servers and callers. */
import type {Attempt} from './attempts.js';
import {isAcknowledged} from './attempts.js';
import type {LeaseRecord, RunRecord, ServerRecord} from './records.js';

/** A broken guarantee that the records show. */
export interface Violation {
  /**
   * The guarantee that was broken; the `find` functions below describe each. A
   * filing is a POST request.
   */
  readonly kind:
    | 'double-run'
    | 'double-owner'
    | 'lost-filing'
    | 'not-run-ran'
    | 'stale-read'
    | 'broken-checksum';
  /** What the violation is about: a key, a shard or an idempotency key. */
  readonly subject: string;
  /** Servers, times or versions that show the violation. */
  readonly detail: string;
}

/** Records of all servers and attempts of all callers in one test. */
export interface History {
  readonly records: readonly ServerRecord[];
  readonly attempts: readonly Attempt[];
}

/** Period in which one server accepted requests for a shard at one epoch. */
interface OwnershipPeriod {
  /** As `service/shard`. */
  readonly shard: string;
  readonly server: string;
  readonly epoch: number;
  /** Wall times of the first and the last acceptance. */
  readonly firstMs: number;
  readonly lastMs: number;
}

/**
 * Finds all violations in a history.
 *
 * @param history - Records of all servers and attempts of all callers.
 * @returns The violations; empty when every guarantee held.
 */
export function findViolations(history: History): Violation[] {
  const runs = selectRunRecords(history.records);
  return [
    ...findDoubleRuns(runs),
    ...findDoubleOwners(runs),
    ...findLostPosts(runs, history.attempts),
    ...findExecutedNotRunAttempts(runs, history.attempts),
    ...findStaleReads(history.attempts),
    ...findBrokenChecksums(history.attempts),
  ];
}

/**
 * Finds requests that are not idempotent (POST and PATCH) and took effect more
 * than once.
 *
 * @param runs - Run records of all servers.
 * @returns One violation per idempotency key.
 */
export function findDoubleRuns(runs: readonly RunRecord[]): Violation[] {
  const done = runs.filter(
    run =>
      run.effect === 'done' &&
      run.idempotencyKey !== null &&
      (run.method === 'POST' || run.method === 'PATCH'),
  );
  return [...groupBy(done, run => run.idempotencyKey!)]
    .filter(([, group]) => group.length > 1)
    .map(([subject, group]) => ({
      kind: 'double-run',
      subject,
      detail: group.map(run => `${run.server}@${run.wallMs}`).join(' '),
    }));
}

/**
 * Finds shards for which two servers accepted requests at overlapping times or
 * with the same epoch, or for which a later acceptance had a lower epoch. Each
 * change of a shard's server raises the epoch. A request is accepted at its
 * start and again when it takes effect. A request that was refused or cancelled
 * after its start counts at its start only.
 *
 * @param runs - Run records of all servers.
 * @returns One violation per period that conflicts with an earlier one.
 */
export function findDoubleOwners(runs: readonly RunRecord[]): Violation[] {
  const violations: Violation[] = [];
  const byShard = groupBy(ownershipPeriodsOf(runs), period => period.shard);
  for (const [subject, periods] of byShard) {
    periods.sort((a, b) => a.firstMs - b.firstMs);
    for (const [index, period] of periods.entries()) {
      const conflicting = periods
        .slice(0, index)
        .find(earlier => isConflict(earlier, period));
      if (!conflicting) continue;
      const detail = `${formatPeriod(conflicting)} ${formatPeriod(period)}`;
      violations.push({kind: 'double-owner', subject, detail});
    }
  }
  return violations;
}

/** Whether two periods of a shard, in the order of their starts, conflict. */
function isConflict(earlier: OwnershipPeriod, later: OwnershipPeriod): boolean {
  if (later.epoch < earlier.epoch) return true;
  if (later.server === earlier.server) return false;
  return later.epoch === earlier.epoch || later.firstMs <= earlier.lastMs;
}

/**
 * Finds POST requests that were acknowledged and took no effect at any server.
 *
 * @param runs - Run records of all servers.
 * @param attempts - Attempts of all callers.
 * @returns One violation per acknowledged attempt.
 */
export function findLostPosts(
  runs: readonly RunRecord[],
  attempts: readonly Attempt[],
): Violation[] {
  const doneIdempotencyKeys = new Set(
    runs.filter(run => run.effect === 'done').map(run => run.idempotencyKey),
  );
  return attempts
    .filter(
      attempt =>
        attempt.operation === 'post' &&
        isAcknowledged(attempt) &&
        !doneIdempotencyKeys.has(attempt.idempotencyKey),
    )
    .map(attempt => ({
      kind: 'lost-filing',
      subject: attempt.idempotencyKey ?? attempt.attemptId,
      detail: `acknowledged through ${attempt.entry}`,
    }));
}

/**
 * Finds attempts that were reported as `not-run` although a server started
 * them. Attempts are matched by the caller's id. Those with an idempotency key
 * are matched by it as well, for servers that do not see the id: as long as all
 * attempts of a request were reported as `not-run`, no server may have started
 * it. Once the caller sends an attempt that ends otherwise, a server may.
 *
 * @param runs - Run records of all servers.
 * @param attempts - Attempts of all callers.
 * @returns One violation per attempt.
 */
export function findExecutedNotRunAttempts(
  runs: readonly RunRecord[],
  attempts: readonly Attempt[],
): Violation[] {
  const ran = runs.filter(
    run => run.effect === 'started' || run.effect === 'done',
  );
  const byAttempt = groupBy(ran, run => run.attemptId);
  const byIdempotencyKey = groupBy(ran, run => run.idempotencyKey);
  const found = new Map<string, Violation>();
  const report = (attempt: Attempt, run: RunRecord) =>
    found.set(attempt.attemptId, {
      kind: 'not-run-ran',
      subject: attempt.idempotencyKey ?? attempt.attemptId,
      detail: `${run.effect} at ${run.server}, reason ${attempt.reason}`,
    });
  for (const attempt of attempts) {
    if (attempt.outcome !== 'not-run') continue;
    const run = byAttempt.get(attempt.attemptId)?.[0];
    if (run) report(attempt, run);
  }
  const attemptsWithIdempotencyKey = attempts.filter(
    attempt => attempt.idempotencyKey !== null,
  );
  for (const [id, group] of groupBy(
    attemptsWithIdempotencyKey,
    a => a.idempotencyKey!,
  )) {
    const possibleRun = group.find(a => a.outcome !== 'not-run');
    const possibleRunFromMs = possibleRun?.startMs ?? Infinity;
    const lastNotRun = group.findLast(
      a => a.outcome === 'not-run' && a.endMs <= possibleRunFromMs,
    );
    const run = byIdempotencyKey
      .get(id)
      ?.find(({wallMs}) => wallMs < possibleRunFromMs);
    if (lastNotRun && run) report(lastNotRun, run);
  }
  return [...found.values()];
}

/**
 * Finds reads that returned an older version than a write that was acknowledged
 * before the read began.
 *
 * @param attempts - Attempts of all callers.
 * @returns One violation per read.
 */
export function findStaleReads(attempts: readonly Attempt[]): Violation[] {
  const violations: Violation[] = [];
  const versioned = attempts.filter(
    attempt => attempt.version !== null && isAcknowledged(attempt),
  );
  const byKey = groupBy(versioned, a => `${a.service}/${a.key}`);
  for (const [subject, group] of byKey) {
    const writes = group
      .filter(attempt => attempt.operation === 'put')
      .sort((a, b) => a.endMs - b.endMs);
    const reads = group
      .filter(a => a.operation === 'get' || a.operation === 'probe')
      .sort((a, b) => a.startMs - b.startMs);
    let newestVersion = 0;
    let nextWrite = 0;
    for (const read of reads) {
      while (
        nextWrite < writes.length &&
        writes[nextWrite]!.endMs < read.startMs
      ) {
        newestVersion = Math.max(newestVersion, writes[nextWrite++]!.version!);
      }
      if (read.version! >= newestVersion) continue;
      violations.push({
        kind: 'stale-read',
        subject,
        detail: `read v${read.version}, acknowledged v${newestVersion}`,
      });
    }
  }
  return violations;
}

/**
 * Finds request bodies that arrived with another checksum than the caller's.
 *
 * @param attempts - Attempts of all callers.
 * @returns One violation per attempt.
 */
export function findBrokenChecksums(attempts: readonly Attempt[]): Violation[] {
  return attempts
    .filter(attempt => attempt.checksumOk === false)
    .map(attempt => ({
      kind: 'broken-checksum',
      subject: `${attempt.service}/${attempt.key}`,
      detail: `${attempt.operation} through ${attempt.entry}`,
    }));
}

/** Imbalance of the servers in one time window. */
export interface ImbalanceWindow {
  /** Wall time of the start of the window. */
  readonly fromMs: number;
  /** Highest utilization of a server, divided by the mean of all servers. */
  readonly ratio: number;
}

/** A server that is included in the imbalance. */
export interface MeasuredServer {
  readonly id: string;
  readonly slots: number;
  /** Wall time from which the server is gone, if any. */
  readonly goneAtMs?: number;
}

/**
 * Computes the imbalance of servers for each time window: the highest busy time
 * per slot of a server, divided by the mean of all servers.
 *
 * @param records - Records of all servers.
 * @param servers - Servers of one service; one without requests counts as idle.
 * @param windowMs - Length of a window.
 * @returns One value per complete window in which a server was busy.
 */
export function measureImbalance(
  records: readonly ServerRecord[],
  servers: readonly MeasuredServer[],
  windowMs = 1_000,
): ImbalanceWindow[] {
  const ids = new Set(servers.map(server => server.id));
  const spans = busySpansOf(
    selectRunRecords(records).filter(run => ids.has(run.server)),
  );
  if (spans.length === 0) return [];
  const startMs = spans.reduce((ms, s) => Math.min(ms, s.fromMs), Infinity);
  const endMs = spans.reduce((ms, s) => Math.max(ms, s.toMs), 0);
  const count = Math.floor((endMs - startMs) / windowMs);
  const busyMs = sumBusyMs(spans, startMs, windowMs);
  const windows: ImbalanceWindow[] = [];
  for (let index = 0; index < count; index++) {
    const fromMs = startMs + index * windowMs;
    const loads = servers
      .filter(server => (server.goneAtMs ?? Infinity) >= fromMs + windowMs)
      .map(({id, slots}) => (busyMs.get(id)?.get(index) ?? 0) / slots);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    if (mean > 0) windows.push({fromMs, ratio: Math.max(...loads) / mean});
  }
  return windows;
}

/** Busy time of each server in each window, by the window's index. */
function sumBusyMs(
  spans: readonly BusySpan[],
  startMs: number,
  windowMs: number,
): Map<string, Map<number, number>> {
  const busyMsByServer = new Map<string, Map<number, number>>();
  for (const {server, fromMs, toMs} of spans) {
    const windows = busyMsByServer.get(server) ?? new Map<number, number>();
    busyMsByServer.set(server, windows);
    let index = Math.floor((fromMs - startMs) / windowMs);
    for (let atMs = fromMs; atMs < toMs; index++) {
      const endMs = Math.min(toMs, startMs + (index + 1) * windowMs);
      windows.set(index, (windows.get(index) ?? 0) + endMs - atMs);
      atMs = endMs;
    }
  }
  return busyMsByServer;
}

/** Number of shard moves between servers. */
export interface Churn {
  /** Changes of a shard's server, without its first assignment. */
  readonly moved: number;
  /**
   * Fewest possible moves: the sum, over all lost servers, of the shards that a
   * server owned when it was lost.
   */
  readonly fewest: number;
  /** `moved / fewest`; null when nothing had to move. */
  readonly ratio: number | null;
}

/**
 * Counts the moves of shards that the servers' leases show.
 *
 * @param records - Records of all servers.
 * @param losses - Servers that were lost, with the wall time of each loss.
 * @returns The moves, and how many the losses made necessary.
 */
export function measureChurn(
  records: readonly ServerRecord[],
  losses: readonly {readonly server: string; readonly atMs: number}[],
): Churn {
  const leases = records
    .filter((record): record is LeaseRecord => record.kind === 'lease')
    .sort((a, b) => a.wallMs - b.wallMs);
  const owners = new Map<string, {server: string; epoch: number}>();
  const pendingLosses = [...losses].sort((a, b) => a.atMs - b.atMs);
  let moved = 0;
  let fewest = 0;
  const applyLosses = (untilMs: number) => {
    while (pendingLosses.length > 0 && pendingLosses[0]!.atMs <= untilMs) {
      const {server} = pendingLosses.shift()!;
      for (const owner of owners.values()) {
        if (owner.server === server) fewest++;
      }
    }
  };
  for (const lease of leases) {
    applyLosses(lease.wallMs);
    for (const {service, shard, epoch} of lease.grants) {
      const id = `${service}/${shard}`;
      const owner = owners.get(id);
      // A renewal repeats the epoch, and a late lease has an older one; neither
      // is a move.
      if (owner && owner.epoch >= epoch) continue;
      if (owner && owner.server !== lease.server) moved++;
      owners.set(id, {server: lease.server, epoch});
    }
  }
  applyLosses(Infinity);
  return {moved, fewest, ratio: fewest === 0 ? null : moved / fewest};
}

/**
 * Selects the run records.
 *
 * @param records - Records of servers.
 * @returns The run records in the order of their times.
 */
export function selectRunRecords(
  records: readonly ServerRecord[],
): RunRecord[] {
  return records
    .filter((record): record is RunRecord => record.kind === 'run')
    .sort((a, b) => a.wallMs - b.wallMs);
}

function ownershipPeriodsOf(runs: readonly RunRecord[]): OwnershipPeriod[] {
  const accepted = runs.filter(
    run => run.effect === 'started' || run.effect === 'done',
  );
  const groups = groupBy(accepted, run =>
    [run.service, run.shard, run.server, run.epoch].join('/'),
  );
  return [...groups.values()].map(group => ({
    shard: `${group[0]!.service}/${group[0]!.shard}`,
    server: group[0]!.server,
    epoch: group[0]!.epoch,
    // The runs are in the order of their times.
    firstMs: group[0]!.wallMs,
    lastMs: group.at(-1)!.wallMs,
  }));
}

function formatPeriod({
  server,
  epoch,
  firstMs,
  lastMs,
}: OwnershipPeriod): string {
  return `${server} epoch ${epoch} ${firstMs.toFixed(1)}..${lastMs.toFixed(1)}`;
}

/** Wall times of a request's start and end at a server. */
interface BusySpan {
  readonly server: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Pairs the records of start and end; requests without both are left out. */
function busySpansOf(runs: readonly RunRecord[]): BusySpan[] {
  const started = new Map<string, number>();
  const spans: BusySpan[] = [];
  for (const run of runs) {
    const id = `${run.server}/${run.bootId}/${run.requestId}`;
    if (run.effect === 'started') {
      started.set(id, run.wallMs);
      continue;
    }
    const fromMs = started.get(id);
    if (fromMs === undefined) continue;
    started.delete(id);
    spans.push({server: run.server, fromMs, toMs: run.wallMs});
  }
  return spans;
}

function groupBy<T, K>(items: Iterable<T>, keyOf: (item: T) => K): Map<K, T[]> {
  const groups = new Map<K, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}
