/** Takes part in the election of the assigner; assigns or follows it. */
import {randomUUID} from 'node:crypto';
import {bundleDelta, electionDelayMs, RemoteClock} from '@wisteriarun/core';
import type {
  AssignerContact,
  CrashRecord,
  GatewayMessage,
  GatewayServer,
  OwnershipRecord,
  OwnershipView,
  VmStrength,
} from '@wisteriarun/core';
import type {CrashWatch} from '../entry/crash-watch.js';
import type {BundleAdoption} from '../store/bundle-holder.js';
import {delay} from '../utils/delay.js';
import {Assigner} from './assigner.js';
import type {AssignerDependencies, LogReadProgress} from './assigner.js';
import {AssignerLink} from './assigner-link.js';
import type {OwnerView} from './owner-view.js';
import type {OwnershipLog, StoredOwnershipRecord} from './ownership-log.js';
import {TablePublisher} from './table-publisher.js';

/** Interval at which the state of the assigner is checked. */
const STEP_MS = 100;
/** Pause after a failed read of the log while there is no link. */
const WATCH_INTERVAL_MS = 250;
/** Longest wait for a record of the log while there is no link. */
const MAX_WATCH_WAIT_MS = 800;
/** Shortest wait for a record, so that reads do not follow each other at once. */
const MIN_WATCH_WAIT_MS = 50;
/** Time without a link and without a new record until a new election. */
const REPLACE_AFTER_MS = 1_200;
/** The same while the assigner answers, but reports that it lost the log. */
const REPLACE_WITHOUT_LOG_MS = 400;
/**
 * Age up to which the assigner's list of servers is complete: servers that it
 * lacks are gone.
 */
const FRESH_SERVERS_MS = 1_000;
/** Interval at which a VM asks the assigner for its clock. */
const PROBE_INTERVAL_MS = 1_000;
/** Bytes that one delta of a bundle may take on all links together. */
const MAX_DELTA_BROADCAST_BYTES = 2_097_152;

/** Stands for an assigner whose reads are not known. */
const NO_READS: LogReadProgress = {
  serversAgeMs: Infinity,
  bundlesAgeMs: Infinity,
  bundlesOffset: 0,
};

/** Dependencies of the coordinator. */
export interface CoordinatorDependencies extends Omit<
  AssignerDependencies,
  'publisher'
> {
  readonly log: OwnershipLog;
  readonly owners: OwnerView;
  readonly crashes: CrashWatch;
  readonly zone: string;
  /** Offset up to which this VM has read the log of servers; undefined before. */
  serversOffset(): number | undefined;
  /** Resources of this VM. */
  readonly strength: VmStrength;
  readonly peerAddress: string;
}

/** Runs the assigner while this VM is elected, and follows it otherwise. */
export class Coordinator {
  readonly #contact: AssignerContact;
  #assigner: Assigner | null = null;
  #publisher: TablePublisher | null = null;
  readonly #link: AssignerLink;
  #assignerSeenAtMs: number;
  #adoptedOffset = -1;
  #isAssignerLogLost = false;
  /** Whether the whole table was requested and has not arrived yet. */
  #isResyncing = false;
  #isLoaded = false;
  #isClosed = false;
  #mayAssign = true;
  /** Number of owners missing from the list of servers, as last logged. */
  #unlistedCount = 0;
  /** What the assigner had read when its clock showed `#assignerReadsClockMs`. */
  #assignerReads: LogReadProgress = NO_READS;
  #assignerReadsClockMs = -Infinity;
  readonly #assignerClock = new RemoteClock();
  #probedAtMs = -Infinity;
  /** Whether the assigner has answered the hello; earlier versions close at a probe. */
  #answersProbes = false;
  readonly #electionDelayMs: number;

