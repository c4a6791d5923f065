/** Builds the answers of the operator port from the daemon's state. */
import type {Hasher, RouterState} from '@wisteriarun/core';
import {route, type Route} from '@wisteriarun/core';
import type {
  DrainView,
  ExplainView,
  HealthView,
  OperatorSource,
  OwnerRow,
  OwnersView,
  StatusView,
  TimelineView,
} from '@wisteriarun/operator';
import type {PeerMesh} from '@wisteriarun/peer';
import type {Clock, Metrics, Timeline} from '@wisteriarun/runtime';
import type {DispatchDirectory} from './control/dispatch-directory.js';
import type {LogTail} from './control/log-tail.js';
import type {ZoneProgress} from './control/assigner-runner.js';
import type {ShardOrigin, StateReplica} from './control/state-replica.js';

/** Dependencies of the operator view. */
export interface OperatorViewOptions {
  readonly deployment: string;
  /** Instance id of this process. */
  readonly vm: string;
  readonly zone: string;
  readonly bootId: string;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly state: () => RouterState;
  readonly originOf: StateReplica['originOf'];
  readonly directory: DispatchDirectory;
  readonly log: LogTail;
  readonly mesh: PeerMesh;
  readonly timeline: Timeline;
  readonly metrics: Metrics;
  /** Whether this process is shutting down. */
  readonly draining: () => boolean;
  /** Progress of the leaving batches in the zones that this VM assigns. */
  readonly leavingProgress: () => Iterable<ZoneProgress>;
}

/** Reads the daemon's state for operators. */
export class OperatorView implements OperatorSource {
  /**
   * @param options - Dependencies.
   */
  constructor(private readonly options: OperatorViewOptions) {}

  health(): HealthView {
    const {state, draining} = this.options;
    if (draining()) return {ok: false, problem: 'shutting down'};
    if (!state().bundle) return {ok: false, problem: 'no bundle in force'};
    return {ok: true, problem: null};
  }

  status(): StatusView {
    const {deployment, vm, zone, bootId, log, draining} = this.options;
    const state = this.options.state();
    return {
      deployment,
      vm,
      zone,
      bootId,
      draining: draining(),
      offset: state.offset,
      logAvailable: log.isAvailable,
      problem: log.problem?.kind ?? null,
      bundle: bundleView(state),
      terms: [...state.terms].map(([name, {holder, term}]) => ({
        zone: name,
        holder,
        term,
      })),
      peers: this.peers(),
      drains: [...this.options.leavingProgress()].map(drainView(state)),
    };
  }

  owners(): OwnersView {
    const state = this.options.state();
    return {offset: state.offset, rows: [...this.ownerRows(state)]};
  }

  explain(service: string, key: string): ExplainView | null {
    const state = this.options.state();
    const found = route(state, this.options.hasher, service, key);
    if (!found) return null;
    const term = state.terms.get(found.zone) ?? null;
    const dispatchRow = found.server
      ? this.options.directory.lookup(found.server)
      : null;
    const server = state.bundle?.body.servers.find(s => s.id === found.server);
    const origin = this.options.originOf(service, found.shard, found.epoch);
    const isolated = state.services.get(service)?.isolated.has(key) ?? false;
    return {
      offset: state.offset,
      service,
      key,
      shard: found.shard,
      isolated,
      server: found.server,
      batch: server?.batch ?? null,
      epoch: found.epoch,
      reason: origin?.reason ?? null,
      zone: found.zone,
      assigner: term?.holder ?? null,
      term: term?.term ?? 0,
      dispatcher: dispatchRow?.dispatcher ?? null,
      fence: dispatchRow
        ? `${dispatchRow.fence.term}.${dispatchRow.fence.seq}`
        : null,
      notes: this.notes(state, server?.batch ?? null, found, origin),
    };
  }

  timeline(sinceSeq: number): TimelineView {
    const {vm, timeline} = this.options;
    return {process: vm, events: timeline.since(sinceSeq)};
  }

