/**
 * Model of VMs, servers, log and network in which each VM and server has its own
 * clock. Servers accept requests by the rules of the lease protocol, which the
 * model implements independently of the assigner's code.
 */
import {
  Assigner,
  decideElection,
  isOlderFence,
  shardKey,
  type AssignerCommand,
  type Bundle,
  type Grant,
  type LeaseRequest,
  type RouterState,
  type ServerStatus,
} from '@wisteriarun/core';
import {ModelEntry} from './entry-model.js';
import {TestLog} from './fold.js';

const CALL_TIMEOUT_MS = 300;
const STEP_MS = 25;
const LOG_READ_MS = 100;
const HEARTBEAT_MS = 250;

/** Deterministic random numbers from a linear congruential generator. */
export class Random {
  constructor(private state: number) {}
  next(): number {
    this.state = (Math.imul(this.state, 1664525) + 1013904223) >>> 0;
    return this.state / 2 ** 32;
  }
  below(n: number): number {
    return Math.floor(this.next() * n);
  }
}

/**
 * A server; the bundle decides whether it checks grants. The parameter `t` of
 * its methods is the true time in ms.
 */
export class ModelServer {
  incarnation = 1;
  startedAtMs = 0;
  lease: LeaseRequest | null = null;
  /** Grants in force, and the sequence number of the call that carried them. */
  grants: {readonly seq: number; readonly list: readonly Grant[]} | null = null;
  term = 0;
  seq = 0;
  /** Time at which the last running request ends, by shard. */
  running = new Map<string, number>();
  state: 'live' | 'frozen' | 'dead' = 'live';

  constructor(
    readonly id: string,
    private readonly clockRate: number,
  ) {}

  /** Reading of the server's clock, which starts at zero with each incarnation. */
  clockMs(t: number): number {
    return (t - this.startedAtMs) * this.clockRate;
  }

  restart(t: number): void {
    this.incarnation++;
    this.startedAtMs = t;
    this.lease = null;
    this.grants = null;
    this.term = 0;
    this.seq = 0;
    this.running = new Map();
    this.state = 'live';
  }

  /** Whether a request with the current epoch and fence would run now. */
  accepts(t: number, shard: string): boolean {
    return this.state === 'live' && this.holds(t, shard);
  }

  /** Whether a live or frozen server has a valid lease with the shard. */
  holds(t: number, shard: string): boolean {
    return (
      this.state !== 'dead' &&
      this.lease !== null &&
      this.clockMs(t) < this.lease.expiresAtMs &&
      this.grants!.list.some(g => shardKey(g) === shard)
    );
  }

  /** Returns false when the call is refused. */
  handleLease(request: LeaseRequest): boolean {
    if (request.bootId !== this.bootId) return false;
    if (this.lease && isOlderFence(request.fence, this.lease.fence)) {
      return false;
    }
    if (request.term < this.term) return false;
    if (request.term === this.term && request.seq! <= this.seq) return false;
    if (request.grants === null) {
      const known = request.term === this.term ? this.grants : null;
      if (!known || known.seq !== request.grantsSeq) return false;
    } else {
      this.grants = {seq: request.seq, list: request.grants};
    }
    this.term = request.term;
    this.seq = request.seq!;
    this.lease = request;
    return true;
  }

  status(t: number): ServerStatus {
    const busy = [...this.running]
      .filter(([, endsAtMs]) => endsAtMs > t)
      .map(([key]) => ({service: 'svc', shard: Number(key.split('/')[1])}));
    return {
      bootId: this.bootId,
      clockMs: this.clockMs(t),
      term: this.term,
      fence: this.lease?.fence ?? null,
      dispatcher: this.lease?.dispatcher ?? null,
      grantsSeq: this.grants?.seq ?? null,
      busy,
      inFlight: busy.length,
      load: 0,
      draining: false,
    };
  }

  private get bootId(): string {
    return `${this.id}#${this.incarnation}`;
  }
}

