/** Calls the servers and renews leases and permissions. */
import {
  LEASE_RENEW_INTERVAL_MS,
  LEASE_TTL_MS,
  TERM_CONFIRM_MS,
  type Fence,
  type LeaseRequest,
} from '../../../types/index.js';
import type {AssignerCommand} from '../assigner-types.js';
import {dispatcherOf, type GrantList, type ServerSlot} from '../server-slot.js';
import type {ServerHealth} from './server-health.js';
import {
  permissionHolderKey,
  type AssignerState,
  type StepView,
} from './state.js';

/** Interval between lease calls while a server finishes a shard's requests. */
const DRAIN_POLL_MS = 50;
/** Time after which an unanswered permission is sent again. */
const PERMISSION_RESEND_MS = LEASE_RENEW_INTERVAL_MS;

/** Renews what this term granted. */
export class Renewals {
  private withheldShards = '';

  /**
   * @param state - State of the term.
   * @param servers - Condition of the servers.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly servers: ServerHealth,
  ) {}

  /**
   * Calls all servers and dispatchers that are due.
   *
   * @param view - Inputs of the step.
   * @returns Lease calls, probes and permissions.
   */
  *renew(view: StepView): Generator<AssignerCommand> {
    this.withheldShards = this.state.moves.withheldKey();
    for (const slot of this.state.slots.values()) {
      if (!this.servers.isPresent(view, slot.id)) continue;
      if (slot.server.checksGrants) yield* this.renewLease(view, slot);
      else yield* this.renewPermission(view, slot);
    }
  }

  private *renewLease(
    view: StepView,
    slot: ServerSlot,
  ): Generator<AssignerCommand> {
    if (slot.outstanding) return;
    const dispatcher = dispatcherOf(slot);
    const {reading} = this.state.leases.get(slot.id);
    if (
      !reading ||
      !dispatcher ||
      slot.needsProbe ||
      !this.mayGrant(view, slot)
    ) {
      if (isCallDue(view, slot) || slot.needsProbe) yield probe(view, slot);
      return;
    }
    const grants = this.grants(view, slot);
    const signature = signatureOf(dispatcher, grants.signature);
    if (!isCallDue(view, slot) && !this.isUrgent(view, slot, signature)) return;
    slot.outstanding = true;
    slot.lastCallAtMs = view.nowMs;
    slot.sentSignature = signature;
    slot.seq++;
    const {bootId} = reading;
    const holdsGrants = this.hasGrants(slot, bootId, grants.signature);
    if (!holdsGrants) {
      const {signature} = grants;
      slot.sentGrants = {seq: slot.seq, bootId, signature};
    }
    const request: LeaseRequest = {
      zone: this.state.zone,
      term: this.state.term,
      fence: dispatcher.fence,
      dispatcher: dispatcher.vm,
      expiresAtMs: this.state.leases.nextExpiryMs(slot.id)!,
      grants: holdsGrants ? null : [...grants.list],
      grantsSeq: holdsGrants ? slot.sentGrants!.seq : null,
      bootId,
      seq: slot.seq,
    };
    yield {kind: 'lease', server: slot.id, request};
  }

  /**
   * Whether the server certainly holds exactly these grants: the last call with
   * grants carried them, and the latest status names that call.
   */
  private hasGrants(
    slot: ServerSlot,
    bootId: string,
    signature: string,
  ): boolean {
    const {sentGrants, status} = slot;
    return (
      sentGrants !== null &&
      sentGrants.signature === signature &&
      sentGrants.bootId === bootId &&
      status?.bootId === bootId &&
      status.term === this.state.term &&
      status.grantsSeq === sentGrants.seq
    );
  }

  private isUrgent(
    view: StepView,
    slot: ServerSlot,
    signature: string,
  ): boolean {
    const entry = this.state.leases.get(slot.id);
    const clockMs = entry.reading?.clockMs ?? 0;
    const leftMs = (entry.lastExpirySentMs ?? 0) - clockMs;
    return (
      entry.consecutiveFailures === 0 &&
      (signature !== slot.sentSignature ||
        leftMs < LEASE_TTL_MS / 2 ||
        this.isDrainPollDue(view, slot))
    );
  }