  /**
   * @param dependencies - Dependencies of the coordinator.
   */
  constructor(private readonly dependencies: CoordinatorDependencies) {
    this.#contact = {
      vm: dependencies.vm,
      peerAddress: dependencies.peerAddress,
      incarnation: randomUUID(),
    };
    this.#link = new AssignerLink(
      () => this.#hello(),
      message => this.#handleMessage(message),
      dependencies.clock,
      dependencies.logger,
    );
    this.#assignerSeenAtMs = dependencies.clock.monotonicMs();
    this.#electionDelayMs = electionDelayMs(
      dependencies.strength,
      Math.random(),
    );
    void dependencies.peers.messages.stream.observe(({message, reply}) => {
      if (this.#assigner === null) return;
      if (message.kind === 'load') this.#assigner.addLoad(message);
      if (message.kind === 'crashes') {
        dependencies.crashes.merge(
          message.records,
          dependencies.clock.monotonicMs(),
        );
        dependencies.peers.broadcast(message);
      }
      if (message.kind === 'server' && message.server.isDraining) {
        const {id, bornMs} = message.server;
        dependencies.directory.markLeaving(id, bornMs);
      }
      if (
        (message.kind === 'hello' || message.kind === 'probe') &&
        message.sentAtMs !== undefined
      ) {
        const clockMs = dependencies.clock.monotonicMs();
        reply({kind: 'echo', sentAtMs: message.sentAtMs, clockMs});
      }
      if (message.kind === 'hello') {
        const view = this.#publisher?.view;
        if (view !== undefined) reply({kind: 'view', view});
        this.#sendState(reply, message.serversOffset);
      }
    });
    void dependencies.directory.changes.stream.observe(change =>
      this.#assigner?.serversChanged(change),
    );
    void dependencies.bundles.changes.stream.observe(adoption => {
      if (this.#assigner === null) return;
      // Before the heartbeat, which announces the offset of the new bundle.
      this.#shareBundleDelta(adoption);
      this.#assigner.bundleChanged();
    });
  }

  /** Whether this VM is the assigner. */
  get isAssigner(): boolean {
    return this.#assigner !== null;
  }

  /** VM of the newest ownership record; null before the first was read. */
  get assigner(): string | null {
    return this.dependencies.log.newest?.record.assigner.vm ?? null;
  }

  /**
   * How far the assigner has read the logs. The ages include the time that its messages
   * may have taken. Without a live link to it, or on the assigner itself, the ages are
   * infinite and the offset is 0.
   */
  get assignerReads(): LogReadProgress {
    if (this.isAssigner || !this.#link.isLive) return NO_READS;
    const nowMs = this.dependencies.clock.monotonicMs();
    const sinceMs =
      nowMs - this.#assignerClock.earliestMs(this.#assignerReadsClockMs, nowMs);
    const {serversAgeMs, bundlesAgeMs, bundlesOffset} = this.#assignerReads;
    return {
      serversAgeMs: serversAgeMs + sinceMs,
      bundlesAgeMs: bundlesAgeMs + sinceMs,
      bundlesOffset,
    };
  }

  /** Starts to take part in elections. */
  start(): void {
    void this.#run();
  }

  /**
   * Passes a load report to the assigner.
   *
   * @param report - Report of this VM; dropped while there is no link.
   */
  report(report: Extract<GatewayMessage, {kind: 'load'}>): void {
    if (this.#assigner !== null) this.#assigner.addLoad(report);
    else this.#link.send(report);
  }

  /**
   * Sends records of requests that crashed servers to the other VMs.
   *
   * @param records - New records; dropped while there is no link.
   */
  shareCrashes(records: readonly CrashRecord[]): void {
    if (records.length === 0) return;
    const message: GatewayMessage = {kind: 'crashes', records: [...records]};
    if (this.#assigner !== null) this.dependencies.peers.broadcast(message);
    else this.#link.send(message);
  }

  /**
   * Tells the assigner that a server has said that it is leaving.
   *
   * @param server - The server, as draining; dropped while there is no link.
   */
  reportLeaving(server: GatewayServer): void {
    this.#link.send({kind: 'server', server});
  }

  /**
   * Resigns if this VM is the assigner, and takes no part in later elections.
   *
   * @returns Resolves when this VM is not the assigner any more, or is closed.
   */
  async retire(): Promise<void> {
    this.#mayAssign = false;
    while (this.#assigner !== null && !this.#isClosed) {
      const assigner = this.#assigner;
      if (await assigner.resign()) {
        if (this.#assigner === assigner) this.#stopAssigning();
        this.dependencies.logger.info('assigner-resigned', {});
      } else {
        await delay(STEP_MS);
      }
    }
  }

  /** Stops without a resignation. */
  close(): void {
    this.#isClosed = true;
    this.#assigner?.close();
    this.#publisher?.close();
    this.#link.close();
  }

  async #run(): Promise<void> {
    while (!this.#isClosed) {
      const waitMs = await this.#step();
      await delay(waitMs);
    }
  }

  /** Runs one check; returns the wait until the next in milliseconds. */
  async #step(): Promise<number> {
    if (this.#assigner !== null) return STEP_MS;
    if (!this.#isLoaded) return await this.#loadNewestRecord();
    if (this.#link.isLive && !this.#isAssignerLogLost) {
      this.#assignerSeenAtMs = this.dependencies.clock.monotonicMs();
      this.#probeAssigner();
      return STEP_MS;
    }
    return await this.#watchLog();
  }

  #probeAssigner(): void {
    const nowMs = this.dependencies.clock.monotonicMs();
    const isDue = nowMs - this.#probedAtMs >= PROBE_INTERVAL_MS;
    if (!isDue || !this.#answersProbes) return;
    this.#probedAtMs = nowMs;
    this.#link.send({kind: 'probe', sentAtMs: nowMs});
  }

  /**
   * Reads the newest record once this VM knows the servers and a bundle, and
   * starts the first election if there is none. Returns the wait until the next
   * check in milliseconds.
   */
  async #loadNewestRecord(): Promise<number> {
    const {log, directory, bundles} = this.dependencies;
    if (!directory.isLoaded || bundles.bundle === null) return STEP_MS;
    const newest = await log.refresh();
    if (newest.isErr) return WATCH_INTERVAL_MS;
    this.#isLoaded = true;
    this.#assignerSeenAtMs = this.dependencies.clock.monotonicMs();
    if (newest.value === null) {
      await delay(this.#electionDelayMs);
      const again = await log.refresh();
      if (again.isOk && again.value === null) await this.#tryElection(null);
      return STEP_MS;
    }
    this.#adoptRecord(newest.value);
    return 0;
  }

  /**
   * Without a working assigner at the other end of a link: reads the log, and
   * starts an election when the assigner's term is over or it shows no sign of
   * life. Returns the wait until the next check in milliseconds.
   */
  async #watchLog(): Promise<number> {
    const {clock, log} = this.dependencies;
    this.#tryLink(log.newest);
    const newest = await log.follow(this.#watchWaitMs());
    const nowMs = clock.monotonicMs();
    if (this.#link.isLive && !this.#isAssignerLogLost) return STEP_MS;
    if (newest.isErr) {
      // While the log cannot be read, its silence does not show that the
      // assigner is down.
      this.#assignerSeenAtMs = nowMs;
      this.#tryLink(log.newest);
      return WATCH_INTERVAL_MS;
    }
    const stored = newest.value;
    if (stored !== null && stored.offset > this.#adoptedOffset) {
      this.#adoptRecord(stored);
    }
    if (stored === null || this.#isTermOver(stored.record)) {
      // The term is known to be over, so the election starts after a part of the
      // usual delay.
      await delay(this.#electionDelayMs / 4);
      await this.#tryElection(stored);
      return STEP_MS;
    }
    if (nowMs >= this.#replaceAtMs()) {
      await this.#tryElection(stored);
      return STEP_MS;
    }
    this.#tryLink(stored);
    return 0;
  }

  /** Time from which the assigner counts as lost without a sign of life. */
  #replaceAtMs(): number {
    const replaceMs = this.#link.isLive
      ? REPLACE_WITHOUT_LOG_MS
      : REPLACE_AFTER_MS;
    return this.#assignerSeenAtMs + replaceMs + this.#electionDelayMs;
  }

  /**
   * How long to wait for the next record: until the assigner counts as lost, and not
   * at all if its term is over.
   */
  #watchWaitMs(): number {
    const {newest} = this.dependencies.log;
    if (newest === null || this.#isTermOver(newest.record)) return 0;
    const leftMs = this.#replaceAtMs() - this.dependencies.clock.monotonicMs();
    return Math.min(MAX_WATCH_WAIT_MS, Math.max(MIN_WATCH_WAIT_MS, leftMs));
  }

  /**
   * Whether the term of a record has ended: by a resignation, or because its
   * assigner was an earlier process of this VM.
   */
  #isTermOver(record: OwnershipRecord): boolean {
    return record.resigned || record.assigner.vm === this.#contact.vm;
  }

  /** Adopts the table of a record, which is a sign of life of its assigner. */
  #adoptRecord({record, offset}: StoredOwnershipRecord): void {
    const {clock, owners} = this.dependencies;
    this.#adoptedOffset = offset;
    this.#assignerSeenAtMs = clock.monotonicMs();
    // The offset of the record that elects an assigner becomes its term. That
    // record itself has the term -1, since its offset is not known in advance.
    const term = record.term < 0 ? offset : record.term;
    owners.replace({
      term,
      revision: record.revision,
      vmCount: owners.vmCount,
      ranges: record.ranges,
    });
  }

  /** Connects to the assigner of a record if that is due. */
  #tryLink(stored: StoredOwnershipRecord | null): void {
    if (stored === null || this.#isTermOver(stored.record)) return;
    if (!this.#link.open(stored.record.assigner)) return;
    this.#isResyncing = false;
    this.#isAssignerLogLost = false;
    this.#assignerReads = NO_READS;
    this.#assignerClock.clear();
    this.#answersProbes = false;
  }

  #handleMessage(message: GatewayMessage): void {
    const {owners, directory, crashes, admission, clock} = this.dependencies;
    switch (message.kind) {
      case 'heartbeat':
        this.#link.heartbeatReceived();
        this.#isAssignerLogLost = message.isLogLost;
        this.#assignerReads = message;
        this.#assignerReadsClockMs = message.clockMs ?? -Infinity;
        this.#logUnlisted();
        break;
      case 'echo':
        this.#answersProbes = true;
        this.#assignerClock.record(message.sentAtMs, message.clockMs);
        break;
      case 'servers':
        directory.adoptAll(
          message.servers,
          message.isSettled && message.ageMs < FRESH_SERVERS_MS,
          message.listedIds,
        );
        break;
      case 'bundle-delta':
        this.dependencies.bundles.applyDelta(message.delta);
        break;
      case 'server':
      case 'server-gone':
        directory.adopt(message);
        break;
      case 'shares':
        admission.set(message.shares, clock.monotonicMs());
        break;
      case 'crashes':
        crashes.merge(message.records, clock.monotonicMs());
        break;
      case 'view':
        this.#isResyncing = false;
        owners.replace(message.view);
        // The assigner may be a new one, or may have missed earlier reports.
        for (const server of directory.leaving) this.reportLeaving(server);
        break;
      case 'change':
        if (!owners.applyChange(message.view)) this.#resync(message.view);
        break;
      default:
        break;
    }
  }

  /**
   * Logs how many owners are missing from the list of servers, since this VM
   * refuses requests for their keys.
   */
  #logUnlisted(): void {
    const {owners, directory, logger} = this.dependencies;
    const unlisted = new Set<string>();
    for (const {server} of owners.all()) {
      if (server === null || directory.registry.find(server)) continue;
      unlisted.add(server);
    }
    if (unlisted.size === this.#unlistedCount) return;
    this.#unlistedCount = unlisted.size;
    logger.info('owners-unlisted', {count: unlisted.size, term: owners.term});
  }

  /** Message that asks the assigner for its state. */
  #hello(): GatewayMessage {
    const {vm, zone, serversOffset, clock} = this.dependencies;
    return {
      kind: 'hello',
      vm,
      zone,
      sentAtMs: clock.monotonicMs(),
      serversOffset: serversOffset(),
      takesBundleDeltas: true,
    };
  }

  /**
   * Sends the servers and crashes, the base of later change messages. A VM that has
   * read the log of servers up to `knownOffset` gets only those that changed since.
   */
  #sendState(
    send: (message: GatewayMessage) => void,
    knownOffset?: number,
  ): void {
    const {directory, readProgress, crashes, clock} = this.dependencies;
    send({
      kind: 'servers',
      servers: directory.changedSince(knownOffset ?? 0),
      listedIds: [...directory.registry.servers.keys()],
      ageMs: readProgress().serversAgeMs,
      isSettled: directory.isSettled,
    });
    const records = crashes.export(clock.monotonicMs());
    if (records.length > 0) send({kind: 'crashes', records});
  }

  /**
   * Requests the whole table after a change that does not follow the last one,
   * unless a request is under way.
   */
  #resync({term, revision}: OwnershipView): void {
    if (this.#isResyncing) return;
    this.#isResyncing = true;
    this.dependencies.logger.info('view-gap', {term, revision});
    this.#link.send(this.#hello());
  }

  /**
   * Appends a record that elects this VM, and starts to assign if the log has
   * accepted it.
   */
  async #tryElection(stored: StoredOwnershipRecord | null): Promise<void> {
    if (!this.#mayAssign || this.#isClosed) return;
    const {log, logger, clock} = this.dependencies;
    const former = stored?.record ?? null;
    const answer = await log.append({
      id: `${this.#contact.incarnation}-elect-${clock.monotonicMs()}`,
      term: -1,
      revision: 0,
      assigner: this.#contact,
      resigned: false,
      ranges: former?.ranges ?? [],
    });
    if (answer.isErr || answer.value.kind === 'superseded') return;
    const term = answer.value.offset;
    logger.info('assigner-elected', {term, former: former?.assigner.vm});
    if (this.#isClosed || !this.#mayAssign) return;
    this.#link.close();
    this.#publisher = new TablePublisher(
      this.dependencies,
      this.#contact,
      term,
      former?.ranges ?? [],
    );
    this.#assigner = new Assigner(
      {...this.dependencies, publisher: this.#publisher},
      former,
      () => this.#steppedDown(),
    );
    // VMs that were linked before the election have no state to which they
    // could apply changes.
    this.#sendState(message => this.dependencies.peers.broadcast(message));
  }

  /**
   * Sends the delta of a new bundle to the other VMs. They read a bundle from the store
   * themselves if its delta is large or if they lack the bundle before.
   */
  #shareBundleDelta({bundle, former, offset}: BundleAdoption): void {
    if (former === null) return;
    const delta = bundleDelta(former, bundle, offset);
    if (delta === null) return;
    this.dependencies.peers.broadcast(
      {kind: 'bundle-delta', delta},
      {
        isFor: hello => hello.takesBundleDeltas === true,
        maxTotalBytes: MAX_DELTA_BROADCAST_BYTES,
      },
    );
  }

  #steppedDown(): void {
    this.dependencies.logger.warn('assigner-superseded', {});
    this.#stopAssigning();
  }

  #stopAssigning(): void {
    this.#publisher?.close();
    this.#assigner = null;
    this.#publisher = null;
    this.#assignerSeenAtMs = this.dependencies.clock.monotonicMs();
    this.dependencies.peers.disconnect();
  }
}
