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
  readonly vm: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly longestDeadlineMs: NonNullable<AssignerOptions['longestDeadlineMs']>;
  /**
   * Monotonic time since which this VM has listened to peers and followed the
   * log; null before that time.
   */
  readonly observedSinceMs: () => number | null;
  readonly draining: () => boolean;
  /** Called in the first step after the process was paused. */
  readonly onPause: (gapMs: number) => void;
  readonly state: () => RouterState;
  readonly logAvailable: () => boolean;
  /**
   * Monotonic start time of the latest read that reached the end of the log.
   * Every term that began before it is known.
   */
  readonly logConfirmedAtMs: () => number;
  /** Live entry VMs of a zone; this VM is included for its own zone. */
  readonly entriesOf: (zone: string) => readonly EntryVm[];
  /** Last known state of the other entry VMs of all zones. */
  readonly electionPeers: () => readonly ElectionPeer[];
  /** Entry VMs of a zone, live or silent; null until the VM list was read. */
  readonly knownEntriesOf: (zone: string) => readonly string[] | null;
  /** Entry VMs whose processes have certainly ended. */
  readonly removedEntries: () => ReadonlySet<string>;
  readonly removedServers: () => ReadonlySet<string>;
  readonly lease: (
    server: string,
    request: LeaseRequest,
  ) => Promise<StatusResult>;
  readonly status: (server: string) => Promise<StatusResult>;
  readonly append: (record: LogRecord) => Promise<unknown>;
  /** Resolves to false when the record is certainly not on the log. */
  readonly appendUntilKnown: (
    record: LogRecord,
    isFolded: () => boolean,
  ) => Promise<boolean>;
  readonly send: (vm: string, message: PeerMessage) => void;
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
  /** Records a lease call that got no answer. */
  recordFailed(): void;
  /** Records a lease call that the server refused. */
  recordRefused(): void;
}