  private isDrainPollDue(view: StepView, slot: ServerSlot): boolean {
    return (
      view.nowMs >= slot.lastCallAtMs + DRAIN_POLL_MS &&
      this.state.moves
        .list()
        .some(m => m.from === slot.id && m.stage === 'server')
    );
  }

  /** Probes a server that does not check and renews its permission. */
  private *renewPermission(
    view: StepView,
    slot: ServerSlot,
  ): Generator<AssignerCommand> {
    if (!slot.outstanding && isCallDue(view, slot)) yield probe(view, slot);
    const dispatcher = dispatcherOf(slot);
    if (!dispatcher) return;
    const {permissions, term} = this.state;
    const holder = permissionHolderKey(dispatcher.vm, slot.id);
    const hasReading = permissions.get(holder).reading !== null;
    const isAllowed = hasReading && this.mayGrant(view, slot);
    const grantList = isAllowed ? this.grants(view, slot) : null;
    const signature = signatureOf(dispatcher, grantList?.signature ?? '');
    const isResendDue =
      view.nowMs >= slot.permissionSentAtMs + PERMISSION_RESEND_MS;
    if (signature === slot.sentSignature && !isResendDue) return;
    slot.sentSignature = signature;
    slot.permissionSentAtMs = view.nowMs;
    // Without a reading or authority the call only reads the clock.
    const expiresAtMs = isAllowed ? permissions.nextExpiryMs(holder)! : 0;
    const {fence} = dispatcher;
    const grants = [...(grantList?.list ?? [])];
    const content = {server: slot.id, term, fence, expiresAtMs, grants};
    const message = {kind: 'permission' as const, ...content};
    yield {kind: 'permission', to: dispatcher.vm, message};
  }

  /** Whether the term's authority suffices for a grant to the server now. */
  private mayGrant(view: StepView, slot: ServerSlot): boolean {
    const {termConfirmedAtMs, nowMs} = view;
    const {checksGrants, service} = slot.server;
    const holderZone = view.state.terms.get(this.state.zone)?.holderZone;
    const limited =
      view.index.lapseServices.has(service) ||
      // The next assigner does not call the entry VMs of other zones.
      (!checksGrants && holderZone !== this.state.zone);
    if (limited && nowMs - termConfirmedAtMs > TERM_CONFIRM_MS) return false;
    // A restarted server has forgotten a newer term that may have moved its
    // shards, so this term must be confirmed after the restart was seen.
    return (
      slot.unseenTermSinceMs === null ||
      !checksGrants ||
      termConfirmedAtMs >= slot.unseenTermSinceMs
    );
  }

  /** Grants of a server, built only when the state or the moves changed. */
  private grants(view: StepView, slot: ServerSlot): GrantList {
    const {index} = view;
    const {withheldShards: withheldShards} = this;
    const known = slot.grants;
    if (known?.index === index && known.withheldShards === withheldShards)
      return known;
    const {moves} = this.state;
    const list = index.grantsOf(slot.id, id => moves.isWithheld(id));
    const signature = JSON.stringify(list);
    slot.grants = {index, withheldShards: withheldShards, list, signature};
    return slot.grants;
  }
}

function signatureOf(
  {vm, fence}: {readonly vm: string; readonly fence: Fence},
  grants: string,
): string {
  return `${vm} ${fence.term}.${fence.seq} ${grants}`;
}

function isCallDue(view: StepView, slot: ServerSlot): boolean {
  return view.nowMs >= slot.lastCallAtMs + LEASE_RENEW_INTERVAL_MS;
}

function probe(view: StepView, slot: ServerSlot): AssignerCommand {
  slot.outstanding = true;
  slot.lastCallAtMs = view.nowMs;
  return {kind: 'probe', server: slot.id};
}
