/** Dispatcher role of this VM. */
import {BackendClient} from '@wisteriarun/backend';
import {
  isSameFence,
  AttemptTable,
  CrashGuard,
  requestFailure,
  type CrashRecord,
  type Fence,
  type Reason,
  type Server,
  type ServerLoad,
} from '@wisteriarun/core';
import type {RelayHandler, RelayRequest, RelayResult} from '@wisteriarun/peer';
import {ServerDispatcher, type ServerUsage} from './server-dispatcher.js';
import {
  ShardHandovers,
  type DispatchAssignment,
  type Handover,
  type OutgoingHandover,
  type ShardMove,
} from './shard-custody.js';
import {
  NOOP_METER,
  type Clock,
  type CrashListener,
  type DispatchMeter,
  type EventSink,
  type PermissionCheck,
  type RouteSource,
} from './types.js';

/** Longest wait of a planned change for requests in flight. */
const MAX_STOP_WAIT_MS = 1_000;

/** Parts that the dispatcher role uses. */
export interface DispatcherHostOptions {
  readonly routes: RouteSource;
  readonly clock: Clock;
  readonly permissions: PermissionCheck;
  readonly events: EventSink;
  readonly meter?: DispatchMeter;
  /**
   * Monotonic time at which the latest read of the log started that found no
   * record beyond the folded state.
   */
  readonly logConfirmedAtMs: () => number;
  /** Creates the client of a server; replaced in tests. */
  readonly createClient?: (server: Server) => BackendClient;
}

/** All servers that this VM dispatches for. */
export class DispatcherHost implements RelayHandler {
  private readonly servers = new Map<string, ServerDispatcher>();
  private readonly attempts = new AttemptTable();
  private readonly crashes = new CrashGuard();
  private readonly handovers: ShardHandovers;
  private readonly assignments = new Map<string, DispatchAssignment>();
  /** Servers whose dispatching ends and whose records are not exported yet. */
  private readonly stopping = new Set<string>();
  /** Former dispatchers with requests that still run. */
  private readonly closing = new Map<ServerDispatcher, Promise<void>>();
  private readonly crashListeners = new Set<CrashListener>();