/** Entry VM that follows the log, takes part in elections and may assign. */
export class ModelVm {
  /** Offset up to which the VM has read the log. */
  offset = 0;
  /** Assigner of the latest term that the VM has claimed, if any. */
  assigner: Assigner | null = null;
  /** As in `StepInput`, on the VM's clock. */
  logConfirmedAtMs = -Infinity;
  termSeenAtMs = 0;
  observedSinceMs = 0;
  lastZoneRecordAtMs: number | null = null;
  /** Whether the VM does nothing; messages wait in its `inbox`. */
  paused = false;
  draining = false;
  /** Whether the VM is cut off from the log. */
  logCut = false;
  /** Whether the VM is cut off from the servers. */
  serversCut = false;
  /** Whether the VM is cut off from all other entry VMs. */
  peersCut = false;
  /** Whether the VM waits for the outcome of its last claim to the term. */
  electing = false;
  /** Whether the VM is lost for good; it is then paused as well. */
  dead = false;
  readonly entry: ModelEntry;
  /** Arrival of the last heartbeat of each peer, on the VM's clock. */
  readonly heardAtMs = new Map<string, number>();
  readonly inbox: (() => void)[] = [];
  readonly events: string[] = [];

  constructor(
    readonly id: string,
    readonly zone: string,
    private readonly clockRate: number,
    private readonly skewMs: number,
  ) {
    this.entry = new ModelEntry(id);
  }

  /** Reading of the VM's clock at the true time `t` in ms. */
  clockMs(t: number): number {
    return t * this.clockRate + this.skewMs;
  }
}

/** Probabilities of message faults, from 0 to 1. */
export interface NetworkFaults {
  readonly drop: number;
  readonly duplicate: number;
  readonly delay: number;
}

/** The whole deployment; `timeMs` is the true time that all clocks measure. */
export class Model {
  timeMs = 0;
  readonly log = new TestLog();
  readonly servers = new Map<string, ModelServer>();
  readonly vms: ModelVm[] = [];
  /** Servers that the VM list has removed. */
  readonly removed = new Set<string>();
  /** Entry VMs that the VM list has removed. */
  readonly removedVms = new Set<string>();
  /** Broken rules, each with the true time at which it was broken. */
  readonly violations: string[] = [];
  logDown = false;
  private order = 0;
  private readonly checksGrants: boolean;
  /** Longest time for which a request of a dispatcher runs. */
  private readonly deadlineMs: number;
  private readonly hasOneZone: boolean;
  /** Grants of the latest call that carried grants, by term and server. */
  private readonly latestGrants = new Map<string, readonly Grant[]>();
  private readonly linkBusyUntilMs = new Map<string, number>();
  /** Pending events with their true times in ms, the latest first. */
  private readonly queue: {at: number; order: number; run: () => void}[] = [];

  constructor(
    bundle: Bundle,
    vms: readonly {id: string; zone: string}[],
    readonly random: Random,
    public faults: NetworkFaults = {drop: 0, duplicate: 0, delay: 0},
    /** Two clocks that drift apart by this much stay in `CLOCK_DRIFT_RATIO`. */
    private readonly maxDrift = 0.0049,
  ) {
    this.log.append({kind: 'bundle', body: bundle});
    this.checksGrants = bundle.servers[0]!.checksGrants;
    this.deadlineMs = bundle.services[0]!.longestDeadlineMs;
    this.hasOneZone = vms.every(v => v.zone === 'z1');
    for (const s of bundle.servers) {
      this.servers.set(s.id, new ModelServer(s.id, this.randomClockRate()));
    }
    for (const {id, zone} of vms) this.addVm(id, zone);
    this.every(STEP_MS, () => this.startRequests());
  }

  /** Starts an entry VM without any state. */
  addVm(id: string, zone: string): void {
    const vm = new ModelVm(
      id,
      zone,
      this.randomClockRate(),
      this.random.below(1e6),
    );
    vm.observedSinceMs = vm.termSeenAtMs = vm.clockMs(this.timeMs);
    this.vms.push(vm);
    this.every(STEP_MS, () => this.stepVm(vm));
    this.every(LOG_READ_MS, () => this.readLog(vm));
    this.every(HEARTBEAT_MS, () => this.heartbeat(vm));
  }

