/** Directory of the servers that describe themselves in the log of servers. */
import {ServerRegistry} from '@wisteriarun/core';
import type {GatewayCodec, GatewayServer, KeyedRecord} from '@wisteriarun/core';
import {Channel} from '@wisteriarun/runtime';
import type {Clock, Logger} from '@wisteriarun/runtime';
import type {FollowEvent, LogFollower} from './log-follower.js';

/**
 * Descriptions of running servers may expire while the log is lost. When it
 * returns, the servers write them again within this time; until then, a server
 * whose description is missing is kept.
 */
const RELIST_GRACE_MS = 2_000;

/** Interval at which it is checked whether the list is known up to the end of the grace. */
const REMOVAL_RECHECK_MS = 50;

/** Limit on the ids that are remembered for malformed descriptions. */
const MAX_MALFORMED_IDS = 1_000;

/**
 * Limit on the servers that are remembered as leaving. Those that are not listed
 * any more count too, since their descriptions may come back after an outage.
 */
const MAX_LEAVING_IDS = 4_096;

/** A server that was added, changed or removed. */
export type ServerChange =
  | {readonly kind: 'server'; readonly server: GatewayServer}
  | {readonly kind: 'server-gone'; readonly id: string};

/**
 * Keeps a registry with the newest description of each server, as read from the
 * log of servers or received from the assigner, which has read it.
 */
export class ServerDirectory {
  readonly #registry = new ServerRegistry();
  readonly #changes = new Channel<ServerChange>();
  readonly #removalTimers = new Map<string, NodeJS.Timeout>();
  readonly #drainingSinceMs = new Map<string, number>();
  readonly #describedAtMs = new Map<string, number>();
  /** Offset of the record with the last change of each server, if known. */
  readonly #changedAtOffset = new Map<string, number>();
  /** Start of the incarnation that has said that it is leaving, by server id. */
  readonly #leavingBornMs = new Map<string, number>();
  /** Ids whose last description was malformed. */
  readonly #malformedIds = new Set<string>();
  #isLoaded = false;
  #isReadingImage = false;
  #loadedAtMs = Infinity;
  #regainedAtMs = -Infinity;
  #isLost = false;

