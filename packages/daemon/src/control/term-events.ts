/** Events of one assigner's term, grouped to limit their number. */
import {
  certainExpiryMs,
  type AssignerCommand,
  type EventInput,
  type LeaseRequest,
  type LeavingProgress,
  type RouterState,
  type ShardChange,
} from '@wisteriarun/core';
import type {EventSink} from '../request/types.js';
import type {FoldedRecord} from './state-replica.js';
import type {StatusResult} from './types.js';

/** Largest number of shards that an event lists; others are only counted. */
const MAX_LISTED_SHARDS = 16;
/** Number of equal parts of a leaving batch; each finished one is reported. */
const PROGRESS_PARTS = 4;

/** A lease or status call with its result. */
export interface CompletedServerCall {
  readonly server: string;
  readonly sentLease: LeaseRequest | null;
  readonly result: StatusResult;
  /** Monotonic time of this VM when the result arrived. */
  readonly nowMs: number;
}

/** State of a server as observed through lease and status calls. */
interface ServerObservation {
  bootId: string | null;
  /** Time of the first failure since the last answer. */
  failedSinceMs: number | null;
  isLost: boolean;
  /** Fence of the last acknowledged lease as `term.seq`; empty before one. */
  fence: string;
  /** Assigned shards not yet granted by an acknowledged lease, by epoch. */
  readonly unserved: Map<number, {service: string; shards: number[]}>;
}

/** Emits events for the commands, server calls and records of a term. */
export class TermEvents {
  private readonly servers = new Map<string, ServerObservation>();
  /** Owner of each shard whose drain was reported, by `service/shard`. */
  private readonly drainingOwners = new Map<string, string>();
  /** Number of finished parts last reported, by batch and leave time. */
  private readonly reportedParts = new Map<string, number>();
  /** Events of the moves abandoned in the current step. */
  private abandoned: EventInput[] = [];

  /**
   * @param zone - Zone of the assigner.
   * @param term - Term of the assigner.
   * @param sink - Receives the events.
   */
  constructor(
    private readonly zone: string,
    private readonly term: number,
    private readonly sink: EventSink,
  ) {}

  /**
   * Emits the events for a command of the assigner.
   *
   * @param command - Command of the current step.
   */
  onCommand(command: AssignerCommand): void {
    if (command.kind === 'event') {
      const {event} = command;
      if (event.kind === 'move-abandoned') this.abandoned.push(event);
      else this.emit(event);
    } else if (command.kind === 'shard-drain' && command.message.drain) {
      const {server, service, shards} = command.message;
      // A drain is sent again until it is acknowledged; report it only once.
      const newlyDraining = shards.filter(
        s => !this.drainingOwners.has(`${service}/${s}`),
      );
      if (newlyDraining.length === 0) return;
      for (const shard of newlyDraining) {
        this.drainingOwners.set(`${service}/${shard}`, server);
      }
      const fields = {service, from: server, ...shardFields(newlyDraining)};
      this.emit({kind: 'move-started', fields});
    } else if (command.kind === 'append' && command.record.kind === 'assign') {
      this.onAssign(command.record.changes);
    }
  }

  /**
   * Emits the moves abandoned in a step and the progress of leaving batches.
   *
   * @param progress - Progress of the leaving batches.
   * @param offset - Offset of the folded state.
   */
  onStepEnd(progress: readonly LeavingProgress[], offset: number): void {
    const {abandoned} = this;
    this.abandoned = [];
    const groups = groupBy(abandoned, ({cause, fields}) =>
      [cause, fields?.['service'], fields?.['from'], fields?.['to']].join(' '),
    );
    for (const events of groups) {
      const {kind, cause, fields} = events[0]!;
      const shards = events.map(event => Number(event.fields?.['shard']));
      const service = String(fields?.['service']);
      for (const shard of shards)
        this.drainingOwners.delete(`${service}/${shard}`);
      this.emit({kind, cause, fields: {...fields, ...shardFields(shards)}});
    }
    for (const item of progress) this.onProgress(item, offset);
  }

  /**
   * Emits the events for an accepted record of this assigner and stores which
   * shards the new owners' leases must grant.
   *
   * @param folded - The record with its verdict.
   * @param before - State before the record.
   */
  onOwnRecord({offset, verdict}: FoldedRecord, before: RouterState): void {
    if (verdict.kind !== 'accepted') return;
    const {record} = verdict;
    if (record.kind === 'isolate' || record.kind === 'merge') {
      const {kind, service, key} = record;
      const fields = {service, key};
      this.emit({kind: `key-${kind}d`, epoch: offset, offset, fields});
    }
    if (record.kind !== 'assign') return;
    const moves = record.changes.map(change => ({
      ...change,
      from: before.services.get(change.service)?.rows[change.shard]?.server,
    }));
    const groups = groupBy(moves, ({service, from, server, reason}) =>
      [service, from, server, reason].join(' '),
    );
    for (const group of groups) {
      const {service, from, server, reason} = group[0]!;
      const shards = group.map(({shard}) => shard);
      for (const shard of shards)
        this.drainingOwners.delete(`${service}/${shard}`);
      if (server !== null) this.expectLease(server, offset, service, shards);
      this.emit({
        kind: 'move-assigned',
        epoch: offset,
        offset,
        cause: reason,
        fields: {
          service,
          from: from ?? '',
          to: server ?? '',
          ...shardFields(shards),
        },
      });
    }
  }

