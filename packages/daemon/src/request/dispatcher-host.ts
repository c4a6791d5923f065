/** Dispatcher role of this VM: sends requests to the servers it is assigned. */
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
} from './shard-handovers.js';
import {
  NOOP_METER,
  type Clock,
  type CrashListener,
  type DispatchMeter,
  type EventSink,
  type PermissionCheck,
  type RouteSource,
} from './types.js';

/**
 * Longest wait for requests in flight when another VM takes over a server that
 * checks grants. `DispatcherHost.stop` gives the reason.
 */
const MAX_STOP_WAIT_MS = 1_000;

/** Dependencies of the dispatcher role. */
export interface DispatcherHostOptions {
  readonly routes: RouteSource;
  readonly clock: Clock;
  readonly permissions: PermissionCheck;
  readonly events: EventSink;
  readonly meter?: DispatchMeter;
  /**
   * Monotonic time at which the latest read of the log began that returned no
   * records newer than the folded state.
   */
  readonly logConfirmedAtMs: () => number;
  /** Creates the client of a server; tests replace it. */
  readonly createClient?: (server: Server) => BackendClient;
}

/** Dispatches requests to all servers that this VM is the dispatcher of. */
export class DispatcherHost implements RelayHandler {
  /** Dispatchers by server id, including those that are being stopped. */
  private readonly dispatchers = new Map<string, ServerDispatcher>();
  private readonly attempts = new AttemptTable();
  private readonly crashes = new CrashGuard();
  private readonly handovers: ShardHandovers;
  /** Current assignments of this VM as a dispatcher, by server id. */
  private readonly assignments = new Map<string, DispatchAssignment>();
  /**
   * Servers whose dispatching is being stopped and whose attempt records have
   * not been exported yet.
   */
  private readonly stopping = new Set<string>();
  /** Stopped dispatchers whose connections close after their last request. */
  private readonly closing = new Map<ServerDispatcher, Promise<void>>();
  private readonly crashListeners = new Set<CrashListener>();

  /**
   * @param options - Dependencies.
   */
  constructor(private readonly options: DispatcherHostOptions) {
    this.handovers = new ShardHandovers({...options, attempts: this.attempts});
  }

