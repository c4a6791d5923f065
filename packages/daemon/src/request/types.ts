/** What the request path needs from the rest of the daemon. */
import type {
  CrashRecord,
  EventInput,
  Fence,
  Reason,
  Route,
  Server,
  Service,
} from '@wisteriarun/core';

/** Dispatcher of a server as this VM knows it. */
export interface DispatcherAddress {
  readonly vm: string;
  readonly fence: Fence;
  readonly isSelf: boolean;
  readonly relayHost: string;
  readonly relayPort: number;
}

/** A shard of a server with its epoch. */
export interface OwnedShard {
  readonly service: string;
  readonly shard: number;
  readonly epoch: number;
}

/** Folded state and dispatch table, as the request path reads them. */
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
  /** @returns Shards that the folded state gives to a server. */
  shardsOf(server: string): Iterable<OwnedShard>;
  /** @returns Wall time from which the server gets no new work, or null. */
  leavingAtMs(server: string): number | null;
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

/** Takes events for the time line. */
export type EventSink = (event: EventInput) => void;

/** Permissions to send to servers that do not check grants. */
export interface PermissionCheck {
  /**
   * Evaluated in the same turn of the event loop as the write.
   *
   * @param server - Server id.
   * @param fence - Fence under which this VM dispatches.
   * @param shard - Shard and epoch of the request.
   * @returns Null when sending is permitted, else the reason to refuse.
   */
  check(server: string, fence: Fence, shard: OwnedShard): Reason | null;
}

/** Listener for new crash records. */
export type CrashListener = (records: CrashRecord[]) => void;

/** Measures of the entry role; called for every request, so it must be fast. */
export interface EntryMeter {
  /**
   * Notes the outcome of a request, when its answer's head or its failure is
   * known.
   *
   * @param service - Service id; null when the bundle does not list it.
   * @param reason - Null when answered.
   * @param durationMs - Time since the request's head arrived.
   * @param serverMs - Part of it that the server took, if known.
   */
  recordRequest(
    service: string | null,
    reason: Reason | null,
    durationMs: number,
    serverMs: number | null,
  ): void;
  /** Notes a try that was answered for a shard. */
  recordServed(service: string, shard: number): void;
  /** Notes a try that failed for lack of a serving owner. */
  recordUnserved(service: string, shard: number): void;
}

/** Measures of the dispatcher role. */
export interface DispatchMeter {
  /**
   * Notes the start of a request.
   *
   * @param service - Service id.
   * @param waitMs - Time in the queue.
   */
  recordQueueWait(service: string, waitMs: number): void;
}

/** Meter that drops everything. */
export const NOOP_METER: EntryMeter & DispatchMeter = {
  recordRequest: () => {},
  recordServed: () => {},
  recordUnserved: () => {},
  recordQueueWait: () => {},
};
