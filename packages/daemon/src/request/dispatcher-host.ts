/** Dispatcher role of this VM. */
import {BackendClient} from '@wisteriarun/backend';
import {
  AttemptTable,
  CrashGuard,
  requestFailure,
  uuidV7TimeMs,
  type CrashRecord,
  type Fence,
  type PeerMessage,
  type Reason,
  type Server,
  type ServerLoad,
} from '@wisteriarun/core';
import type {RelayHandler, RelayRequest, RelayResult} from '@wisteriarun/peer';
import {ServerDispatcher} from './server-dispatcher.js';
import type {
  Clock,
  CrashListener,
  EventSink,
  OwnedShard,
  PermissionCheck,
  RouteSource,
} from './types.js';

/**
 * Time for which a handover waits for its takeover. A former dispatcher that
 * resumed after this time has run requests that the handover does not list.
 */
const HANDOVER_VALID_MS = 5_000;

/** Message that hands attempt records over. */
export type Handover = Extract<PeerMessage, {kind: 'handover'}>;

/** Parts that the dispatcher role uses. */
export interface DispatcherHostOptions {
  readonly routes: RouteSource;
  readonly clock: Clock;
  readonly permissions: PermissionCheck;
  readonly events: EventSink;
  /** Creates the client of a server; replaced in tests. */
  readonly createClient?: (server: Server) => BackendClient;
}

interface PendingHandover {
  readonly knownSinceWallMs: number;
  readonly receivedMs: number;
}

/** All servers that this VM dispatches for. */
export class DispatcherHost implements RelayHandler {
  private readonly servers = new Map<string, ServerDispatcher>();
  private readonly attempts = new AttemptTable();
  private readonly crashes = new CrashGuard();
  /** Shards whose dispatcher this VM is, as `service/shard`. */
  private held = new Map<string, OwnedShard>();
  /** Servers whose requests in flight finish before the handover. */
  private readonly stopping = new Set<string>();
  private readonly pending = new Map<string, PendingHandover>();
  private readonly listeners = new Set<CrashListener>();

  /**
   * @param options - Parts to use.
   */
  constructor(private readonly options: DispatcherHostOptions) {}

  /**
   * Makes this VM the dispatcher of a server, or ends that. Requests that wait
   * are refused at the end; requests in flight finish.
   *
   * Another VM may have dispatched between two fences of this VM, unseen by a
   * paused or partitioned process. A new fence is therefore a new takeover,
   * unless its author states the fence that it replaces.
   *
   * @param server - Server id.
   * @param fence - Fence, or null to end.
   * @param replaces - Fence that the server held just before, if known.
   */
  setDispatch(
    server: string,
    fence: Fence | null,
    replaces: Fence | null = null,
  ): void {
    if (fence !== null && !this.servers.has(server)) this.open(server);
    const dispatcher = this.servers.get(server);
    if (!dispatcher) return;
    const former = dispatcher.currentFence;
    // Another VM may have dispatched while this one stopped.
    if (fence && this.stopping.delete(server)) this.releaseShardsOf(server);
    if (former && fence && !isSame(former, fence)) {
      const continuous = replaces !== null && isSame(former, replaces);
      if (!continuous) this.releaseShardsOf(server);
    }
    dispatcher.setFence(fence);
    this.onRoutesChanged();
  }

  /**
   * Applies a change of the folded state. Must be called after each folded
   * record, so that a shard that was elsewhere in between is noticed.
   */
  onRoutesChanged(): void {
    const {routes, clock} = this.options;
    const held = new Map<string, OwnedShard>();
    for (const [id, dispatcher] of this.servers) {
      if (!dispatcher.currentFence && !this.stopping.has(id)) continue;
      for (const owned of routes.shardsOf(id)) {
        held.set(`${owned.service}/${owned.shard}`, owned);
      }
    }
    for (const [id, {service, shard, epoch}] of this.held) {
      const next = held.get(id);
      const moved = next?.epoch !== epoch;
      const handedOver = this.attempts.isHandedOver(service, shard);
      if (!next || (moved && handedOver)) this.attempts.release(service, shard);
    }
    for (const [id, {service, shard}] of held) {
      if (this.attempts.knownSinceMs(service, shard) !== null) continue;
      if (this.attempts.isHandedOver(service, shard)) continue;
      const since = this.takePending(id) ?? clock.wallMs();
      this.attempts.takeOver(service, shard, since);
    }
    this.held = held;
    for (const dispatcher of this.servers.values()) dispatcher.recheckRoutes();
  }

