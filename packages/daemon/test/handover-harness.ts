/**
 * Simulated cluster for handover tests. Each server has one dispatcher, the
 * entry VM that sends requests to it, and the dispatcher's requests carry its
 * fencing token, the fence (term, seq). Tests deliver, drop and repeat the
 * messages of the control links.
 */
import {
  type DispatchRow,
  type Fence,
  type PeerMessage,
  type Server,
  type ShardChange,
} from '@wisteriarun/core';
import {
  DispatcherHost,
  type OwnedShard,
  type RouteSource,
} from '@wisteriarun/daemon';
import type {RelayResult} from '@wisteriarun/peer';
import {Readable} from 'node:stream';
import {DispatchDirectory} from '../src/control/dispatch-directory.js';
import {PeerMessageHandler} from '../src/control/peer-message-handler.js';
import {movesOf} from '../src/control/shard-moves.js';
import {uuidV7} from './request-harness.js';

const SHARDS = [0, 1];
/** Owner of a shard, the zone of the shard, and its epoch. */
type ShardOwner = {server: string; zone: string; epoch: number};
type Change = Pick<ShardChange, 'shard' | 'formerFence'> & {server: string};

/** The log, the assigner and the backend servers, which all VMs share. */
export class FakeCluster {
  readonly log: Change[] = [];
  readonly vms = new Map<string, Vm>();
  /** Current fence of each server. */
  readonly fences = new Map<string, Fence>();
  /** Number of times that each request ran, by id. */
  readonly runs = new Map<string, number>();
  /**
   * Requests that their server stalls, by id. A test adds an id with any
   * function; once the request arrives, the server replaces the function by one
   * that resumes the request.
   */
  readonly stalled = new Map<string, () => void>();
  /**
   * Whether the VMs' routes say that the servers check grants. The fake servers
   * check the fence and the shard of each request in any case.
   */
  checksGrants = true;
  term = 1;
  wallMs = 1_000_000_000_000;
  /** Row of each server in the dispatch table. */
  private rows = new Map<string, DispatchRow>();
  private seq = 0;
  private version = 0;

  constructor(names: readonly string[]) {
    for (const name of names) this.vms.set(name, new Vm(this, name));
  }

  /**
   * Owner and epoch of a shard after the first `length` records of the log. The
   * epoch is the offset, counted from 1, of the record that last moved the
   * shard. Before its first move, the owner is server x and the epoch 0.
   */
  ownerOf(shard: number, length = this.log.length): ShardOwner {
    for (let epoch = length; epoch > 0; epoch--) {
      const change = this.log[epoch - 1]!;
      if (change.shard === shard) {
        return {server: change.server, zone: 'z', epoch};
      }
    }
    return {server: 'x', zone: 'z', epoch: 0};
  }

  vm(name: string): Vm {
    return this.vms.get(name)!;
  }

  dispatcherOf(server: string): string {
    return this.rows.get(server)!.dispatcher;
  }

  /**
   * Gives a server a new fence and dispatcher without stopping the previous
   * one.
   *
   * @param server - Server id.
   * @param dispatcher - VM that becomes the dispatcher.
   * @param withReplaces - Whether the table states the fence that is replaced.
   */
  setDispatcher(server: string, dispatcher: string, withReplaces = true): void {
    const previousFence = this.fences.get(server) ?? null;
    const fence = {term: this.term, seq: ++this.seq};
    const replaces = withReplaces ? previousFence : null;
    this.fences.set(server, fence);
    this.rows.set(server, {server, dispatcher, fence, replaces});
    this.publishTable();
  }

  /**
   * Begins a new term: the new assigner keeps the dispatchers that the servers
   * report, and does not know which fences their present fences replaced.
   */
  startTerm(): void {
    this.term += 1;
    for (const [server, row] of this.rows) {
      this.rows.set(server, {...row, replaces: null});
    }
    this.publishTable();
  }

  /** Orders a server's dispatcher to stop; `next` takes over when it has. */
  orderStop(server: string, next: string): void {
    const {term} = this;
    const {fence} = this.rows.get(server)!;
    const kind = 'dispatch-stop';
    const message = {kind, zone: 'z', term, server, fence, next};
    this.vm(this.dispatcherOf(server)).inbox.push(message as PeerMessage);
  }

