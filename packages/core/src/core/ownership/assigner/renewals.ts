/** Calls the servers and renews their leases and dispatch permissions. */
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

/** Interval between lease calls to a server while one of its shards drains. */
const DRAIN_POLL_MS = 50;
/** Interval at which a permission is sent again. */
const PERMISSION_RESEND_MS = LEASE_RENEW_INTERVAL_MS;

/** Renews the leases and permissions that this term granted. */
export class Renewals {
  /** Shards left out of leases in this step, as `MoveTable.withheldKey`. */
  private withheld = '';

  /**
   * @param state - State of the term.
   * @param servers - Health checks of the servers.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly servers: ServerHealth,
  ) {}

  /**
   * Yields the calls to servers and dispatchers that are due.
   *
   * @param view - Inputs of the step.
   * @returns Lease calls, status calls (probes) and permissions.
   */
  *renew(view: StepView): Generator<AssignerCommand> {
    this.withheld = this.state.moves.withheldKey();
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
      expiresAtMs: this.state.leases.issueExpiryMs(slot.id)!,
      grants: holdsGrants ? null : [...grants.list],
      grantsSeq: holdsGrants ? slot.sentGrants!.seq : null,
      bootId,
      seq: slot.seq,
    };
    yield {kind: 'lease', server: slot.id, request};
  }

  /**
   * Whether the server certainly holds exactly these grants: the last call that
   * carried grants carried these, and the latest status reports that call.
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

  /** Whether to call before the regular renewal interval has passed. */
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

  /** Whether a shard drains at the server and the poll interval has passed. */
  private isDrainPollDue(view: StepView, slot: ServerSlot): boolean {
    return (
      view.nowMs >= slot.lastCallAtMs + DRAIN_POLL_MS &&
      this.state.moves
        .list()
        .some(m => m.from === slot.id && m.stage === 'server')
    );
  }

  /**
   * Probes a server that does not check grants, and renews the permission of
   * its dispatcher.
   */
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
    // Without a clock reading or the authority to grant, the permission is sent
    // without grants and already expired, only to read the dispatcher's clock.
    const expiresAtMs = isAllowed ? permissions.issueExpiryMs(holder)! : 0;
    const {fence} = dispatcher;
    const grants = [...(grantList?.list ?? [])];
    const content = {server: slot.id, term, fence, expiresAtMs, grants};
    const message = {kind: 'permission' as const, ...content};
    yield {kind: 'permission', to: dispatcher.vm, message};
  }

  /** Whether this term may grant to the server now. */
  private mayGrant(view: StepView, slot: ServerSlot): boolean {
    const {logConfirmedAtMs, nowMs} = view;
    const {checksGrants, service} = slot.server;
    const holderZone = view.state.terms.get(this.state.zone)?.holderZone;
    const limited =
      view.index.lapseServices.has(service) ||
      // The holder is in another zone. The next assigner does not fence the
      // entry VMs of that zone but waits until their permissions have expired,
      // so these must depend on a recent log read.
      (!checksGrants && holderZone !== this.state.zone);
    if (limited && nowMs - logConfirmedAtMs > TERM_CONFIRM_MS) return false;
    // A restarted server has forgotten every term. A newer one may have moved
    // its shards, so this term must be confirmed after the restart was seen.
    return (
      slot.noTermSinceMs === null ||
      !checksGrants ||
      logConfirmedAtMs >= slot.noTermSinceMs
    );
  }

  /**
   * Returns the grants of a server. The list is cached until the folded state
   * or the withheld shards change.
   */
  private grants(view: StepView, slot: ServerSlot): GrantList {
    const {index} = view;
    const {withheld} = this;
    const known = slot.grants;
    if (known?.index === index && known.withheld === withheld) return known;
    const {moves} = this.state;
    const list = index.grantsOf(slot.id, id => moves.isWithheld(id));
    const signature = JSON.stringify(list);
    slot.grants = {index, withheld, list, signature};
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
