/** Interfaces between the assigner role and the rest of the daemon. */
import type {
  AssignerOptions,
  DispatchTable,
  EntryVm,
  EventInput,
  LeaseRequest,
  LogRecord,
  PeerMessage,
  ElectionPeer,
  RouterState,
  ServerStatus,
  WisteriarunError,
} from '@wisteriarun/core';
import type {Clock} from '@wisteriarun/runtime';
import type {Result} from 'true-myth/result';

/** Result of a lease or status call to a server. */
export type StatusResult = Result<ServerStatus, WisteriarunError>;

/** Inputs that the assigner role reads and actions that it triggers. */
export interface AssignerPorts {
  /** Instance id of this process. */
  readonly vm: string;
  readonly zone: string;
  readonly clock: Clock;
  /** Longest request deadline of a service. */
  readonly longestDeadlineMs: NonNullable<AssignerOptions['longestDeadlineMs']>;
  /**
   * Monotonic time since which this VM has listened to peers and followed the
   * log; null before that time.
   */
  readonly observedSinceMs: () => number | null;
  /** Whether this process is shutting down. */
  readonly draining: () => boolean;
  /**
   * Called after a pause of the process, in the next periodic step of the
   * assigners, with the time since the step before the pause.
   */
  readonly onPause: (gapMs: number) => void;
  readonly state: () => RouterState;
  /** Whether the latest read of the log succeeded. */
  readonly logAvailable: () => boolean;
  /**
   * Monotonic start time of the latest read that reached the end of the log;
   * negative infinity before the first such read. Every term that began before
   * this time is known.
   */
  readonly logConfirmedAtMs: () => number;
  /**
   * Live entry VMs that may dispatch for the servers of a zone: those of the
   * zone or, if it has none, those of this VM's zone. This VM is among those of
   * its own zone.
   */
  readonly entriesOf: (zone: string) => readonly EntryVm[];
  /** Last known state of the other entry VMs of all zones. */
  readonly electionPeers: () => readonly ElectionPeer[];
  /**
   * Entry VMs of a zone, live or silent; null until the VM list was read. A
   * listed VM without a known process is given by its VM id, the others by
   * their instance ids.
   */
  readonly knownEntriesOf: (zone: string) => readonly string[] | null;
  /**
   * Instance ids of the entry VMs' processes that have certainly ended, and ids
   * of the VMs that the VM list has removed.
   */
  readonly removedEntries: () => ReadonlySet<string>;
  /**
   * Ids of the VMs that the VM list has removed. A server has the same id there
   * as in the bundle.
   */
  readonly removedServers: () => ReadonlySet<string>;
  /** Sends a lease call to a server. */
  readonly lease: (
    server: string,
    request: LeaseRequest,
  ) => Promise<StatusResult>;
  /** Sends a status call to a server, which the command `probe` asks for. */
  readonly callStatus: (server: string) => Promise<StatusResult>;
  /**
   * Appends a record, with retries for a limited time. The result is not used:
   * a term starts when its record has been read from the log.
   */
  readonly append: (record: LogRecord) => Promise<unknown>;
  /**
   * Repeats the append of a record until it is known whether the record is on
   * the log; `isFolded` tells whether this VM has read it from the log and
   * folded it. Resolves to false when it is certainly not on the log, and to
   * true otherwise, also when the log tail was closed with the outcome unknown.
   */
  readonly appendUntilKnown: (
    record: LogRecord,
    isFolded: () => boolean,
  ) => Promise<boolean>;
  /** Sends a message to an entry VM, which may be this one. */
  readonly send: (vm: string, message: PeerMessage) => void;
  /** Stores a zone's table of dispatchers and sends it to all entry VMs. */
  readonly publishTable: (table: DispatchTable) => void;
  readonly emit: (event: EventInput) => void;
  readonly leaseMeter: LeaseMeter;
}

/** Records the outcomes of the lease calls of this VM's assigners. */
export interface LeaseMeter {
  /**
   * Records a renewed lease.
   *
   * @param server - Server id.
   * @param leftMs - Time until expiry, by the server's clock in its answer.
   */
  recordRenewed(server: string, leftMs: number): void;
  /** Records a lease call that was not sent or got no valid answer. */
  recordFailed(): void;
  /** Records a lease call that the server refused. */
  recordRefused(): void;
}
