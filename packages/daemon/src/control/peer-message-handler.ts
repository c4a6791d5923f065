/** Handles the messages of the control link. */
import type {DispatchTable, Fence, PeerMessage} from '@wisteriarun/core';
import type {Clock} from '@wisteriarun/runtime';
import type {DispatcherHost} from '../request/dispatcher-host.js';
import type {OutgoingHandover, ShardMove} from '../request/shard-handovers.js';
import type {AssignerRunner} from './assigner-runner.js';
import type {DispatchDirectory} from './dispatch-directory.js';
import type {PermissionTable} from './permissions.js';
import type {RouteTable} from './route-table.js';
import type {StateReplica} from './state-replica.js';
import {ZoneOrders, type DrainOrder} from './zone-orders.js';

type MessageOf<K extends PeerMessage['kind']> = Extract<PeerMessage, {kind: K}>;

/**
 * Longest time for which an outgoing handover is kept while no dispatch table
 * names its receiver.
 */
const HANDOVER_RETENTION_MS = 10_000;
/**
 * Largest number of outgoing handovers that `sendHandovers` considers at a
 * time. Older ones are dropped, even if a table now names their receivers.
 */
const MAX_PENDING_HANDOVERS = 64;

/** Dependencies of the message handler. */
export interface PeerMessageHandlerOptions {
  /** Instance id of this process. */
  readonly vm: string;
  readonly clock: Clock;
  readonly replica: StateReplica;
  readonly directory: DispatchDirectory;
  readonly routes: RouteTable;
  readonly dispatcher: DispatcherHost;
  readonly permissions: PermissionTable;
  readonly runner: AssignerRunner;
  /** Sends over the control link. */
  readonly sendRemote: (vm: string, message: PeerMessage) => void;
  readonly broadcast: (message: PeerMessage) => void;
  /** Called with each load report. */
  readonly onLoads?: (report: MessageOf<'load-report'>) => void;
}

/** Passes each message to the role that handles it. */
export class PeerMessageHandler {
  /** Ids of the servers that the tables assign to this VM for dispatching. */
  private dispatchedIds = new Set<string>();
  private readonly orders = new ZoneOrders();
  /** Next dispatcher of each server whose dispatching is being stopped. */
  private readonly successors = new Map<string, string>();
  /** Handovers that were not sent, since no table names their receivers yet. */
  private pendingHandovers: (OutgoingHandover & {readonly sinceMs: number})[] =
    [];

  /**
   * @param options - Dependencies.
   */
  constructor(private readonly options: PeerMessageHandlerOptions) {}

  /** Number of servers that this VM dispatches for. */
  get dispatchedServerCount(): number {
    return this.dispatchedIds.size;
  }

  /**
   * Sends a message to an entry VM; one to this VM is handled directly.
   *
   * @param vm - Receiver.
   * @param message - The message.
   */
  send(vm: string, message: PeerMessage): void {
    if (vm === this.options.vm) this.handle(vm, message);
    else this.options.sendRemote(vm, message);
  }

  /**
   * Stores a table of this VM's assigner and sends it to all entry VMs.
   *
   * @param table - The table.
   */
  publishTable(table: DispatchTable): void {
    this.onTable(table);
    this.options.broadcast(table);
  }

  /**
   * Sends the dispatch tables and crash records to a peer whose link is now up.
   *
   * @param vm - The peer.
   */
  sendInitialState(vm: string): void {
    for (const table of this.options.directory.tables()) this.send(vm, table);
    const records = this.options.dispatcher.exportCrashRecords();
    if (records.length > 0) this.send(vm, {kind: 'crash-record', records});
  }

  /**
   * Notifies the dispatcher role of changed routes and hands over the attempt
   * records of shards that this VM no longer dispatches.
   *
   * @param moves - Shards that the folded record moved, if any.
   */
  onRoutesChanged(moves: readonly ShardMove[]): void {
    const sinceMs = this.options.clock.monotonicMs();
    const outgoing = this.options.dispatcher.onRoutesChanged(moves);
    this.pendingHandovers.push(...outgoing.map(item => ({...item, sinceMs})));
    this.sendHandovers();
  }

  /** Ends the drains of older terms and of shards with a newer epoch. */
  onStateChanged(): void {
    const outdated = this.orders.removeOutdatedDrains(
      server => this.currentTermOf(server),
      (service, shard) => this.epochOf(service, shard),
    );
    this.endDrains(outdated);
  }

  /**
   * Handles one message.
   *
   * @param from - Entry VM that sent the message.
   * @param message - Validated message.
   */
  handle(from: string, message: PeerMessage): void {
    const {dispatcher, runner, replica} = this.options;
    switch (message.kind) {
      case 'dispatch-table':
        this.onTable(message);
        return;
      case 'dispatch-stop':
        void this.stopDispatch(from, message);
        return;
      case 'shard-drain':
        void this.drain(from, message);
        return;
      case 'handover':
        dispatcher.importAttempts(message);
        return;
      case 'permission':
        this.onPermission(from, message);
        return;
      case 'crash-record':
        dispatcher.onCrashRecords(message.records);
        return;
      case 'state-request':
        this.send(from, {kind: 'state-reply', image: replica.image()});
        return;
      case 'state-reply':
        if (message.image) replica.adopt(message.image);
        return;
      case 'load-report':
        this.options.onLoads?.(message);
        for (const assigner of runner.assigners()) {
          assigner.onLoadReport(message);
        }
        return;
      case 'dispatch-stopped':
        for (const assigner of runner.assigners()) {
          assigner.onDispatchStopped(message, from);
        }
        return;
      case 'shard-drained':
        for (const assigner of runner.assigners()) {
          assigner.onShardDrained(message, from);
        }
        return;
      case 'permission-ack':
        this.onPermissionAck(from, message);
        return;
      // The mesh that received these messages has handled them already.
      case 'hello':
      case 'heartbeat':
        return;
    }
  }

