/** Runs this VM's assigner role: elections and one `Assigner` per held term. */
import {randomUUID} from 'node:crypto';
import {
  Assigner,
  decideElection,
  type AssignerCommand,
  type LeaseRequest,
  type LeavingProgress,
  type LogRecord,
  type RouterState,
  type TermState,
} from '@wisteriarun/core';
import {TermEvents} from './term-events.js';
import type {FoldedRecord} from './state-replica.js';
import type {AssignerPorts, StatusResult} from './types.js';

/** Interval between two steps of the assigner. */
const STEP_INTERVAL_MS = 25;
/**
 * Shortest gap between two steps that counts as a pause of the process. After a
 * pause, live peers seem silent, so elections count their silence from its end.
 */
const MIN_PAUSE_MS = 500;
/** Delay after the append of a term record before the next attempt. */
const TERM_RETRY_MS = 500;

/** A term that this process holds, with its assigner. */
interface ActiveTerm {
  readonly term: number;
  readonly assigner: Assigner;
  readonly events: TermEvents;
}

/** Progress of a leaving batch in one zone. */
export interface ZoneProgress {
  readonly zone: string;
  readonly progress: LeavingProgress;
}

/** Last observations of a zone on the log, in this VM's monotonic time. */
interface ZoneObservation {
  term: number;
  termSeenAtMs: number;
  /** Time of the last term record by a VM of the zone itself. */
  lastRecordAtMs: number | null;
  /** Zone of the holder; null before the first term was seen. */
  holderZone: string | null;
  /** Time by which any term held by a VM of another zone had ended. */
  foreignTermEndedAtMs: number;
}

/** Runs elections and executes the commands of this process's assigners. */
export class AssignerRunner {
  private readonly activeTerms = new Map<string, ActiveTerm>();
  private readonly observations = new Map<string, ZoneObservation>();
  /** Zone of each own record whose verdict is not known yet, by record id. */
  private readonly pendingAppends = new Map<string, string>();
  /** Earliest time of the next attempt to append a term record, by zone. */
  private readonly nextTermAttemptMs = new Map<string, number>();
  private timer: NodeJS.Timeout | null = null;
  private lastStepMs: number | null = null;
  /** Monotonic time at which the latest pause of the process ended. */
  private resumedAtMs = -Infinity;

  /**
   * @param ports - Inputs and actions.
   */
  constructor(private readonly ports: AssignerPorts) {}

  /** Starts the periodic steps. */
  start(): void {
    this.timer = setInterval(() => this.step(), STEP_INTERVAL_MS);
  }

  /** Zones whose assigner this process is. */
  get zones(): string[] {
    return [...this.activeTerms.keys()];
  }

  /** Assigners of this process, one per held term. */
  *assigners(): Generator<Assigner> {
    for (const {assigner} of this.activeTerms.values()) yield assigner;
  }

  /** Progress of the leaving batches in the zones of this process. */
  *progress(): Generator<ZoneProgress> {
    for (const [zone, {assigner}] of this.activeTerms) {
      for (const progress of assigner.progress) yield {zone, progress};
    }
  }

  /**
   * Handles the verdict on a record and starts or ends terms.
   *
   * @param state - State after the record.
   * @param folded - The record, or null after the whole state was replaced.
   * @param before - State before the record.
   */
  onFolded(
    state: RouterState,
    folded: FoldedRecord | null,
    before: RouterState,
  ): void {
    if (folded) {
      this.recordZoneActivity(folded);
      this.resolveOwnAppend(folded, before);
    }
    for (const [zone, term] of state.terms) {
      this.followTerm(zone, term, baseTermOf(zone, folded));
    }
  }

  /** Stops all steps. */
  close(): void {
    if (this.timer) clearInterval(this.timer);
    this.timer = null;
    this.activeTerms.clear();
  }

  private observationOf(zone: string): ZoneObservation {
    const known = this.observations.get(zone);
    if (known) return known;
    const created = {
      term: 0,
      termSeenAtMs: this.ports.clock.monotonicMs(),
      lastRecordAtMs: null,
      holderZone: null,
      foreignTermEndedAtMs: -Infinity,
    };
    this.observations.set(zone, created);
    return created;
  }

