/** Harness around one assigner; its servers and entry VMs answer at once. */
import {expect} from 'vitest';
import {
  Assigner,
  type AssignerCommand,
  type AssignerOptions,
  type Bundle,
  type EntryVm,
  type Grant,
  type LeaseRequest,
  type ServerStatus,
} from '@wisteriarun/core';
import {TestLog, makeBundle, type BundleOptions} from './fold.js';

/** The assigner command of the given kind. */
export type CommandOf<K extends AssignerCommand['kind']> = Extract<
  AssignerCommand,
  {kind: K}
>;

/** Live entry VM; all have the same weight when dispatchers are chosen. */
export const entry = (vm: string, draining = false): EntryVm => ({
  vm,
  capacity: 1,
  draining,
});

/** How far the clocks of the entry VMs are ahead of the assigner's clock. */
export const ENTRY_CLOCK_AHEAD_MS = 5_000;

/** Steps an assigner and answers its commands, unless a test prevents it. */
export class AssignerHarness {
  readonly log = new TestLog();
  readonly assigner: Assigner;
  /** Servers that answer no calls. */
  readonly silentServers = new Set<string>();
  /** Incarnation of each server, '1' by default; another means a restart. */
  readonly bootIds = new Map<string, string>();
  /** Grants that each server holds, and the call that carried them. */
  private readonly heldGrants = new Map<
    string,
    {bootId: string; seq: number; grants: readonly Grant[]}
  >();
  /** Status fields with which servers answer instead of the defaults. */
  readonly statuses = new Map<string, Partial<ServerStatus>>();
  /** Whether servers report no `grantsSeq`. */
  omitsGrantsSeq = false;
  readonly allCommands: AssignerCommand[] = [];
  nowMs = 0;
  logAvailable = true;
  /** Whether each step comes after a log read that shows the term. */
  confirmsTerm = true;
  /** Time of the latest log read that showed the term. */
  confirmedAtMs = 0;
  /**
   * Whether the harness appends records to the log and reports the results. If
   * false, it does neither, so an append has no result.
   */
  acceptsAppends = true;
  entries: EntryVm[] = [entry('a'), entry('b')];
  /**
   * Entry VMs that may hold a permission of a former assigner; null while they
   * are unknown.
   */
  knownEntryVms: string[] | null = ['a', 'b'];
  /** Entry VMs that the VM list has removed. */
  removedEntryVms = new Set<string>();
  /** Entry VMs that answer permissions. */
  answeringVms = new Set(['a', 'b']);

  constructor(
    bundle: Bundle,
    /** False only for the first term of a zone. */
    hasPredecessor = false,
    options: Partial<AssignerOptions> = {},
    authorZone = 'z1',
  ) {
    this.log.append({kind: 'bundle', body: bundle});
    const term = this.log.append({
      kind: 'term',
      author: 'a',
      zone: 'z1',
      authorZone,
      baseTerm: 0,
    });
    this.assigner = new Assigner({
      vm: 'a',
      zone: 'z1',
      term,
      termAcknowledgedAtMs: 0,
      nowMs: 0,
      hasPredecessor,
      foreignTermEndedAtMs: -Infinity,
      longestDeadlineMs: () => 10_000,
      ...options,
    });
  }

  /** Steps the assigner every 10 ms; returns the commands it yielded. */
  run(durationMs: number): AssignerCommand[] {
    const from = this.allCommands.length;
    for (let end = this.nowMs + durationMs; this.nowMs < end;) {
      this.nowMs += 10;
      if (this.confirmsTerm) this.confirmedAtMs = this.nowMs;
      const commands = this.assigner.step({
        nowMs: this.nowMs,
        wallMs: this.nowMs,
        state: this.log.latest,
        entries: this.entries,
        knownEntries: this.knownEntryVms,
        removedEntries: this.removedEntryVms,
        removedServers: new Set(),
        logAvailable: this.logAvailable,
        logConfirmedAtMs: this.confirmedAtMs,
      });
      for (const command of commands) {
        this.allCommands.push(command);
        this.answer(command);
      }
    }
    return this.allCommands.slice(from);
  }

