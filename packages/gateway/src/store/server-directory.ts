/** The servers in the platform's log, as this VM knows them. */
import {ServerRegistry} from '@wisteriarun/core';
import type {GatewayCodec, GatewayServer, KeyedRecord} from '@wisteriarun/core';
import {Channel} from '@wisteriarun/runtime';
import type {Clock, Logger} from '@wisteriarun/runtime';
import type {FollowEvent, LogFollower} from './log-follower.js';

/**
 * Time after a loss of the log within which entries that lapsed meanwhile come
 * back; until then a removed server stays listed.
 */
const RELIST_GRACE_MS = 2_000;

/** A change of the registry. */
export type ServerChange =
  | {readonly kind: 'server'; readonly server: GatewayServer}
  | {readonly kind: 'server-gone'; readonly id: string};

/** Keeps the registry up to date with the log of servers. */
export class ServerDirectory {
  readonly #registry = new ServerRegistry();
  readonly #changes = new Channel<ServerChange>();
  readonly #removalTimers = new Map<string, NodeJS.Timeout>();
  readonly #drainingSinceMs = new Map<string, number>();
  readonly #describedAtMs = new Map<string, number>();
  #isLoaded = false;
  #loadedAtMs = Infinity;
  #regainedAtMs = -Infinity;
  #isLost = false;

  /**
   * @param follower - Follower of the log of servers.
   * @param codec - Decoder of its records.
   * @param clock - Clock of the process.
   * @param logger - Receives malformed records and changes.
   */
  constructor(
    follower: LogFollower,
    private readonly codec: GatewayCodec,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    void follower.events.observe(event => this.#apply(event));
  }

  /** Whether the servers have been read once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /**
   * Whether a server that is not listed is gone. A VM that has just started
   * does not know whether the log was away before.
   */
  get isSettled(): boolean {
    const sinceMs = Math.max(this.#loadedAtMs, this.#regainedAtMs);
    return (
      !this.#isLost && this.clock.monotonicMs() - sinceMs >= RELIST_GRACE_MS
    );
  }

  /** Newest descriptions. */
  get registry(): ServerRegistry {
    return this.#registry;
  }

  /** Changed and removed servers. */
  get changes(): Channel<ServerChange> {
    return this.#changes;
  }

  /**
   * Tells for how long a server has been known to leave.
   *
   * @param id - Id of the server.
   * @returns Milliseconds; 0 for a server that stays.
   */
  leavingMs(id: string): number {
    const sinceMs = this.#drainingSinceMs.get(id);
    return sinceMs === undefined ? 0 : this.clock.monotonicMs() - sinceMs;
  }

  /**
   * Tells when a server last described itself.
   *
   * @param id - Id of the server.
   * @returns Monotonic time at which that was read; -Infinity when never.
   */
  describedAtMs(id: string): number {
    return this.#describedAtMs.get(id) ?? -Infinity;
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
   * Adopts all servers that the assigner knows.
   *
   * @param servers - The servers.
   * @param isComplete - Whether servers that are not among them are gone; the
   * assigner has waited for those that may come back.
   */
  adoptAll(servers: readonly GatewayServer[], isComplete: boolean): void {
    for (const server of servers) this.#updateServer(server);
    if (!isComplete) return;
    const listed = new Set(servers.map(({id}) => id));
    for (const id of [...this.#registry.servers.keys()]) {
      if (!listed.has(id)) this.#remove(id);
    }
  }

  /** Stops all timers. */
  close(): void {
    for (const timer of this.#removalTimers.values()) clearTimeout(timer);
    this.#changes.close();
  }

  #apply(event: FollowEvent): void {
    switch (event.kind) {
      case 'image': {
        const listed = new Set<string>();
        for (const record of event.records) {
          if (this.#adoptRecord(record)) listed.add(record.key);
        }
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

  #adoptRecord(record: KeyedRecord): boolean {
    const {key, value} = record;
    if (value === null) {
      this.#removeAfterGrace(key);
      return false;
    }
    const decoded = this.codec.server(key, value);
    if (decoded.isErr) {
      const detail = 'detail' in decoded.error ? decoded.error.detail : '';
      this.logger.debug('server-malformed', {server: key, detail});
      return this.#registry.find(key) !== null;
    }
    this.#updateServer(decoded.value);
    return true;
  }

  #updateServer(server: GatewayServer): void {
    const key = server.id;
    this.#cancelRemoval(key);
    const known = this.#registry.find(key);
    const isNew =
      known === null ||
      server.bornMs > known.bornMs ||
      (server.bornMs === known.bornMs && server.sequence > known.sequence);
    if (isNew) this.#describedAtMs.set(key, this.clock.monotonicMs());
    if (this.#registry.update(server) !== 'changed') return;
    if (!server.isDraining) this.#drainingSinceMs.delete(key);
    else if (!this.#drainingSinceMs.has(key)) {
      this.#drainingSinceMs.set(key, this.clock.monotonicMs());
    }
    this.logger.info('server-changed', {
      server: key,
      service: server.service,
      address: server.address,
      draining: server.isDraining,
      born_ms: server.bornMs,
    });
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
    const leftMs =
      this.#regainedAtMs + RELIST_GRACE_MS - this.clock.monotonicMs();
    if (!this.#isLost && leftMs <= 0) {
      this.#remove(id);
      return;
    }
    const timer = setTimeout(
      () => this.#remove(id),
      Math.max(leftMs, this.#isLost ? RELIST_GRACE_MS : 0),
    );
    this.#removalTimers.set(id, timer);
  }

  #remove(id: string): void {
    this.#cancelRemoval(id);
    this.#registry.remove(id);
    this.#drainingSinceMs.delete(id);
    this.#describedAtMs.delete(id);
    this.logger.info('server-gone', {server: id});
    this.#changes.emit({kind: 'server-gone', id});
  }
}