  /** A term record by a VM of the zone itself shows that the zone is up. */
  private recordZoneActivity({verdict}: FoldedRecord): void {
    if (verdict.kind !== 'accepted' || verdict.record.kind !== 'term') return;
    const {zone, authorZone} = verdict.record;
    if (zone !== authorZone) return;
    this.observationOf(zone).lastRecordAtMs = this.ports.clock.monotonicMs();
  }

  private resolveOwnAppend(folded: FoldedRecord, before: RouterState): void {
    const {record, verdict} = folded;
    const id = (record as {id?: unknown} | null)?.id;
    const zone =
      typeof id === 'string' ? this.pendingAppends.get(id) : undefined;
    if (typeof id !== 'string' || zone === undefined) return;
    this.pendingAppends.delete(id);
    const accepted = verdict.kind !== 'rejected';
    this.activeTerms.get(zone)?.events.onOwnRecord(folded, before);
    this.activeTerms
      .get(zone)
      ?.assigner.onAppendResult({recordId: id, accepted});
  }

  private followTerm(
    zone: string,
    current: TermState,
    baseTerm: number | null,
  ): void {
    const observed = this.observationOf(zone);
    if (observed.term === current.term) return;
    const nowMs = this.ports.clock.monotonicMs();
    // A state from a snapshot or a peer may skip terms, and a VM of another
    // zone may have held one of these.
    const isConsecutive = baseTerm === observed.term;
    const isFirstTerm = baseTerm === 0;
    if (!isFirstTerm && !(isConsecutive && observed.holderZone === zone)) {
      observed.foreignTermEndedAtMs = nowMs;
    }
    observed.term = current.term;
    observed.holderZone = current.holderZone;
    observed.termSeenAtMs = nowMs;
    if (this.activeTerms.has(zone)) this.endTerm(zone, current);
    if (current.holder === this.ports.vm)
      this.startTerm(zone, current, !isFirstTerm);
  }

  private startTerm(
    zone: string,
    {term}: TermState,
    hasPredecessor: boolean,
  ): void {
    const nowMs = this.ports.clock.monotonicMs();
    const assigner = new Assigner({
      vm: this.ports.vm,
      zone,
      term,
      termAcknowledgedAtMs: nowMs,
      nowMs,
      hasPredecessor,
      foreignTermEndedAtMs: this.observationOf(zone).foreignTermEndedAtMs,
      longestDeadlineMs: this.ports.longestDeadlineMs,
    });
    const events = new TermEvents(zone, term, this.ports.emit);
    this.activeTerms.set(zone, {term, assigner, events});
    this.ports.emit({
      kind: 'term-started',
      term,
      offset: term,
      fields: {zone, holder: this.ports.vm},
    });
  }

  private endTerm(zone: string, {term, holder}: TermState): void {
    this.activeTerms.delete(zone);
    this.ports.emit({
      kind: 'term-ended',
      term,
      offset: term,
      cause: 'newer-term',
      fields: {zone, holder},
    });
  }

  private step(): void {
    const {ports} = this;
    this.detectPause(ports.clock.monotonicMs());
    const state = ports.state();
    if (!state.bundle) return;
    for (const zone of state.bundle.body.zones) this.considerElection(zone);
    for (const [zone, {assigner, events}] of this.activeTerms) {
      const commands = assigner.step({
        nowMs: ports.clock.monotonicMs(),
        wallMs: ports.clock.wallMs(),
        state,
        entries: ports.entriesOf(zone),
        knownEntries: ports.knownEntriesOf(zone),
        removedEntries: ports.removedEntries(),
        removedServers: ports.removedServers(),
        logAvailable: ports.logAvailable(),
        logConfirmedAtMs: ports.logConfirmedAtMs(),
      });
      for (const command of commands) {
        events.onCommand(command);
        this.execute(zone, assigner, command);
      }
      events.onStepEnd(assigner.progress, state.offset);
    }
  }