  private onTable(table: DispatchTable): void {
    const {directory, dispatcher, routes, vm} = this.options;
    if (!directory.update(table)) return;
    const nowDispatched = new Set<string>();
    for (const row of directory.all()) {
      if (row.dispatcher !== vm) continue;
      if (this.orders.isStopped(row.server, row.fence, row.term)) continue;
      nowDispatched.add(row.server);
      dispatcher.setDispatch(row.server, row.fence, row.replaces);
      const {server, fence} = row;
      this.endDrains(this.orders.removeDrainsOfOtherFences(server, fence));
    }
    for (const server of this.dispatchedIds) {
      if (!nowDispatched.has(server)) dispatcher.setDispatch(server, null);
    }
    this.dispatchedIds = nowDispatched;
    routes.onChanged();
    this.sendHandovers();
  }

  private async stopDispatch(
    from: string,
    {server, next, term, fence}: MessageOf<'dispatch-stop'>,
  ): Promise<void> {
    if (term < this.currentTermOf(server)) return;
    const row = this.options.directory.lookup(server);
    // A delayed copy of an earlier order must not end a later assignment.
    if (row && isNewerFence(row.fence, fence)) return;
    // A repeated stop order may name another successor.
    this.successors.set(server, next);
    this.orders.recordStop(server, fence, term);
    const handovers = await this.options.dispatcher.stop(server, term);
    const successor = this.successors.get(server) ?? next;
    for (const handover of handovers) this.send(successor, handover);
    this.successors.delete(server);
    this.send(from, {kind: 'dispatch-stopped', server, term, fence});
  }

  private async drain(
    from: string,
    message: MessageOf<'shard-drain'>,
  ): Promise<void> {
    const {server, service, term, offset, seq, drain} = message;
    if (term < this.currentTermOf(server)) return;
    // `offset` is that of the assigner's state when it gave the order. The
    // order does not apply to a shard that got a newer epoch since.
    const shards = message.shards.filter(
      shard => this.epochOf(service, shard) <= offset,
    );
    if (shards.length === 0) return;
    const fence = this.options.directory.lookup(server)?.fence ?? null;
    const order = {server, service, term, offset, seq, fence};
    for (const shard of shards) {
      this.orders.recordDrain({...order, shard}, drain);
    }
    await this.options.dispatcher.setDrain(server, service, shards, drain);
    // If the drain was cancelled meanwhile, requests may be running again.
    const isDrained = (shard: number) =>
      this.orders.isDrainInForce({...order, shard});
    if (!shards.every(isDrained)) return;
    const drained = {term, seq, server, service, shards};
    this.send(from, {kind: 'shard-drained', ...drained});
  }

  private sendHandovers(): void {
    const {clock, directory, vm} = this.options;
    const oldestKeptMs = clock.monotonicMs() - HANDOVER_RETENTION_MS;
    const newest = this.pendingHandovers.slice(-MAX_PENDING_HANDOVERS);
    this.pendingHandovers = newest.filter(({to, handover, sinceMs}) => {
      const receiver = directory.lookup(to)?.dispatcher;
      if (receiver === undefined) return sinceMs >= oldestKeptMs;
      // If this VM is the next dispatcher as well, it has the records already.
      if (receiver !== vm) this.send(receiver, handover);
      return false;
    });
  }

  /**
   * Current term of a server's zone; 0 if the zone has no term yet or the
   * bundle in force does not list the server.
   */
  private currentTermOf(server: string): number {
    const {routes, replica} = this.options;
    const zone = routes.server(server)?.zone ?? '';
    return replica.state.terms.get(zone)?.term ?? 0;
  }

  private endDrains(drains: readonly DrainOrder[]): void {
    for (const {server, service, shard} of drains) {
      void this.options.dispatcher.setDrain(server, service, [shard], false);
    }
  }

  private epochOf(service: string, shard: number): number {
    const {services} = this.options.replica.state;
    return services.get(service)?.rows[shard]?.epoch ?? 0;
  }

  /** Stores a permission to send to a server that does not check grants. */
  private onPermission(from: string, message: MessageOf<'permission'>): void {
    const {permissions, clock} = this.options;
    if (message.term < this.currentTermOf(message.server)) return;
    if (!permissions.update(message)) return;
    this.send(from, {
      kind: 'permission-ack',
      server: message.server,
      term: message.term,
      clockMs: clock.monotonicMs(),
      // The message requires this list, but assigners do not read it.
      busy: [],
    });
  }

  private onPermissionAck(
    from: string,
    msg: MessageOf<'permission-ack'>,
  ): void {
    const receivedAtMs = this.options.clock.monotonicMs();
    for (const assigner of this.options.runner.assigners()) {
      assigner.onPermissionAck({vm: from, receivedAtMs, msg});
    }
  }
}

function isNewerFence(a: Fence, b: Fence): boolean {
  return a.term !== b.term ? a.term > b.term : a.seq > b.seq;
}
