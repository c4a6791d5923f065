/** Answers of the operator port, built from the daemon's parts. */
import type {Hasher, LeavingProgress, RouterState} from '@wisteriarun/core';
import {route} from '@wisteriarun/core';
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

/** Parts that the views read from. */
export interface OperatorViewOptions {
  readonly deployment: string;
  readonly vm: string;
  readonly zone: string;
  readonly bootId: string;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly state: () => RouterState;
  readonly directory: DispatchDirectory;
  readonly log: LogTail;
  readonly mesh: PeerMesh;
  readonly timeline: Timeline;
  readonly metrics: Metrics;
  readonly draining: () => boolean;
  readonly leaving: () => Iterable<LeavingProgress>;
}

/** Reads the daemon's state for operators. */
export class OperatorView implements OperatorSource {
  /**
   * @param options - Parts to read from.
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
      drains: [...this.options.leaving()].map(drainView(state)),
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
    const row = found.server
      ? this.options.directory.lookup(found.server)
      : null;
    const server = state.bundle?.body.servers.find(s => s.id === found.server);
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
      zone: found.zone,
      assigner: term?.holder ?? null,
      term: term?.term ?? 0,
      dispatcher: row?.dispatcher ?? null,
      fence: row ? `${row.fence.term}.${row.fence.seq}` : null,
      notes: this.notes(state, server?.batch ?? null, found.epoch),
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
      const keys = new Map([...isolated].map(([key, shard]) => [shard, key]));
      for (const [shard, {server, epoch, zone}] of rows.entries()) {
        const row = server === null ? null : directory.lookup(server);
        const dispatcher = row?.dispatcher ?? null;
        const key = keys.get(shard) ?? null;
        yield {service, shard, key, server, epoch, zone, dispatcher};
      }
    }
  }

  private notes(
    state: RouterState,
    batchId: string | null,
    epoch: number,
  ): string[] {
    const notes = [
      epoch === 0
        ? 'No record has given the shard an owner yet.'
        : `The record at offset ${epoch} gave the shard its owner.`,
    ];
    const batch = state.bundle?.body.batches.find(({id}) => id === batchId);
    if (batch?.state === 'leaving') {
      const when = new Date(batch.leaveAtMs).toISOString();
      notes.push(`Batch ${batch.id} is leaving by ${when}; the shard moves.`);
    } else if (batch) {
      notes.push(
        'The loss of the server, a bundle that marks its batch as leaving, or ' +
          'a load imbalance would move it.',
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

const drainView =
  (state: RouterState) =>
  (progress: LeavingProgress): DrainView => {
    const servers = state.bundle?.body.servers ?? [];
    const {batch, leaveAtMs, shardsLeft, expectedFinishWallMs} = progress;
    return {
      batch,
      leaveAtMs,
      servers: servers.filter(server => server.batch === batch).length,
      shardsLeft,
      inFlight: 0,
      expectedFinishMs: expectedFinishWallMs,
    };
  };