  /** Lets an entry VM answer a permission now. */
  acknowledge({to: vm, message}: CommandOf<'permission'>): void {
    const {server, term} = message;
    const clockMs = this.nowMs + ENTRY_CLOCK_AHEAD_MS;
    const kind = 'permission-ack';
    const receivedAtMs = this.nowMs;
    // `as const` makes `busy` read-only, so the call passes a new array.
    const msg = {kind, server, term, clockMs, busy: []} as const;
    this.assigner.onPermissionAck({vm, receivedAtMs, msg: {...msg, busy: []}});
  }

  /** Grants that a server holds after the calls so far. */
  grantsOf(server: string): readonly Grant[] {
    return this.heldGrants.get(server)?.grants ?? [];
  }

  /**
   * Stores the grants of a lease as a server does and sets `grantsSeq` of the
   * status. Fails the test if a call without grants refers to grants that the
   * server does not hold.
   */
  private applyLease(
    server: string,
    status: ServerStatus,
    lease: LeaseRequest | null,
  ): void {
    const {bootId} = status;
    const held = this.heldGrants.get(server);
    if (lease && lease.bootId !== bootId) {
      // The call was for an earlier incarnation, so its grants are not stored.
      // The assigner does not take the answer as an acknowledgement.
    } else if (lease?.grants) {
      const {seq, grants} = lease;
      this.heldGrants.set(server, {bootId, seq, grants});
    } else if (lease) {
      expect(held).toMatchObject({bootId, seq: lease.grantsSeq});
    }
    const stored = this.heldGrants.get(server);
    if (stored?.bootId === bootId && !this.omitsGrantsSeq)
      status.grantsSeq = stored.seq;
  }

  private answer(command: AssignerCommand): void {
    if (command.kind === 'append' && this.acceptsAppends) {
      const offset = this.log.append(command.record);
      const accepted = this.log.accepted[offset - 1]!;
      this.assigner.onAppendResult({recordId: 'r', accepted});
    }
    if (command.kind === 'permission' && this.answeringVms.has(command.to)) {
      this.acknowledge(command);
    }
    if (command.kind !== 'lease' && command.kind !== 'probe') return;
    const {server} = command;
    if (this.silentServers.has(server)) {
      this.assigner.onServerFailure({server, nowMs: this.nowMs});
      return;
    }
    const lease = command.kind === 'lease' ? command.request : null;
    const status: ServerStatus = {
      bootId: this.bootIds.get(server) ?? '1',
      clockMs: this.nowMs,
      term: lease?.term ?? 0,
      fence: lease?.fence ?? null,
      dispatcher: lease?.dispatcher ?? null,
      grantsSeq: null,
      busy: [],
      inFlight: 0,
      load: 0,
      draining: false,
      ...this.statuses.get(server),
    };
    this.applyLease(server, status, lease);
    const receivedAtMs = this.nowMs;
    const sentLease = lease;
    this.assigner.onServerStatus({server, receivedAtMs, status, sentLease});
  }
}

/** Selects the commands of one kind. */
export function pick<K extends AssignerCommand['kind']>(
  commands: readonly AssignerCommand[],
  kind: K,
): CommandOf<K>[] {
  return commands.filter((c): c is CommandOf<K> => c.kind === kind);
}

/** Bundle, by default with the servers s1 in batch b1 and s2 in batch b2. */
export const testBundle = (options: Partial<BundleOptions> = {}) =>
  makeBundle({servers: [{id: 's1', batch: 'b1'}, {id: 's2'}], ...options});

/** Dispatcher of a server in the latest published table. */
export const dispatcherOf = (harness: AssignerHarness, server: string) =>
  pick(harness.allCommands, 'dispatch-table')
    .at(-1)!
    .table.rows.find(r => r.server === server)?.dispatcher;