  /** Kills an entry VM; its requests at servers run until their deadlines. */
  killVm(vm: ModelVm): void {
    vm.dead = vm.paused = true;
  }

  private randomClockRate(): number {
    return 1 + (this.random.next() * 2 - 1) * this.maxDrift;
  }

  /**
   * Runs a function after a delay. Events of equal time run in the order in which
   * they were added.
   */
  at(delayMs: number, run: () => void): void {
    const event = {at: this.timeMs + delayMs, order: this.order++, run};
    let i = this.queue.length;
    while (i > 0 && this.queue[i - 1]!.at < event.at) i--;
    while (i > 0 && this.queue[i - 1]!.at === event.at) i--;
    this.queue.splice(i, 0, event);
  }

  run(durationMs: number): void {
    const end = this.timeMs + durationMs;
    while (this.queue.length > 0 && this.queue.at(-1)!.at <= end) {
      const event = this.queue.pop()!;
      this.timeMs = event.at;
      event.run();
      this.check();
    }
    this.timeMs = end;
  }

  /** Servers that would run a request for a shard now. */
  acceptors(shard: string): string[] {
    if (!this.checksGrants) {
      const live = this.vms.filter(vm => !vm.paused);
      const sendable = live.flatMap(vm => this.sendable(vm));
      const reached = sendable
        .filter(x => x.shard === shard)
        .filter(x => this.servers.get(x.server)!.state === 'live');
      return [...new Set(reached.map(x => x.server))];
    }
    return [...this.servers.values()]
      .filter(s => s.accepts(this.timeMs, shard))
      .map(s => s.id);
  }

  shards(): string[] {
    const rows = this.log.latest.services.get('svc')!.rows;
    return rows.map((_, shard) => `svc/${shard}`);
  }

  /** Shards for which no server would run a request now. */
  unserved(): string[] {
    return this.shards().filter(s => this.acceptors(s).length === 0);
  }

  /** Number of shards that a server owns in the latest state of the log. */
  owned(server: string): number {
    const rows = this.log.latest.services.get('svc')!.rows;
    return rows.filter(r => r.server === server).length;
  }

  /** VM that holds the term of a zone in the latest state of the log. */
  holder(zone = 'z1'): ModelVm {
    const id = this.log.latest.terms.get(zone)?.holder;
    return this.vms.find(v => v.id === id)!;
  }

  /** Resumes a VM, which first handles the messages that arrived meanwhile. */
  resume(vm: ModelVm): void {
    if (vm.dead) return;
    vm.paused = false;
    for (const handle of vm.inbox.splice(0)) handle();
  }

  /** Shards for which a VM may send requests now, with their servers. */
  private sendable(vm: ModelVm) {
    return vm.entry.sendable(vm.clockMs(this.timeMs), this.state(vm));
  }

  /**
   * Requests for a shard must not run at, or be sent to, two servers, and two
   * VMs must not send to one server. Paused VMs are checked as well, because
   * they may resume at any moment.
   */
  private checkDispatchers(): void {
    const owners = new Map<string, Set<string>>();
    const senders = new Map<string, Set<string>>();
    const note = (map: typeof owners, key: string, value: string) => {
      const set = map.get(key);
      if (set) set.add(value);
      else map.set(key, new Set([value]));
    };
    for (const vm of this.vms) {
      if (vm.dead) continue;
      for (const {server, shard} of this.sendable(vm)) {
        if (this.removed.has(server)) continue;
        note(owners, shard, server);
        note(senders, server, vm.id);
      }
    }
    for (const {id, running} of this.servers.values()) {
      if (this.removed.has(id)) continue;
      for (const [shard, endsAtMs] of running) {
        if (endsAtMs > this.timeMs) note(owners, shard, id);
      }
    }
    for (const [key, values] of [...owners, ...senders]) {
      if (values.size < 2) continue;
      this.violations.push(
        `t=${this.timeMs} ${key}: ${[...values].join(' and ')}`,
      );
    }
  }