  /**
   * Makes `next` the dispatcher once the dispatcher `from` has stopped. Tests
   * replace this method to lose the confirmation of a stop.
   */
  onStopped(from: string, server: string, term: number, next: string): void {
    if (term !== this.term || this.dispatcherOf(server) !== from) return;
    this.setDispatcher(server, next);
  }

  /**
   * Moves a shard to another server by a record on the log.
   *
   * @param shard - Shard number.
   * @param server - New owner.
   * @param withFormerFence - Whether the record states the fence of the former
   * owner's dispatcher.
   */
  move(shard: number, server: string, withFormerFence = true): void {
    const former = this.fences.get(this.ownerOf(shard).server) ?? null;
    const formerFence = withFormerFence ? former : null;
    this.log.push({shard, server, formerFence});
  }

  /** Whether a server that checks grants would run a request. */
  admits(server: string, shard: number, epoch: number, fence: Fence): boolean {
    const currentFence = this.fences.get(server);
    const owner = this.ownerOf(shard);
    return (
      currentFence?.term === fence.term &&
      currentFence.seq === fence.seq &&
      owner.server === server &&
      owner.epoch === epoch
    );
  }

  private publishTable(): void {
    const table: PeerMessage = {
      kind: 'dispatch-table',
      zone: 'z',
      term: this.term,
      version: ++this.version,
      rows: [...this.rows.values()],
    };
    for (const vm of this.vms.values()) vm.inbox.push(table);
  }
}

/** Entry VM that acts only when a test delivers a message or folds records. */
export class Vm {
  inbox: PeerMessage[] = [];
  readonly events: string[] = [];
  readonly host: DispatcherHost;
  readonly messageHandler: PeerMessageHandler;
  readonly directory = new DispatchDirectory();
  private offset = 0;
  private term = 0;
  /** Start of the latest read that found no records after the folded ones. */
  private confirmedAtMs = -Infinity;
  private nextDispatcherOf = new Map<string, string>();

  constructor(
    private readonly cluster: FakeCluster,
    readonly name: string,
  ) {
    const clock = {
      monotonicMs: () => performance.now(),
      wallMs: () => cluster.wallMs,
    };
    this.host = new DispatcherHost({
      routes: this.routes,
      clock,
      permissions: {check: () => null},
      events: ({kind, cause}) => this.events.push(`${kind} ${cause}`),
      logConfirmedAtMs: () => this.confirmedAtMs,
      createClient: server => this.fakeBackend(server) as never,
    });
    const assigner = {
      onDispatchStopped: (message: {server: string; term: number}) =>
        this.reportStopped(message.server, message.term),
    };
    this.messageHandler = new PeerMessageHandler({
      vm: name,
      clock,
      replica: {
        get state() {
          return {terms: new Map([['z', {term: cluster.term}]])};
        },
      },
      directory: this.directory,
      routes: {...this.routes, onChanged: () => {}},
      dispatcher: this.host,
      permissions: null,
      runner: {assigners: () => [assigner]},
      sendRemote: (vm: string, message: PeerMessage) => {
        if (vm === 'assigner') {
          const {server, term} = message as never;
          this.reportStopped(server, term);
        } else cluster.vms.get(vm)?.inbox.push(message);
      },
      broadcast: () => {},
    } as never);
  }

  /** Handles the oldest message of the inbox. */
  async deliverNext(): Promise<void> {
    const message = this.inbox.shift();
    if (!message) return;
    if (message.kind === 'dispatch-stop') {
      this.nextDispatcherOf.set(message.server, message.next);
    }
    this.messageHandler.handle('assigner', message);
    // Without requests in flight, a stop is reported a few microtasks later; 8
    // turns are ample.
    for (let i = 0; i < 8; i++) await Promise.resolve();
  }