  /**
   * Holds back or releases requests of shards.
   *
   * @param server - Server id.
   * @param service - Service id.
   * @param shards - Shard numbers.
   * @param on - True to hold back.
   * @returns Resolves when nothing of the shards is in flight.
   */
  async setDrain(
    server: string,
    service: string,
    shards: readonly number[],
    on: boolean,
  ): Promise<void> {
    const dispatcher = this.servers.get(server);
    if (!dispatcher) return;
    const drained = shards.map(shard =>
      dispatcher.setDrain(service, shard, on),
    );
    if (!on) shards.forEach(shard => this.attempts.takeBack(service, shard));
    await Promise.all(drained);
  }

  /**
   * Ends dispatching for a server and closes its connections.
   *
   * @param server - Server id.
   * @param handOver - Called when nothing is in flight, while the attempts of
   * the server's shards are still known here.
   * @returns Resolves when nothing is in flight.
   */
  async stop(server: string, handOver = () => {}): Promise<void> {
    const dispatcher = this.servers.get(server);
    if (!dispatcher) return handOver();
    this.stopping.add(server);
    dispatcher.setFence(null);
    await dispatcher.whenIdle();
    handOver();
    // Dispatching may have been given back while requests finished.
    if (dispatcher.currentFence) return;
    this.stopping.delete(server);
    this.servers.delete(server);
    this.onRoutesChanged();
    await dispatcher.close();
  }

  /**
   * Attempt records for the next dispatcher. This VM then no longer counts as
   * the dispatcher of the shards: if it resumes, it takes them over anew.
   *
   * @param service - Service id.
   * @param shards - Shard numbers.
   * @returns Handover message.
   */
  exportAttempts(service: string, shards: readonly number[]): Handover {
    const wallMs = this.options.clock.wallMs();
    const exported = this.attempts.export(service, shards, wallMs);
    for (const shard of shards) this.attempts.handOver(service, shard);
    return {kind: 'handover', service, ...exported};
  }

  /**
   * Takes attempt records of a former dispatcher over. Call it before the
   * shards' takeover, or right after it.
   *
   * @param handover - The message.
   */
  importAttempts(handover: Handover): void {
    const {service} = handover;
    const {routes, clock} = this.options;
    for (const record of handover.attempts) {
      const createdWallMs = uuidV7TimeMs(record.idempotencyKey);
      const shard = routes.route(service, record.key)?.shard;
      if (createdWallMs === null || shard === undefined) continue;
      const {key, idempotencyKey} = record;
      const id = {service, shard, key, idempotencyKey, createdWallMs};
      const {state} = record;
      this.attempts.import(
        id,
        state.kind === 'unknown'
          ? state
          : {...state, body: state.body && new Uint8Array(state.body)},
      );
    }
    for (const {shard, knownSinceWallMs} of handover.shards) {
      const own = this.attempts.knownSinceMs(service, shard);
      if (own === null) {
        const receivedMs = clock.monotonicMs();
        this.pending.set(`${service}/${shard}`, {knownSinceWallMs, receivedMs});
      } else if (knownSinceWallMs < own) {
        this.attempts.takeOver(service, shard, knownSinceWallMs);
      }
    }
  }

  /**
   * Drops a handover whose planned change was taken back.
   *
   * @param service - Service id.
   * @param shards - Shard numbers.
   */
  discardHandover(service: string, shards: readonly number[]): void {
    for (const shard of shards) this.pending.delete(`${service}/${shard}`);
  }

