/** Inputs and commands of the assigner. */
import type {
  AssignRecord,
  EventInput,
  IsolateRecord,
  LeaseRequest,
  PeerMessage,
  RouterState,
} from '../../types/index.js';
import type {EntryVm} from './dispatcher-choice.js';

/** Message on the control link of one kind. */
export type PeerMessageOf<K extends PeerMessage['kind']> = Extract<
  PeerMessage,
  {kind: K}
>;

/** A record to append; the caller adds an id. */
export type AppendDraft = Omit<AssignRecord, 'id'> | Omit<IsolateRecord, 'id'>;

/** What the caller does for the assigner, in the order of the commands. */
export type AssignerCommand =
  | {
      readonly kind: 'lease';
      readonly server: string;
      readonly request: LeaseRequest;
    }
  | {readonly kind: 'probe'; readonly server: string}
  | {readonly kind: 'append'; readonly record: AppendDraft}
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
  | {readonly kind: 'event'; readonly event: EventInput};

/** Identity and start of an assigner. */
export interface AssignerOptions {
  readonly vm: string;
  readonly zone: string;
  /** Offset of the term record. */
  readonly term: number;
  /** Own monotonic time at which the term's append was acknowledged. */
  readonly termAcknowledgedAtMs: number;
  readonly nowMs: number;
  /**
   * False only for the first term of a zone, when no former assigner can have
   * granted anything. True by default.
   */
  readonly hasPredecessor?: boolean;
  /**
   * Own monotonic time from which no VM of another zone held the zone's term;
   * -Infinity when none ever did. `termAcknowledgedAtMs` by default.
   */
  readonly foreignTermEndedAtMs?: number;
  /**
   * Longest request deadline of a service in milliseconds. It bounds how long
   * a server that does not check grants may run a request of a lost
   * dispatcher. The upload limit by default.
   */
  readonly longestDeadlineMs?: (service: string) => number;
}

/** Inputs of one step. */
export interface StepInput {
  readonly nowMs: number;
  readonly wallMs: number;
  readonly state: RouterState;
  /** Live entry VMs of the assigner's zone, this one included. */
  readonly entries: readonly EntryVm[];
  /**
   * Entry VMs of the zone that may hold a permission of a former assigner,
   * live or silent; null while they are not known.
   */
  readonly knownEntries: readonly string[] | null;
  /** Entry VMs that the VM list has removed. */
  readonly removedEntries: ReadonlySet<string>;
  /** Servers that the VM list has removed. */
  readonly removedServers: ReadonlySet<string>;
  readonly logAvailable: boolean;
  /** Own time of the start of the last log read that showed this term. */
  readonly termConfirmedAtMs: number;
}