  /** Folds at most `limit` further records of the log. */
  foldRecords(limit = Infinity): void {
    const startMs = performance.now();
    for (let i = 0; i < limit && this.offset < this.cluster.log.length; i++) {
      const before = this.rowsByService();
      const change = this.cluster.log[this.offset]!;
      this.offset += 1;
      const changes = [{service: 's', reason: 'balance', ...change}];
      const record = {kind: 'assign', changes};
      const verdict = {kind: 'accepted', record};
      this.messageHandler.onRoutesChanged(
        movesOf({verdict} as never, before as never),
      );
    }
    if (this.offset === this.cluster.log.length) this.confirmedAtMs = startMs;
  }

  /** Adopts the latest state from a peer, skipping the records in between. */
  adoptPeerState(): void {
    this.offset = this.cluster.log.length;
    this.messageHandler.onRoutesChanged([]);
  }

  /** Folds all records and handles all messages. */
  async catchUp(): Promise<void> {
    this.foldRecords();
    while (this.inbox.length > 0) await this.deliverNext();
    this.foldRecords();
  }

  /**
   * Dispatches a POST and returns the answer's text or the failure's reason.
   */
  async post(id: string, shard = 0, remainingMs = 1_000): Promise<string> {
    const {server, epoch} = this.cluster.ownerOf(shard, this.offset);
    const row = this.directory.lookup(server);
    const result: RelayResult = await this.host.dispatch({
      id,
      method: 'POST',
      path: '/s/k',
      headers: {},
      service: 's',
      key: `${shard}`,
      server,
      shard,
      epoch,
      fence: row?.fence ?? {term: 0, seq: 0},
      idempotencyKey: id,
      remainingMs,
      crashCount: 0,
      lengthBytes: 0,
      body: null,
      signal: new AbortController().signal,
    });
    if (result.kind === 'failed') return result.failure.reason;
    let text = '';
    for await (const chunk of result.body) text += String(chunk);
    return text;
  }

  private reportStopped(server: string, term: number): void {
    const next = this.nextDispatcherOf.get(server)!;
    this.cluster.onStopped(this.name, server, term, next);
  }

  private rowsByService() {
    const rows = SHARDS.map(shard => this.cluster.ownerOf(shard, this.offset));
    return {services: new Map([['s', {rows}]])};
  }

  private readonly routes: RouteSource = {
    route: (service, key) => {
      const shard = Number(key);
      return {service, shard, ...this.cluster.ownerOf(shard, this.offset)};
    },
    dispatcherOf: () => null,
    server: id => {
      const {checksGrants} = this.cluster;
      return {id, zone: 'z', slots: 9, checksGrants} as Server;
    },
    service: () => null,
    hasBundle: () => true,
    shardsOf: server =>
      SHARDS.map((shard): OwnedShard & {server: string} => ({
        service: 's',
        shard,
        ...this.cluster.ownerOf(shard, this.offset),
      })).filter(row => row.server === server),
    leaveAtMs: () => null,
    whenChanged: () => Promise.resolve(),
  };

  private fakeBackend({id: server}: Server) {
    const {cluster} = this;
    return {
      send: async (request: {
        id: string;
        shard: number;
        epoch: number;
        fence: Fence;
        beforeWrite: () => unknown;
      }) => {
        const {id, shard, epoch, fence} = request;
        const refusal = request.beforeWrite();
        const refused = refusal || !cluster.admits(server, shard, epoch, fence);
        if (refused) return {kind: 'not-run', reason: 'stale-fence'};
        cluster.runs.set(id, (cluster.runs.get(id) ?? 0) + 1);
        if (cluster.stalled.has(id)) {
          await new Promise<void>(resume => cluster.stalled.set(id, resume));
        }
        const body = Readable.from([Buffer.from(`ran ${id}`)]);
        return {kind: 'answered', status: 200, headers: {}, body};
      },
      status: async () => ({isOk: false}),
      drain: async () => {},
      close: async () => {},
    };
  }
}

/** Creates an idempotency key, `offsetMs` after the cluster's wall time. */
export const newIdempotencyKey = (cluster: FakeCluster, offsetMs = 0) =>
  uuidV7(cluster.wallMs + offsetMs);