  /**
   * Emits the changes of a server's state that a lease or status call shows.
   *
   * @param call - The call and its result.
   */
  onServerCall(call: CompletedServerCall): void {
    const {server, sentLease, result, nowMs} = call;
    const observed = this.observationOf(server);
    if (result.isErr) {
      if (result.error.kind === 'lease-refused') return;
      this.onFailure(server, observed, result.error.kind, nowMs);
      return;
    }
    this.onAnswer(server, observed, result.value.bootId);
    if (sentLease?.bootId !== result.value.bootId) return;
    this.onLease(server, observed, sentLease);
  }

  /**
   * Emits `server-suspect` at the first failure in a row, and `server-lost`
   * once the last lease that the server acknowledged has certainly expired.
   */
  private onFailure(
    server: string,
    observed: ServerObservation,
    cause: string,
    nowMs: number,
  ): void {
    if (observed.failedSinceMs === null) {
      observed.failedSinceMs = nowMs;
      this.emit({kind: 'server-suspect', cause, fields: {server}});
    } else if (
      !observed.isLost &&
      nowMs - observed.failedSinceMs >= certainExpiryMs()
    ) {
      observed.isLost = true;
      this.emit({kind: 'server-lost', cause, fields: {server}});
    }
  }

  private onAnswer(
    server: string,
    observed: ServerObservation,
    bootId: string,
  ): void {
    const hasRestarted = observed.bootId !== null && observed.bootId !== bootId;
    if (hasRestarted || observed.failedSinceMs !== null) {
      const cause = hasRestarted ? 'boot-changed' : 'answers-again';
      this.emit({kind: 'server-back', cause, fields: {server, boot: bootId}});
    }
    if (hasRestarted) observed.fence = '';
    observed.bootId = bootId;
    observed.failedSinceMs = null;
    observed.isLost = false;
  }

  private onLease(
    server: string,
    observed: ServerObservation,
    {fence, dispatcher, grants}: LeaseRequest,
  ): void {
    const fenceText = `${fence.term}.${fence.seq}`;
    if (fenceText !== observed.fence) {
      observed.fence = fenceText;
      const fields = {server, dispatcher, fence: fenceText};
      this.emit({kind: 'fence-accepted', fields});
    }
    // A call without grants changes none, so it completes no further move.
    if (grants === null || observed.unserved.size === 0) return;
    const epochs = new Set(grants.map(({epoch}) => epoch));
    for (const [epoch, {service, shards}] of observed.unserved) {
      if (!epochs.has(epoch)) continue;
      observed.unserved.delete(epoch);
      const fields = {service, server, ...shardFields(shards)};
      this.emit({kind: 'move-served', epoch, offset: epoch, fields});
    }
  }

  /**
   * Emits `move-drained` for the shards of an assign record whose drain was
   * reported. The record of a planned move is appended once they are drained.
   */
  private onAssign(changes: readonly ShardChange[]): void {
    const drained = changes.flatMap(change => {
      const from = this.drainingOwners.get(`${change.service}/${change.shard}`);
      return from === undefined ? [] : [{...change, from}];
    });
    const groups = groupBy(drained, ({service, from, server, reason}) =>
      [service, from, server, reason].join(' '),
    );
    for (const group of groups) {
      const {service, from, server, reason} = group[0]!;
      const shards = group.map(({shard}) => shard);
      const fields = {service, from, to: server ?? '', ...shardFields(shards)};
      this.emit({kind: 'move-drained', cause: reason, fields});
    }
  }

  private onProgress(progress: LeavingProgress, offset: number): void {
    const {batch, leaveAtMs, totalShards, shardsLeft} = progress;
    const finishWallMs = progress.expectedFinishWallMs;
    const id = `${batch} ${leaveAtMs}`;
    const moved = totalShards - shardsLeft;
    const part =
      totalShards === 0
        ? PROGRESS_PARTS
        : Math.floor((PROGRESS_PARTS * moved) / totalShards);
    if ((this.reportedParts.get(id) ?? -1) >= part) return;
    this.reportedParts.set(id, part);
    this.emit({
      kind: 'leaving-progress',
      offset,
      cause: shardsLeft === 0 ? 'finished' : null,
      fields: {
        batch,
        leaveAtMs,
        shardsTotal: totalShards,
        shardsLeft,
        expectedFinishWallMs:
          finishWallMs === null ? 'unknown' : Math.round(finishWallMs),
      },
    });
  }

  private expectLease(
    server: string,
    epoch: number,
    service: string,
    shards: readonly number[],
  ): void {
    const {unserved} = this.observationOf(server);
    const known = unserved.get(epoch);
    unserved.set(epoch, {
      service,
      shards: [...(known?.shards ?? []), ...shards],
    });
  }

  private observationOf(server: string): ServerObservation {
    const known = this.servers.get(server);
    if (known) return known;
    const created: ServerObservation = {
      bootId: null,
      failedSinceMs: null,
      isLost: false,
      fence: '',
      unserved: new Map(),
    };
    this.servers.set(server, created);
    return created;
  }

  private emit(event: EventInput): void {
    const {term, zone} = this;
    this.sink({...event, term, fields: {zone, ...event.fields}});
  }
}

/** Event fields for shards: one as `shard`, several as a count and a list. */
function shardFields(
  shards: readonly number[],
): Record<string, string | number> {
  const [first] = shards;
  if (shards.length === 1 && first !== undefined) return {shard: first};
  const listed = shards.slice(0, MAX_LISTED_SHARDS).join(',');
  const more = shards.length > MAX_LISTED_SHARDS ? ',...' : '';
  return {count: shards.length, shard: listed + more};
}

function groupBy<T>(items: readonly T[], idOf: (item: T) => string): T[][] {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(idOf(item));
    if (group) group.push(item);
    else groups.set(idOf(item), [item]);
  }
  return [...groups.values()];
}