  /** Adds the rules that are broken now to `violations`. */
  private check(): void {
    if (!this.checksGrants) {
      this.checkDispatchers();
      return;
    }
    for (const shard of this.shards()) {
      const found = this.acceptors(shard);
      if (found.length > 1) {
        this.violations.push(
          `t=${this.timeMs} ${shard} at ${found.join(' and ')}`,
        );
      }
    }
  }

  /** Runs a function at an interval, from a random moment of the first one. */
  private every(intervalMs: number, run: () => void): void {
    const tick = () => {
      run();
      this.at(intervalMs, tick);
    };
    this.at(this.random.below(intervalMs), tick);
  }

  private latencyMs(): number {
    const isSlow = this.random.next() < this.faults.delay;
    return isSlow ? 200 + this.random.below(4_000) : 1 + this.random.below(8);
  }

  /** Starts requests from entry VMs to servers that do not check grants. */
  private startDispatched(): void {
    for (const vm of this.vms) {
      if (vm.paused) continue;
      vm.entry.endRequests(this.timeMs);
      for (const serverShard of this.sendable(vm)) {
        if (this.random.next() > 0.03) continue;
        const server = this.servers.get(serverShard.server)!;
        const endsAtMs = this.timeMs + this.random.below(this.deadlineMs);
        vm.entry.start(serverShard, endsAtMs);
        if (server.state !== 'live') continue;
        const present = server.running.get(serverShard.shard) ?? 0;
        server.running.set(serverShard.shard, Math.max(present, endsAtMs));
      }
    }
  }

  private startRequests(): void {
    if (!this.checksGrants) {
      this.startDispatched();
      return;
    }
    for (const server of this.servers.values()) {
      for (const shard of this.shards()) {
        if (this.random.next() > 0.02) continue;
        if (!server.accepts(this.timeMs, shard)) continue;
        const endsAtMs = this.timeMs + this.random.below(200);
        const present = server.running.get(shard) ?? 0;
        server.running.set(shard, Math.max(present, endsAtMs));
      }
    }
  }

  /**
   * Sends a message from one entry VM to another. Links keep the order, except
   * for permissions, which may be lost, delayed and replayed.
   */
  private send(
    from: ModelVm,
    to: string,
    isPermission: boolean,
    handle: (vm: ModelVm) => void,
  ): void {
    const vm = this.vms.find(v => v.id === to);
    if (!vm || vm.dead) return;
    if (vm === from) {
      handle(vm);
      return;
    }
    const arrive = () => {
      if (from.peersCut || vm.peersCut) return;
      this.deliver(vm, () => handle(vm));
    };
    if (isPermission) {
      if (this.random.next() < this.faults.drop) return;
      this.at(this.latencyMs(), arrive);
      const isDuplicated = this.random.next() < this.faults.duplicate;
      if (isDuplicated) this.at(this.random.below(6_000), arrive);
      return;
    }
    const link = `${from.id}>${to}`;
    const arrivalMs = Math.max(
      this.timeMs + this.latencyMs(),
      this.linkBusyUntilMs.get(link) ?? 0,
    );
    this.linkBusyUntilMs.set(link, arrivalMs);
    this.at(arrivalMs - this.timeMs, arrive);
  }

  private deliver(vm: ModelVm, handle: () => void): void {
    if (vm.dead) return;
    if (vm.paused) vm.inbox.push(handle);
    else handle();
  }

  private heartbeat(vm: ModelVm): void {
    if (vm.paused || vm.peersCut) return;
    const table = vm.entry.latestTable;
    for (const peer of this.vms) {
      // A link that is restored carries the dispatch table again.
      if (table && peer !== vm) {
        this.send(vm, peer.id, false, to => to.entry.handleTable(table));
      }
      if (peer === vm || peer.peersCut) continue;
      this.at(1, () =>
        this.deliver(peer, () =>
          peer.heardAtMs.set(vm.id, peer.clockMs(this.timeMs)),
        ),
      );
    }
  }