  metrics(): string {
    return this.options.metrics.render();
  }

  private peers(): StatusView['peers'] {
    const {mesh, clock} = this.options;
    const nowMs = clock.monotonicMs();
    return mesh.peers().map(({vm, zone, connected, offset, lastHeardMs}) => ({
      vm,
      zone,
      connected,
      offset,
      silentMs: Math.round(nowMs - lastHeardMs),
    }));
  }

  private *ownerRows(state: RouterState): Generator<OwnerRow> {
    const {directory} = this.options;
    for (const [service, {rows, isolated}] of state.services) {
      const isolatedKeys = new Map(
        [...isolated].map(([key, shard]) => [shard, key]),
      );
      for (const [shard, {server, epoch, zone}] of rows.entries()) {
        const dispatchRow = server === null ? null : directory.lookup(server);
        const dispatcher = dispatchRow?.dispatcher ?? null;
        const key = isolatedKeys.get(shard) ?? null;
        yield {service, shard, key, server, epoch, zone, dispatcher};
      }
    }
  }

  private notes(
    state: RouterState,
    batchId: string | null,
    {epoch, server}: Route,
    origin: ShardOrigin | null,
  ): string[] {
    const notes = [ownerNote(epoch, server, origin)];
    const batch = state.bundle?.body.batches.find(({id}) => id === batchId);
    if (batch?.state === 'leaving') {
      const leaveAt = new Date(batch.leaveAtMs).toISOString();
      notes.push(
        `Batch ${batch.id} is leaving; its servers get no new work from ${leaveAt} on, and the shard moves.`,
      );
    } else if (batch) {
      notes.push(
        'The shard moves when its server is lost, when a bundle marks its batch as ' +
          'leaving or lists its server as stopped, or to even out the load.',
      );
    }
    return notes;
  }
}

function bundleView(state: RouterState): StatusView['bundle'] {
  if (!state.bundle) return null;
  const {offset, author, signed, body} = state.bundle;
  return {version: body.version, offset, author, keyId: signed.keyId};
}

function ownerNote(
  epoch: number,
  server: string | null,
  origin: ShardOrigin | null,
): string {
  if (server === null && origin === null) {
    return 'The shard has no owner.';
  }
  // A shard's epoch is the offset of the record that last set its owner.
  const record = `The record at offset ${epoch}`;
  if (origin === null) {
    // A VM that took its state from a snapshot or a peer has not read the
    // records before it.
    return (
      `${record} last set the shard's owner; this VM did not read the record ` +
      'or no longer keeps its reason.'
    );
  }
  const {reason, author} = origin;
  return `${record} by ${author} last set the shard's owner: ${REASON_TEXT[reason]}.`;
}

const REASON_TEXT: Readonly<Record<ShardOrigin['reason'], string>> = {
  initial: 'it had none before (initial)',
  'server-lost': 'the former owner was lost (server-lost)',
  leaving: "the former owner's batch is leaving (leaving)",
  balance: 'the load was uneven (balance)',
  // Allowed by the schema of assign records, but no assigner writes it.
  'hot-key': 'one of its keys is hot (hot-key)',
  stopped: 'the bundle lists the former owner as stopped (stopped)',
  isolate: 'a hot key became a shard of its own (isolate)',
  merge: 'an isolated key returned to its hash shard (merge)',
};

/** Progress of a leaving batch in one zone. */
const drainView =
  (state: RouterState) =>
  ({zone, progress}: ZoneProgress): DrainView => {
    const servers = state.bundle?.body.servers ?? [];
    const {batch, leaveAtMs, totalShards, shardsLeft} = progress;
    return {
      batch,
      leaveAtMs,
      zone,
      servers: servers.filter(s => s.batch === batch && s.zone === zone).length,
      shardsTotal: totalShards,
      shardsLeft,
      expectedFinishMs: progress.expectedFinishWallMs,
    };
  };