  /**
   * @param options - Parts to use.
   */
  constructor(private readonly options: DispatcherHostOptions) {
    this.handovers = new ShardHandovers({...options, attempts: this.attempts});
  }

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
    if (fence !== null && !this.servers.has(server)) this.addServer(server);
    const dispatcher = this.servers.get(server);
    if (!dispatcher) return;
    const previousFence = dispatcher.currentFence;
    // Each table repeats the rows that have not changed.
    if (isSameFence(previousFence, fence)) return;
    if (this.stopping.has(server)) {
      // Tables of other changes arrive while the last requests finish.
      if (!fence) return;
      // Another VM may have taken over since the stop began.
      this.stopping.delete(server);
      this.handovers.release(server);
    }
    if (fence) this.assignServer(server, previousFence, fence, replaces);
    else this.assignments.delete(server);
    dispatcher.setFence(fence);
    this.onRoutesChanged();
  }

  /**
   * Applies a change of the folded state. Must be called after each folded
   * record, so that a shard that was elsewhere in between is noticed.
   *
   * @param moves - Changes of owners by the folded record, if any.
   * @returns Attempt records for the dispatchers of the shards' new owners.
   */
  onRoutesChanged(moves: readonly ShardMove[] = []): OutgoingHandover[] {
    for (const id of this.assignments.keys()) {
      const server = this.options.routes.server(id);
      if (server) this.servers.get(id)?.update(server, this.createClient);
    }
    // Refuses what waits for shards that have left, before their records go.
    for (const dispatcher of this.servers.values()) dispatcher.recheckRoutes();
    return this.handovers.update(this.assignments, moves);
  }

  /**
   * Holds back or releases requests of shards.
   *
   * @param server - Server id.
   * @param service - Service id.
   * @param shards - Shard numbers.
   * @param isDraining - True to hold back.
   * @returns Resolves when nothing of the shards is in flight.
   */
  async setDrain(
    server: string,
    service: string,
    shards: readonly number[],
    isDraining: boolean,
  ): Promise<void> {
    const dispatcher = this.servers.get(server);
    if (!dispatcher) return;
    await Promise.all(
      shards.map(shard => dispatcher.setDrain(service, shard, isDraining)),
    );
  }

  /**
   * Ends dispatching for a server. Requests in flight finish on their
   * connections, which are closed afterwards.
   *
   * A server that checks grants refuses what has not started under a former
   * fence, so the wait for its requests is limited: a long upload would keep
   * all its shards unavailable. The dispatcher of another server is its fence
   * and waits for all requests.
   *
   * @param server - Server id.
   * @param term - Term of the order to stop.
   * @returns Resolves with the attempt records for the next dispatcher, in
   * which requests that still run are unknown; they are empty when dispatching
   * was given back meanwhile.
   */
  async stop(server: string, term: number): Promise<Handover[]> {
    const dispatcher = this.servers.get(server);
    if (!dispatcher) return [];
    const fence = this.assignments.get(server)?.fence;
    this.stopping.add(server);
    dispatcher.setFence(null);
    await dispatcher.whenIdle(
      dispatcher.checksGrants ? MAX_STOP_WAIT_MS : undefined,
    );
    if (!this.stopping.delete(server)) return [];
    const handovers = fence
      ? this.handovers.exportStopped(server, fence, term)
      : [];
    this.servers.delete(server);
    this.assignments.delete(server);
    this.onRoutesChanged();
    this.closeWhenIdle(dispatcher);
    return handovers;
  }

  /**
   * Takes attempt records over if they come from the dispatcher that held the
   * shards just before this one; others are dropped with an event.
   *
   * @param handover - The message.
   */
  importAttempts(handover: Handover): void {
    this.handovers.receive(handover, this.assignments);
  }

  /**
   * Notes that a hot key moved to a shard of its own on the same server. Call
   * it before `onRoutesChanged`.
   *
   * @param service - Service id.
   * @param key - The key.
   * @param from - Hash shard of the key.
   * @param to - New shard.
   */
  onIsolated(service: string, key: string, from: number, to: number): void {
    this.attempts.isolate(service, key, from, to);
    this.handovers.markLocalEpochChange(service, from, to);
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
    this.attempts.merge(service, from, into);
    this.handovers.markLocalEpochChange(service, from, into);
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
    this.crashListeners.add(listener);
    return () => this.crashListeners.delete(listener);
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
   * Present use of the servers that this VM dispatches for.
   *
   * @returns Numbers for the metrics.
   */
  serverUsages(): ServerUsage[] {
    return [...this.servers.values()]
      .filter(dispatcher => dispatcher.currentFence)
      .map(dispatcher => dispatcher.usage());
  }

  /**
   * Notes the boot id that a lease or status call showed.
   *
   * @param server - Server id.
   * @param bootId - Boot id.
   */
  onServerBootChanged(server: string, bootId: string): void {
    this.servers.get(server)?.onBootId(bootId);
    for (const dispatcher of this.closing.keys()) {
      if (dispatcher.serverId === server) dispatcher.onBootId(bootId);
    }
  }

  /**
   * Executes a request for a server that this VM dispatches for.
   *
   * @param request - The request.
   * @returns What became of it. Does not reject.
   */
  async dispatch(request: RelayRequest): Promise<RelayResult> {
    const dispatcher = this.servers.get(request.server);
    if (!dispatcher?.currentFence) return failedWith('wrong-dispatcher');
    try {
      return await dispatcher.dispatch(request);
    } catch {
      return failedWith('internal-error');
    }
  }

  /**
   * Stops all servers.
   *
   * @returns Resolves when nothing is in flight and all connections are closed.
   */
  async close(): Promise<void> {
    await Promise.all([...this.servers.keys()].map(id => this.stop(id, 0)));
    await Promise.all(this.closing.values());
  }

  /** Closes the connections of a stopped dispatcher when it is idle. */
  private closeWhenIdle(dispatcher: ServerDispatcher): void {
    const closed = dispatcher
      .whenIdle()
      .then(() => dispatcher.close())
      .catch(() => {})
      .then(() => {
        this.closing.delete(dispatcher);
      });
    this.closing.set(dispatcher, closed);
  }

  private assignServer(
    server: string,
    previousFence: Fence | null,
    fence: Fence,
    replaces: Fence | null,
  ): void {
    if (!isSameFence(previousFence, replaces)) this.handovers.release(server);
    const sinceMs = this.options.clock.monotonicMs();
    this.assignments.set(server, {fence, replaces, sinceMs});
  }

  private addServer(id: string): void {
    const server = this.options.routes.server(id);
    if (!server) return;
    const {routes, clock, permissions, events} = this.options;
    const client = this.createClient(server);
    const dispatcher = new ServerDispatcher(server, client, {
      routes,
      clock,
      permissions,
      events,
      meter: this.options.meter ?? NOOP_METER,
      attempts: this.attempts,
      crashes: this.crashes,
      handovers: this.handovers,
      onCrash: records => {
        for (const listener of this.crashListeners) listener(records);
      },
    });
    this.servers.set(id, dispatcher);
  }

  private readonly createClient = (server: Server): BackendClient =>
    this.options.createClient?.(server) ?? new BackendClient(server);
}

function failedWith(reason: Reason): RelayResult {
  return {kind: 'failed', failure: requestFailure(reason), crashCount: 0};
}