  private canReachLog(vm: ModelVm): boolean {
    return !this.logDown && !vm.logCut;
  }

  private readLog(vm: ModelVm): void {
    if (vm.paused || !this.canReachLog(vm)) return;
    const startedAtMs = vm.clockMs(this.timeMs);
    const offset = this.log.latest.offset;
    this.at(this.random.below(20), () =>
      this.deliver(vm, () => {
        if (offset < vm.offset) return;
        this.follow(vm, offset);
        if (vm.assigner && this.state(vm).terms.get('z1')) {
          vm.logConfirmedAtMs = startedAtMs;
        }
      }),
    );
  }

  private follow(vm: ModelVm, offset: number): void {
    const nowMs = vm.clockMs(this.timeMs);
    for (; vm.offset < offset; vm.offset++) {
      const record = this.log.records[vm.offset]!;
      if (record.kind === 'bundle') continue;
      const author = this.vms.find(v => v.id === record.author);
      if (author?.zone === 'z1') vm.lastZoneRecordAtMs = nowMs;
      if (record.kind !== 'term' || !this.log.accepted[vm.offset]) continue;
      vm.termSeenAtMs = nowMs;
      vm.electing = false;
      vm.assigner =
        record.author === vm.id
          ? new Assigner({
              vm: vm.id,
              zone: record.zone,
              term: vm.offset + 1,
              termAcknowledgedAtMs: nowMs,
              nowMs,
              hasPredecessor: record.baseTerm > 0,
              longestDeadlineMs: () => this.deadlineMs,
              ...(this.hasOneZone ? {foreignTermEndedAtMs: -Infinity} : {}),
            })
          : vm.assigner;
      vm.logConfirmedAtMs = -Infinity;
    }
    vm.entry.onFolded(this.state(vm));
  }

  private state(vm: ModelVm): RouterState {
    return this.log.states[vm.offset]!;
  }

  private stepVm(vm: ModelVm): void {
    if (vm.paused) return;
    this.elect(vm);
    if (!vm.assigner) return;
    const nowMs = vm.clockMs(this.timeMs);
    const commands = vm.assigner.step({
      nowMs,
      wallMs: this.timeMs,
      state: this.state(vm),
      entries: this.vms
        .filter(v => v.zone === vm.zone)
        .filter(v => v === vm || nowMs - (vm.heardAtMs.get(v.id) ?? 0) < 750)
        .map(v => ({vm: v.id, capacity: 1, draining: v.draining})),
      knownEntries: this.vms.filter(v => v.zone === 'z1').map(v => v.id),
      removedEntries: this.removedVms,
      removedServers: this.removed,
      logAvailable: this.canReachLog(vm),
      logConfirmedAtMs: vm.logConfirmedAtMs,
    });
    for (const command of commands) this.execute(vm, command);
  }

  private elect(vm: ModelVm): void {
    const state = this.state(vm);
    if (vm.electing) return;
    const record = decideElection({
      self: {vm: vm.id, zone: vm.zone, draining: vm.draining},
      zone: 'z1',
      nowMs: vm.clockMs(this.timeMs),
      peers: this.vms
        .filter(v => v !== vm)
        .map(v => ({
          vm: v.id,
          zone: v.zone,
          lastHeardAtMs: vm.heardAtMs.get(v.id) ?? -Infinity,
          drainingSinceMs: v.draining ? 0 : null,
        })),
      state,
      logAvailable: this.canReachLog(vm),
      observedSinceMs: vm.observedSinceMs,
      termSeenAtMs: vm.termSeenAtMs,
      lastZoneRecordAtMs: vm.lastZoneRecordAtMs,
    });
    if (!record) return;
    vm.electing = true;
    this.at(5, () => {
      this.log.append(record);
      this.at(150, () => (vm.electing = false));
    });
  }