  private detectPause(nowMs: number): void {
    const gapMs = nowMs - (this.lastStepMs ?? nowMs);
    this.lastStepMs = nowMs;
    if (gapMs < MIN_PAUSE_MS) return;
    this.resumedAtMs = nowMs;
    this.ports.onPause(gapMs);
    this.ports.emit({kind: 'process-paused', fields: {gapMs}});
  }

  private considerElection(zone: string): void {
    const {ports} = this;
    const nowMs = ports.clock.monotonicMs();
    const observedSinceMs = ports.observedSinceMs();
    if (observedSinceMs === null) return;
    if (nowMs < (this.nextTermAttemptMs.get(zone) ?? 0)) return;
    const observed = this.observationOf(zone);
    const draft = decideElection({
      self: {vm: ports.vm, zone: ports.zone, draining: ports.draining()},
      zone,
      nowMs,
      peers: ports.electionPeers(),
      state: ports.state(),
      logAvailable: ports.logAvailable(),
      observedSinceMs: Math.max(observedSinceMs, this.resumedAtMs),
      termSeenAtMs: observed.termSeenAtMs,
      lastZoneRecordAtMs: observed.lastRecordAtMs,
    });
    if (!draft) return;
    this.nextTermAttemptMs.set(zone, nowMs + TERM_RETRY_MS);
    ports.emit({kind: 'candidate', fields: {zone}});
    void ports.append({...draft, id: randomUUID()});
  }

  private execute(
    zone: string,
    assigner: Assigner,
    command: AssignerCommand,
  ): void {
    const {ports} = this;
    switch (command.kind) {
      case 'lease':
        void this.callServer(zone, assigner, command.server, command.request);
        return;
      case 'probe':
        void this.callServer(zone, assigner, command.server, null);
        return;
      case 'append':
        this.append(zone, assigner, {...command.record, id: randomUUID()});
        return;
      case 'dispatch-table':
        ports.publishTable(command.table);
        return;
      case 'event':
        // `TermEvents.onCommand` has handled it.
        return;
      default:
        ports.send(command.to, command.message);
    }
  }

  private async callServer(
    zone: string,
    assigner: Assigner,
    server: string,
    sentLease: LeaseRequest | null,
  ): Promise<void> {
    const {ports} = this;
    const result = sentLease
      ? await ports.lease(server, sentLease)
      : await ports.callStatus(server);
    const nowMs = ports.clock.monotonicMs();
    const active = this.activeTerms.get(zone);
    if (active?.assigner === assigner) {
      active.events.onServerCall({server, sentLease, result, nowMs});
    }
    if (sentLease) this.recordLeaseCall(server, sentLease, result);
    if (result.isOk) {
      const status = result.value;
      assigner.onServerStatus({
        server,
        receivedAtMs: nowMs,
        status,
        sentLease,
      });
    } else if (result.error.kind === 'lease-refused') {
      assigner.onLeaseRefused({server, term: result.error.term});
    } else {
      assigner.onServerFailure({server, nowMs});
    }
  }

  private recordLeaseCall(
    server: string,
    request: LeaseRequest,
    result: StatusResult,
  ): void {
    const {leaseMeter} = this.ports;
    if (result.isOk) {
      leaseMeter.recordRenewed(
        server,
        request.expiresAtMs - result.value.clockMs,
      );
    } else if (result.error.kind === 'lease-refused')
      leaseMeter.recordRefused();
    else leaseMeter.recordFailed();
  }

  private append(zone: string, assigner: Assigner, record: LogRecord): void {
    const recordId = record.id;
    this.pendingAppends.set(recordId, zone);
    const isFolded = () => !this.pendingAppends.has(recordId);
    void this.ports.appendUntilKnown(record, isFolded).then(mayBeOnLog => {
      // The verdict on a record that is on the log comes through `onFolded`.
      if (mayBeOnLog || !this.pendingAppends.delete(recordId)) return;
      assigner.onAppendResult({recordId, accepted: false});
    });
  }
}

/** Term that a record replaced; null unless it started a term of the zone. */
function baseTermOf(zone: string, folded: FoldedRecord | null): number | null {
  if (folded?.verdict.kind !== 'accepted') return null;
  const {record} = folded.verdict;
  return record.kind === 'term' && record.zone === zone
    ? record.baseTerm
    : null;
}