  /**
   * Notes that a hot key moved to a shard of its own on the same server. Call
   * it before `onRoutesChanged`.
   *
   * @param service - Service id.
   * @param from - Hash shard of the key.
   * @param to - New shard.
   */
  onIsolated(service: string, from: number, to: number): void {
    this.attempts.copyKnowledge(service, from, to);
  }

  /**
   * Notes that an isolated key returned to its hash shard. Call it before
   * `onRoutesChanged`.
   *
   * @param service - Service id.
   * @param from - Shard of the key.
   * @param into - Hash shard.
   */
  onMerged(service: string, from: number, into: number): void {
    this.attempts.mergeKnowledge(service, from, into);
  }

  /**
   * Merges crash records of other VMs.
   *
   * @param records - The records.
   */
  onCrashRecords(records: readonly CrashRecord[]): void {
    this.crashes.merge(records, this.options.clock.monotonicMs());
  }

  /**
   * Subscribes to new crash records of this VM.
   *
   * @param listener - Called with the records to send to all entry VMs.
   * @returns Ends the subscription.
   */
  onNewCrashRecords(listener: CrashListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * All crash records, for a VM that has just joined.
   *
   * @returns The records.
   */
  exportCrashRecords(): CrashRecord[] {
    return this.crashes.export(this.options.clock.monotonicMs());
  }

  /**
   * Loads of the servers that this VM dispatches for.
   *
   * @returns One report for each server.
   */
  loads(): ServerLoad[] {
    return [...this.servers.values()]
      .filter(dispatcher => dispatcher.currentFence)
      .map(dispatcher => dispatcher.load());
  }

  /**
   * Notes the boot id that a lease or status call showed.
   *
   * @param server - Server id.
   * @param bootId - Boot id.
   */
  onServerBootChanged(server: string, bootId: string): void {
    this.servers.get(server)?.onBoot(bootId);
  }

  /**
   * Executes a request for a server that this VM dispatches for.
   *
   * @param request - The request.
   * @returns What became of it. Does not reject.
   */
  async dispatch(request: RelayRequest): Promise<RelayResult> {
    const dispatcher = this.servers.get(request.server);
    if (!dispatcher?.currentFence) return failed('wrong-dispatcher');
    try {
      return await dispatcher.dispatch(request);
    } catch {
      return failed('internal-error');
    }
  }

  /**
   * Stops all servers.
   *
   * @returns Resolves when nothing is in flight and all connections are closed.
   */
  async close(): Promise<void> {
    await Promise.all([...this.servers.keys()].map(id => this.stop(id)));
  }

  private releaseShardsOf(server: string): void {
    for (const {service, shard} of this.options.routes.shardsOf(server)) {
      this.attempts.release(service, shard);
    }
  }

  private open(id: string): void {
    const server = this.options.routes.server(id);
    if (!server) return;
    const {routes, clock, permissions, events, createClient} = this.options;
    const client = createClient?.(server) ?? new BackendClient(server);
    const dispatcher = new ServerDispatcher(server, client, {
      routes,
      clock,
      permissions,
      events,
      attempts: this.attempts,
      crashes: this.crashes,
      onCrash: records => {
        for (const listener of this.listeners) listener(records);
      },
    });
    this.servers.set(id, dispatcher);
  }

  private takePending(id: string): number | null {
    const pending = this.pending.get(id);
    this.pending.delete(id);
    if (!pending) return null;
    const ageMs = this.options.clock.monotonicMs() - pending.receivedMs;
    return ageMs <= HANDOVER_VALID_MS ? pending.knownSinceWallMs : null;
  }
}

function isSame(a: Fence, b: Fence): boolean {
  return a.term === b.term && a.seq === b.seq;
}

function failed(reason: Reason): RelayResult {
  return {kind: 'failed', failure: requestFailure(reason), crashCount: 0};
}
