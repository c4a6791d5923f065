/** Interfaces through which the request path uses the rest of the daemon. */
import type {
  CrashRecord,
  EventInput,
  Fence,
  Reason,
  Route,
  Server,
  Service,
} from '@wisteriarun/core';

/** Where this VM finds the dispatcher of a server. */
export interface DispatcherAddress {
  /** Instance id of the dispatcher's process. */
  readonly vm: string;
  /** Fencing token that the dispatcher's requests to the server carry. */
  readonly fence: Fence;
  /** Whether this VM is the dispatcher. */
  readonly isSelf: boolean;
  /** Host and port at which the dispatcher accepts requests of entry VMs. */
  readonly relayHost: string;
  readonly relayPort: number;
}

/** A shard that a server owns. */
export interface OwnedShard {
  readonly service: string;
  readonly shard: number;
  /** Offset of the log record that last changed the shard's owner or keys. */
  readonly epoch: number;
}

/**
 * Read access to the state computed from the log (`RouterState`) and to the
 * assigners' tables, which name the dispatcher of each server.
 */
export interface RouteSource {
  /**
   * @returns The route of a key, or null before the first bundle or for an
   * unknown service.
   */
  route(service: string, key: string): Route | null;
  /** @returns The dispatcher of a server, or null when none is known. */
  dispatcherOf(server: string): DispatcherAddress | null;
  /** @returns The server as the bundle in force describes it, or null. */
  server(id: string): Server | null;
  /** @returns The service as the bundle in force describes it, or null. */
  service(id: string): Service | null;
  /** @returns False before the first bundle. */
  hasBundle(): boolean;
  /** @returns The shards that a server owns in the folded state. */
  shardsOf(server: string): Iterable<OwnedShard>;
  /**
   * @returns Wall time from which a server of a leaving batch (`batchSchema`)
   * gets no new requests; null when its batch is not leaving.
   */
  leaveAtMs(server: string): number | null;
  /**
   * Waits for a change of routes or dispatchers.
   *
   * @param timeoutMs - Longest wait in milliseconds.
   * @returns Resolves at the next change or after the timeout.
   */
  whenChanged(timeoutMs: number): Promise<void>;
}

/** Clocks of the process. */
export interface Clock {
  /** @returns Milliseconds that never decrease. */
  monotonicMs(): number;
  /** @returns Milliseconds since the Unix epoch. */
  wallMs(): number;
}

/**
 * Receives events for the timeline, which shows operators the latest events of
 * this process.
 */
export type EventSink = (event: EventInput) => void;

/** Permissions of this VM to send to servers that do not check grants. */
export interface PermissionCheck {
  /**
   * Checks the permission for one request. Called in the same turn of the event
   * loop in which the request is written, so that the permission cannot change
   * in between.
   *
   * @param server - Server id.
   * @param fence - Fence under which this VM dispatches.
   * @param shard - Shard and epoch of the request.
   * @returns Null when sending is permitted, else the reason of the refusal.
   */
  check(server: string, fence: Fence, shard: OwnedShard): Reason | null;
}

/**
 * Receives crash records, each of which counts the server crashes during which
 * one request was in flight.
 */
export type CrashListener = (records: CrashRecord[]) => void;

/** Metrics of the entry role. Called for every request, so it must be fast. */
export interface EntryMeter {
  /**
   * Records the outcome of a request as soon as the head of its answer or its
   * failure is known.
   *
   * @param service - Service id; null when the bundle does not list it.
   * @param reason - Reason of the failure; null when answered.
   * @param durationMs - Time since the head of the request arrived.
   * @param serverMs - Part of `durationMs` that the server took; null when not
   * known.
   */
  recordRequest(
    service: string | null,
    reason: Reason | null,
    durationMs: number,
    serverMs: number | null,
  ): void;
  /** Records that a try for a shard was answered. */
  recordServed(service: string, shard: number): void;
  /**
   * Records that no owner served a shard: when a try fails for this reason, and
   * again when the request gives up waiting for another try.
   */
  recordUnserved(service: string, shard: number): void;
}

/** Metrics of the dispatcher role. */
export interface DispatchMeter {
  /**
   * Records how long a request waited before it was started.
   *
   * @param service - Service id.
   * @param waitMs - Time in the queue of its server.
   */
  recordQueueWait(service: string, waitMs: number): void;
}

/** Meter that records nothing. */
export const NOOP_METER: EntryMeter & DispatchMeter = {
  recordRequest: () => {},
  recordServed: () => {},
  recordUnserved: () => {},
  recordQueueWait: () => {},
};
