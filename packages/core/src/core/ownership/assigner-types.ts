/**
 * Types of the inputs and commands of the assigner. A lease lets a server run
 * requests for the shards that it was granted. A permission lets a dispatcher
 * send to a server that does not check grants.
 */
import type {
  AssignRecord,
  EventInput,
  IsolateRecord,
  LeaseRequest,
  PeerMessage,
  RouterState,
} from '../../types/index.js';
import type {EntryVm} from './dispatcher-choice.js';

/** The control-link message of the given kind. */
export type PeerMessageOf<K extends PeerMessage['kind']> = Extract<
  PeerMessage,
  {kind: K}
>;

/** Record to append to the log, without the id that the caller adds. */
export type AppendDraft = Omit<AssignRecord, 'id'> | Omit<IsolateRecord, 'id'>;

/**
 * Action that the caller executes for the assigner, in the order yielded. With
 * `to`, it sends `message` to that entry VM.
 */
export type AssignerCommand =
  /** Lease call to a server. */
  | {
      readonly kind: 'lease';
      readonly server: string;
      readonly request: LeaseRequest;
    }
  /** Status call to a server. */
  | {readonly kind: 'probe'; readonly server: string}
  | {readonly kind: 'append'; readonly record: AppendDraft}
  /** Table to send to all entry VMs. */
  | {
      readonly kind: 'dispatch-table';
      readonly table: PeerMessageOf<'dispatch-table'>;
    }
  | {
      readonly kind: 'dispatch-stop';
      readonly to: string;
      readonly message: PeerMessageOf<'dispatch-stop'>;
    }
  | {
      readonly kind: 'shard-drain';
      readonly to: string;
      readonly message: PeerMessageOf<'shard-drain'>;
    }
  | {
      readonly kind: 'permission';
      readonly to: string;
      readonly message: PeerMessageOf<'permission'>;
    }
  /** Event for the timeline. */
  | {readonly kind: 'event'; readonly event: EventInput};

/** Identity of an assigner and the conditions under which its term started. */
export interface AssignerOptions {
  readonly vm: string;
  readonly zone: string;
  /** Term number: the offset of the term record in the log. */
  readonly term: number;
  /**
   * Time on this VM's monotonic clock at which this VM folded the term record
   * that it had appended.
   */
  readonly termAcknowledgedAtMs: number;
  /**
   * Time on the same clock from which a new assigner waits for the first answers
   * of its servers before it places shards.
   */
  readonly nowMs: number;
  /**
   * False only for the first term of a zone, when no former assigner can have
   * granted leases or permissions. True by default.
   */
  readonly hasPredecessor?: boolean;
  /**
   * Time on this VM's monotonic clock since which no VM of another zone has
   * held this zone's term; -Infinity when none ever did.
   * `termAcknowledgedAtMs` by default.
   */
  readonly foreignTermEndedAtMs?: number;
  /**
   * Longest request deadline of a service in milliseconds. It bounds how long
   * a server that does not check grants may run a request of a lost
   * dispatcher. By default the longest deadline that any service may have:
   * 10 min, long enough for uploads.
   */
  readonly longestDeadlineMs?: (service: string) => number;
}

/** Inputs of one step. */
export interface StepInput {
  /** Time on this VM's monotonic clock. */
  readonly nowMs: number;
  /** Wall time, to which the `leaveAtMs` of leaving batches refers. */
  readonly wallMs: number;
  readonly state: RouterState;
  /**
   * Live entry VMs that may dispatch for the zone's servers, by instance id:
   * those of the zone or, if it has none, those of this VM's zone.
   */
  readonly entries: readonly EntryVm[];
  /**
   * Entry VMs of the zone that may hold a permission granted by a former
   * assigner, whether or not they are live; null while they are unknown. They
   * are given by instance id (VM id and boot id of the process), or by VM id if
   * no process of the VM is known.
   */
  readonly knownEntries: readonly string[] | null;
  /**
   * Entry VMs whose processes have certainly ended: the ids of the VMs that the
   * VM list has removed, and the instance ids of processes whose VM is removed
   * or runs a later process.
   */
  readonly removedEntries: ReadonlySet<string>;
  /**
   * Ids of the VMs that the VM list has removed. A server has the same id there
   * as in the bundle.
   */
  readonly removedServers: ReadonlySet<string>;
  readonly logAvailable: boolean;
  /**
   * Start time, on this VM's monotonic clock, of the latest read that reached
   * the end of the log. This term was current then, unless the state shows a
   * later one.
   */
  readonly logConfirmedAtMs: number;
}