  /**
   * @param follower - Reads the log of servers.
   * @param codec - Decodes its records.
   * @param clock - Clock of the process.
   * @param logger - Receives changes and malformed records.
   * @param knownAtMs - Monotonic time up to which all changes are known, at least.
   */
  constructor(
    follower: LogFollower,
    private readonly codec: GatewayCodec,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly knownAtMs: () => number = () => clock.monotonicMs(),
  ) {
    void follower.events.observe(event => this.#apply(event));
  }

  /** Whether the log of servers has been read at least once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /**
   * Whether a server that is not listed is gone. That is uncertain for some
   * time after a loss of the log, and also after the start of a VM, which does
   * not know whether the log was lost before.
   */
  get isSettled(): boolean {
    const sinceMs = Math.max(this.#loadedAtMs, this.#regainedAtMs);
    // What was listed since the last read is not known yet.
    return !this.#isLost && this.knownAtMs() - sinceMs >= RELIST_GRACE_MS;
  }

  /** Newest description of each listed server. */
  get registry(): ServerRegistry {
    return this.#registry;
  }

  /** Emits every added, changed and removed server. */
  get changes(): Channel<ServerChange> {
    return this.#changes;
  }

  /**
   * Returns how long a server may have been draining: the time since this VM last knew
   * that it was not.
   *
   * @param id - Id of the server.
   * @returns Milliseconds; 0 for a server that is not draining, and infinite for one that
   * was never seen otherwise.
   */
  drainingMs(id: string): number {
    const sinceMs = this.#drainingSinceMs.get(id);
    return sinceMs === undefined ? 0 : this.clock.monotonicMs() - sinceMs;
  }

  /**
   * Returns the time at which a server's newest description was received.
   *
   * @param id - Id of the server.
   * @returns Monotonic time; -Infinity for a server that is not listed.
   */
  describedAtMs(id: string): number {
    return this.#describedAtMs.get(id) ?? -Infinity;
  }

  /** Listed servers that have said in an answer that they are leaving. */
  get leaving(): GatewayServer[] {
    return [...this.#leavingBornMs].flatMap(([id, bornMs]) => {
      const server = this.#registry.find(id);
      return server !== null && server.bornMs === bornMs ? [server] : [];
    });
  }

  /**
   * Treats a server as draining from now on, whatever it writes into the log,
   * because one of its answers said that it is leaving. A later incarnation of
   * the server is not affected.
   *
   * @param id - Id of the server.
   * @param bornMs - Start of the incarnation that answered.
   * @returns True when this was not known and the incarnation is listed.
   */
  markLeaving(id: string, bornMs: number): boolean {
    const server = this.#registry.find(id);
    if (server === null || server.bornMs !== bornMs) return false;
    if (this.#leavingBornMs.get(id) === bornMs) return false;
    const [oldestId] = this.#leavingBornMs.keys();
    if (this.#leavingBornMs.size >= MAX_LEAVING_IDS && oldestId !== undefined) {
      this.#leavingBornMs.delete(oldestId);
    }
    this.#leavingBornMs.set(id, bornMs);
    this.#updateServer(server);
    return true;
  }

  /**
   * Adopts a change that another VM has read.
   *
   * @param change - The change.
   */
  adopt(change: ServerChange): void {
    if (change.kind === 'server') this.#updateServer(change.server);
    else if (this.#registry.find(change.id) !== null) this.#remove(change.id);
  }

  /**
   * Adopts the list of servers of the assigner.
   *
   * @param servers - The servers.
   * @param isComplete - Whether servers missing from the list are gone. They are
   * removed at once, since the assigner has already waited for them to be listed
   * again.
   * @param listedIds - Ids of all servers of the assigner.
   */
  adoptAll(
    servers: readonly GatewayServer[],
    isComplete: boolean,
    listedIds: readonly string[] = servers.map(({id}) => id),
  ): void {
    for (const server of servers) this.#updateServer(server);
    if (!isComplete) return;
    const listed = new Set(listedIds);
    for (const id of [...this.#registry.servers.keys()]) {
      if (!listed.has(id)) this.#remove(id);
    }
  }

  /**
   * Lists the servers that a VM may not know which has read the log of servers up
   * to an offset.
   *
   * @param offset - Offset of the next record that the VM reads.
   * @returns Servers that changed at this offset or later, and those of which this
   * is unknown because another VM has read the change.
   */
  changedSince(offset: number): GatewayServer[] {
    return [...this.#registry.servers.values()].filter(
      ({id}) => (this.#changedAtOffset.get(id) ?? Infinity) >= offset,
    );
  }

  /** Cancels pending removals and ends the stream of changes. */
  close(): void {
    for (const timer of this.#removalTimers.values()) clearTimeout(timer);
    this.#changes.close();
  }

  #apply(event: FollowEvent): void {
    switch (event.kind) {
      case 'image': {
        const listed = new Set<string>();
        this.#isReadingImage = true;
        for (const record of event.records) {
          if (this.#adoptRecord(record)) listed.add(record.key);
        }
        this.#isReadingImage = false;
        this.logger.info('servers-listed', {count: listed.size});
        for (const id of this.#registry.servers.keys()) {
          if (!listed.has(id)) this.#removeAfterGrace(id);
        }
        if (!this.#isLoaded) this.#loadedAtMs = this.clock.monotonicMs();
        this.#isLoaded = true;
        break;
      }
      case 'records':
        for (const record of event.records) this.#adoptRecord(record);
        break;
      case 'lost':
        this.#isLost = true;
        break;
      case 'regained':
        this.#isLost = false;
        this.#regainedAtMs = this.clock.monotonicMs();
        break;
    }
  }

  /**
   * Applies a record of the log. Returns whether its server counts as listed; a
   * known server does also after a malformed description.
   */
  #adoptRecord(record: KeyedRecord): boolean {
    const {key, value} = record;
    if (value === null) {
      this.#removeAfterGrace(key);
      return false;
    }
    const decoded = this.codec.server(key, value);
    if (decoded.isErr) {
      const detail = 'detail' in decoded.error ? decoded.error.detail : '';
      this.#logMalformed(key, detail);
      return this.#registry.find(key) !== null;
    }
    this.#malformedIds.delete(key);
    this.#updateServer(decoded.value, record.offset);
    return true;
  }

  /** Logs the first of consecutive malformed descriptions under one id. */
  #logMalformed(id: string, detail: string): void {
    if (this.#malformedIds.has(id)) return;
    if (this.#malformedIds.size >= MAX_MALFORMED_IDS) return;
    this.#malformedIds.add(id);
    this.logger.warn('server-malformed', {server: id, detail});
  }

  #updateServer(described: GatewayServer, offset = Infinity): void {
    const key = described.id;
    const isLeaving = this.#leavingBornMs.get(key) === described.bornMs;
    const server = isLeaving ? {...described, isDraining: true} : described;
    this.#cancelRemoval(key);
    const known = this.#registry.find(key);
    const isNew =
      known === null ||
      server.bornMs > known.bornMs ||
      (server.bornMs === known.bornMs && server.sequence > known.sequence);
    if (isNew) this.#describedAtMs.set(key, this.clock.monotonicMs());
    if (this.#registry.update(server) !== 'changed') return;
    this.#changedAtOffset.set(key, offset);
    if (!server.isDraining) this.#drainingSinceMs.delete(key);
    else if (!this.#drainingSinceMs.has(key)) {
      const nowMs = this.clock.monotonicMs();
      // An answer has said that the server is leaving as soon as it was.
      const sinceMs = isLeaving ? nowMs : Math.min(nowMs, this.knownAtMs());
      this.#drainingSinceMs.set(key, sinceMs);
    }
    if (!this.#isReadingImage) {
      this.logger.info('server-changed', {
        server: key,
        service: server.service,
        address: server.address,
        draining: server.isDraining,
        born_ms: server.bornMs,
      });
    }
    this.#changes.emit({kind: 'server', server});
  }

  #cancelRemoval(id: string): void {
    const timer = this.#removalTimers.get(id);
    if (timer === undefined) return;
    clearTimeout(timer);
    this.#removalTimers.delete(id);
  }

  #removeAfterGrace(id: string): void {
    if (this.#registry.find(id) === null || this.#removalTimers.has(id)) return;
    const nowMs = this.clock.monotonicMs();
    const graceEndsAtMs = this.#isLost
      ? nowMs + RELIST_GRACE_MS
      : this.#regainedAtMs + RELIST_GRACE_MS;
    if (graceEndsAtMs <= nowMs) this.#remove(id);
    else this.#removeOnceKnown(id, graceEndsAtMs);
  }

  /** Removes a server unless it is listed until a time, once that is known. */
  #removeOnceKnown(id: string, graceEndsAtMs: number): void {
    const leftMs = graceEndsAtMs - this.clock.monotonicMs();
    const timer = setTimeout(
      () => {
        if (this.knownAtMs() >= graceEndsAtMs) this.#remove(id);
        else this.#removeOnceKnown(id, graceEndsAtMs);
      },
      Math.max(leftMs, REMOVAL_RECHECK_MS),
    );
    this.#removalTimers.set(id, timer);
  }

  #remove(id: string): void {
    this.#cancelRemoval(id);
    this.#registry.remove(id);
    this.#drainingSinceMs.delete(id);
    this.#describedAtMs.delete(id);
    this.#changedAtOffset.delete(id);
    this.logger.info('server-gone', {server: id});
    this.#changes.emit({kind: 'server-gone', id});
  }
}