  private execute(vm: ModelVm, command: AssignerCommand): void {
    const assigner = vm.assigner!;
    switch (command.kind) {
      case 'lease':
      case 'probe': {
        const request = command.kind === 'lease' ? command.request : null;
        this.callServer(vm, assigner, command.server, request);
        return;
      }
      case 'append':
        this.checkLoss(command.record);
        this.append(vm, assigner, command.record);
        return;
      case 'shard-drain': {
        const {term, seq, server, service, shards, drain} = command.message;
        const kind = 'shard-drained';
        if (!this.checksGrants) {
          this.sendDrain(vm, assigner, command);
          return;
        }
        if (!drain) return;
        this.at(this.latencyMs() * 2, () =>
          this.deliver(vm, () =>
            assigner.onShardDrained({kind, term, seq, server, service, shards}),
          ),
        );
        return;
      }
      case 'dispatch-stop': {
        const {term, server, fence} = command.message;
        if (!this.checksGrants) {
          this.sendStop(vm, assigner, command);
          return;
        }
        this.at(this.latencyMs() * 2, () =>
          this.deliver(vm, () =>
            assigner.onDispatchStopped({
              kind: 'dispatch-stopped',
              term,
              server,
              fence,
            }),
          ),
        );
        return;
      }
      case 'event':
        vm.events.push(command.event.kind);
        return;
      case 'dispatch-table':
        for (const {id} of this.vms) {
          this.send(vm, id, false, to => to.entry.handleTable(command.table));
        }
        return;
      case 'permission':
        this.sendPermission(vm, assigner, command);
    }
  }

  private sendPermission(
    vm: ModelVm,
    assigner: Assigner,
    {to, message}: Extract<AssignerCommand, {kind: 'permission'}>,
  ): void {
    this.send(vm, to, true, holder => {
      if (!holder.entry.handlePermission(message, this.state(holder))) return;
      const {server, term} = message;
      const clockMs = holder.clockMs(this.timeMs);
      const kind = 'permission-ack';
      this.send(holder, vm.id, true, () =>
        assigner.onPermissionAck({
          vm: holder.id,
          receivedAtMs: vm.clockMs(this.timeMs),
          msg: {kind, server, term, clockMs, busy: []},
        }),
      );
    });
  }

  private sendDrain(
    vm: ModelVm,
    assigner: Assigner,
    {to, message}: Extract<AssignerCommand, {kind: 'shard-drain'}>,
  ): void {
    const {term, seq, server, service, shards} = message;
    const kind = 'shard-drained';
    this.send(vm, to, false, holder =>
      holder.entry.handleDrain(message, this.state(holder), () =>
        this.send(holder, vm.id, false, () =>
          assigner.onShardDrained(
            {kind, term, seq, server, service, shards},
            holder.id,
          ),
        ),
      ),
    );
  }

  private sendStop(
    vm: ModelVm,
    assigner: Assigner,
    {to, message}: Extract<AssignerCommand, {kind: 'dispatch-stop'}>,
  ): void {
    const {term, server, fence} = message;
    const kind = 'dispatch-stopped';
    this.send(vm, to, false, holder =>
      holder.entry.handleStop(message, this.state(holder), () =>
        this.send(holder, vm.id, false, () =>
          assigner.onDispatchStopped({kind, term, server, fence}, holder.id),
        ),
      ),
    );
  }