  /**
   * Makes this VM the dispatcher of a server, or ends that role. When it ends,
   * queued requests are refused and requests in flight finish.
   *
   * Another VM may have dispatched between two fences of this VM without this
   * process noticing, because it was paused or partitioned. A new fence
   * therefore counts as a takeover that knows no earlier attempts, unless
   * `replaces` is the fence that this VM held.
   *
   * @param server - Server id.
   * @param fence - New fence, or null to end the role.
   * @param replaces - Fence that the server had immediately before, if known.
   */
  setDispatch(
    server: string,
    fence: Fence | null,
    replaces: Fence | null = null,
  ): void {
    if (fence !== null && !this.dispatchers.has(server)) this.addServer(server);
    const dispatcher = this.dispatchers.get(server);
    if (!dispatcher) return;
    const previousFence = dispatcher.currentFence;
    // Each dispatch table repeats the rows that have not changed.
    if (isSameFence(previousFence, fence)) return;
    if (this.stopping.has(server)) {
      // Tables that change other servers arrive while the stop waits for the
      // requests in flight. The stop ends the role itself after its wait.
      if (!fence) return;
      // This VM is the dispatcher again, but another VM may have been in
      // between.
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
   * record: a shard that leaves and comes back in two records would otherwise
   * look as if it had stayed.
   *
   * @param moves - Changes of shard owners in the folded record.
   * @returns Attempt records to send to the dispatchers of the new owners.
   */
  onRoutesChanged(moves: readonly ShardMove[] = []): OutgoingHandover[] {
    for (const id of this.assignments.keys()) {
      const server = this.options.routes.server(id);
      if (server) this.dispatchers.get(id)?.update(server, this.createClient);
    }
    // Queued requests of shards that have moved away must be refused before the
    // attempt records are exported.
    for (const dispatcher of this.dispatchers.values())
      dispatcher.recheckRoutes();
    return this.handovers.update(this.assignments, moves);
  }

  /**
   * Stops or resumes starting queued requests of shards.
   *
   * @param server - Server id.
   * @param service - Service id.
   * @param shards - Shard numbers.
   * @param isDraining - True to keep requests in the queue, false to resume.
   * @returns Resolves when no request of the shards is in flight; at once when
   * resuming.
   */
  async setDrain(
    server: string,
    service: string,
    shards: readonly number[],
    isDraining: boolean,
  ): Promise<void> {
    const dispatcher = this.dispatchers.get(server);
    if (!dispatcher) return;
    await Promise.all(
      shards.map(shard => dispatcher.setDrain(service, shard, isDraining)),
    );
  }

  /**
   * Stops dispatching for a server. Requests in flight finish on their
   * connections, which are closed afterwards.
   *
   * The wait for requests in flight is limited to 1 s for a server that checks
   * grants, because a long upload would keep all its shards unavailable; such a
   * server refuses requests of an old fence that have not started. Nothing
   * protects a server that does not check grants except its dispatcher, so the
   * wait for its requests is unlimited.
   *
   * @param server - Server id.
   * @param term - Term of the assigner that ordered the stop.
   * @returns Resolves with the attempt records for the next dispatcher, in
   * which requests that still run have an unknown outcome. The list is empty
   * when this VM became the dispatcher again during the wait.
   */
  async stop(server: string, term: number): Promise<Handover[]> {
    const dispatcher = this.dispatchers.get(server);
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
    this.dispatchers.delete(server);
    this.assignments.delete(server);
    this.onRoutesChanged();
    this.closeWhenIdle(dispatcher);
    return handovers;
  }

  /**
   * Imports attempt records if their sender dispatched the shards immediately
   * before this VM. Records that may match a later dispatch table or log record
   * are kept for a limited time; others are dropped with an event.
   *
   * @param handover - Message with the records.
   */
  importAttempts(handover: Handover): void {
    this.handovers.receive(handover, this.assignments);
  }

  /**
   * Moves the attempt records of a hot key to the key's new own shard, which is
   * on the same server. Must be called before `onRoutesChanged`.
   *
   * @param service - Service id.
   * @param key - The isolated key.
   * @param from - Hash shard of the key.
   * @param to - New shard of the key.
   */
  onIsolated(service: string, key: string, from: number, to: number): void {
    this.attempts.isolate(service, key, from, to);
    this.handovers.markLocalEpochChange(service, from, to);
  }

  /**
   * Moves the attempt records of an isolated key back to its hash shard. Must
   * be called before `onRoutesChanged`.
   *
   * @param service - Service id.
   * @param from - Shard of the isolated key.
   * @param into - Hash shard of the key.
   */
  onMerged(service: string, from: number, into: number): void {
    this.attempts.merge(service, from, into);
    this.handovers.markLocalEpochChange(service, from, into);
  }

  /**
   * Merges crash records that other VMs sent.
   *
   * @param records - Received records.
   */
  onCrashRecords(records: readonly CrashRecord[]): void {
    this.crashes.merge(records, this.options.clock.monotonicMs());
  }

  /**
   * Subscribes to crash records that this VM creates or clears.
   *
   * @param listener - Called with records that all entry VMs must receive.
   * @returns Function that ends the subscription.
   */
  onNewCrashRecords(listener: CrashListener): () => void {
    this.crashListeners.add(listener);
    return () => this.crashListeners.delete(listener);
  }

  /**
   * Exports all crash records for a VM that has just connected.
   *
   * @returns The records.
   */
  exportCrashRecords(): CrashRecord[] {
    return this.crashes.export(this.options.clock.monotonicMs());
  }

  /**
   * Reports the load of each server that this VM dispatches for.
   *
   * @returns One report per server.
   */
  loads(): ServerLoad[] {
    return [...this.dispatchers.values()]
      .filter(dispatcher => dispatcher.currentFence)
      .map(dispatcher => dispatcher.load());
  }

  /**
   * Reads the current queues and slots of the servers that this VM dispatches
   * for.
   *
   * @returns One entry per server, for the metrics.
   */
  serverUsages(): ServerUsage[] {
    return [...this.dispatchers.values()]
      .filter(dispatcher => dispatcher.currentFence)
      .map(dispatcher => dispatcher.usage());
  }

  /**
   * Sets the incarnation of a server as a lease or status call returned it. A
   * change means that the server has restarted. Only tests call this: the
   * daemon reads the incarnation after a lost connection, with a status call.
   *
   * @param server - Server id.
   * @param bootId - Id of the incarnation.
   */
  onServerIncarnation(server: string, bootId: string): void {
    this.dispatchers.get(server)?.onBootId(bootId);
    for (const dispatcher of this.closing.keys()) {
      if (dispatcher.serverId === server) dispatcher.onBootId(bootId);
    }
  }

  /**
   * Executes a request for a server that this VM dispatches for.
   *
   * @param request - The request.
   * @returns The answer or the failure. Never rejects.
   */
  async dispatch(request: RelayRequest): Promise<RelayResult> {
    const dispatcher = this.dispatchers.get(request.server);
    if (!dispatcher?.currentFence) return failedWith('wrong-dispatcher');
    try {
      return await dispatcher.dispatch(request);
    } catch {
      return failedWith('internal-error');
    }
  }

  /**
   * Stops dispatching for all servers.
   *
   * @returns Resolves when no request is in flight and all connections are
   * closed.
   */
  async close(): Promise<void> {
    // The handovers are not sent, so their term does not matter.
    await Promise.all([...this.dispatchers.keys()].map(id => this.stop(id, 0)));
    await Promise.all(this.closing.values());
  }

  /** Closes the connections of a stopped dispatcher once it is idle. */
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
    this.dispatchers.set(id, dispatcher);
  }

  private readonly createClient = (server: Server): BackendClient =>
    this.options.createClient?.(server) ?? new BackendClient(server);
}

function failedWith(reason: Reason): RelayResult {
  return {kind: 'failed', failure: requestFailure(reason), crashCount: 0};
}