  private callServer(
    vm: ModelVm,
    assigner: Assigner,
    id: string,
    request: LeaseRequest | null,
  ): void {
    const expected = request && this.expectedGrants(id, request);
    let isPending = true;
    this.at(CALL_TIMEOUT_MS, () =>
      this.deliver(vm, () => {
        if (!isPending) return;
        isPending = false;
        const nowMs = vm.clockMs(this.timeMs);
        assigner.onServerFailure({server: id, nowMs});
      }),
    );
    if (vm.serversCut || this.random.next() < this.faults.drop) return;
    const server = this.servers.get(id)!;
    const arrive = (sendsAnswer: boolean) => {
      if (server.state === 'dead') return;
      if (server.state === 'frozen') {
        this.at(50, () => arrive(sendsAnswer));
        return;
      }
      const isAccepted = request === null || server.handleLease(request);
      if (request && isAccepted) this.checkGrants(server, expected);
      const status = server.status(this.timeMs);
      if (!sendsAnswer || this.random.next() < this.faults.drop) return;
      this.at(this.latencyMs(), () =>
        this.deliver(vm, () => {
          if (!isPending || vm.serversCut) return;
          isPending = false;
          const receivedAtMs = vm.clockMs(this.timeMs);
          if (!isAccepted) {
            assigner.onLeaseRefused({server: id, term: status.term});
            return;
          }
          const sentLease = request;
          assigner.onServerStatus({
            server: id,
            receivedAtMs,
            status,
            sentLease,
          });
        }),
      );
    };
    this.at(this.latencyMs(), () => arrive(true));
    if (this.random.next() < this.faults.duplicate) {
      this.at(this.random.below(6_000), () => arrive(false));
    }
  }

  /** Grants that the server must hold if it accepts a call sent now. */
  private expectedGrants(id: string, {term, grants}: LeaseRequest) {
    const key = `${term} ${id}`;
    if (grants) this.latestGrants.set(key, grants);
    return this.latestGrants.get(key) ?? null;
  }

  /** An accepted call must not restore or keep a withdrawn grant. */
  private checkGrants(
    server: ModelServer,
    expected: readonly Grant[] | null,
  ): void {
    if (server.grants?.list === expected) return;
    this.violations.push(
      `t=${this.timeMs} ${server.id} does not hold the grants that an accepted call carries or keeps`,
    );
  }

  private append(
    vm: ModelVm,
    assigner: Assigner,
    record: Parameters<TestLog['append']>[0],
  ): void {
    const write = () => {
      if (!this.canReachLog(vm)) {
        this.at(100, write);
        return;
      }
      this.checkPlanned(record);
      const offset = this.log.append(record);
      if (this.random.next() < this.faults.duplicate) this.log.append(record);
      this.awaitFold(vm, assigner, offset);
    };
    this.at(this.latencyMs(), write);
  }

  /** Whether the term is current; the log rejects records of older terms. */
  private isCurrent(record: {zone: string; term: number}): boolean {
    return record.term === this.log.latest.terms.get(record.zone)?.term;
  }

  /** The loss of a server must not be recorded while its lease is valid. */
  private checkLoss(record: Parameters<TestLog['append']>[0]): void {
    if (record.kind !== 'assign' || !this.isCurrent(record)) return;
    for (const change of record.changes) {
      if (change.reason !== 'server-lost') continue;
      const row = this.log.latest.services.get('svc')!.rows[change.shard]!;
      const source = this.servers.get(row.server ?? '');
      if (source?.holds(this.timeMs, shardKey(change))) {
        this.violations.push(
          `t=${this.timeMs} ${shardKey(change)} lost while its lease is valid`,
        );
      }
    }
  }

  /** A planned move must not be recorded while its source runs requests. */
  private checkPlanned(record: Parameters<TestLog['append']>[0]): void {
    if (record.kind !== 'assign' || !this.isCurrent(record)) return;
    for (const change of record.changes) {
      if (change.reason !== 'leaving' && change.reason !== 'balance') continue;
      const row = this.log.latest.services.get('svc')!.rows[change.shard]!;
      const source = this.servers.get(row.server ?? '');
      const endsAtMs = source?.running.get(shardKey(change)) ?? 0;
      if (source?.state === 'live' && endsAtMs > this.timeMs) {
        this.violations.push(`t=${this.timeMs} ${shardKey(change)} cut`);
      }
    }
  }

  private awaitFold(vm: ModelVm, assigner: Assigner, offset: number): void {
    if (vm.offset < offset || vm.paused) {
      this.at(20, () => this.awaitFold(vm, assigner, offset));
      return;
    }
    const accepted = this.log.accepted[offset - 1]!;
    assigner.onAppendResult({recordId: String(offset), accepted});
  }
}
