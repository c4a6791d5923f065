/** Calls the servers and renews their leases and dispatch permissions. */
import {
  LEASE_RENEW_INTERVAL_MS,
  LEASE_TTL_MS,
  TERM_CONFIRM_MS,
  type Fence,
  type LeaseRequest,
} from '../../../types/index.js';
import type {AssignerCommand} from '../assigner-types.js';
import {
  dispatcherOf,
  type GrantList,
  type TrackedServer,
} from '../tracked-server.js';
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
  /** `MoveTable.withheldKey` of this step. */
  private withheldShardsKey = '';

  /**
   * @param state - State of the term.
   * @param serverHealth - Health checks of the servers.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly serverHealth: ServerHealth,
  ) {}

  /**
   * Yields the calls to servers and dispatchers that are due.
   *
   * @param view - Inputs of the step.
   * @returns Lease calls, status calls (probes) and permissions.
   */
  *renew(view: StepView): Generator<AssignerCommand> {
    this.withheldShardsKey = this.state.moves.withheldKey();
    for (const tracked of this.state.trackedServers.values()) {
      if (!this.serverHealth.isPresent(view, tracked.id)) continue;
      if (tracked.server.checksGrants) yield* this.renewLease(view, tracked);
      else yield* this.renewPermission(view, tracked);
    }
  }

  private *renewLease(
    view: StepView,
    tracked: TrackedServer,
  ): Generator<AssignerCommand> {
    if (tracked.isCallOutstanding) return;
    const dispatcher = dispatcherOf(tracked);
    const {reading} = this.state.leases.get(tracked.id);
    if (
      !reading ||
      !dispatcher ||
      tracked.needsProbe ||
      !this.mayGrant(view, tracked)
    ) {
      if (isCallDue(view, tracked) || tracked.needsProbe)
        yield probe(view, tracked);
      return;
    }
    const grantList = this.grants(view, tracked);
    const content = contentOf(dispatcher, grantList.content);
    if (!isCallDue(view, tracked) && !this.isUrgent(view, tracked, content))
      return;
    tracked.isCallOutstanding = true;
    tracked.lastCallAtMs = view.nowMs;
    tracked.sentContent = content;
    tracked.seq++;
    const {bootId} = reading;
    const holdsGrants = this.hasGrants(tracked, bootId, grantList.content);
    if (!holdsGrants) {
      const {content} = grantList;
      tracked.sentGrants = {seq: tracked.seq, bootId, content};
    }
    const request: LeaseRequest = {
      zone: this.state.zone,
      term: this.state.term,
      fence: dispatcher.fence,
      dispatcher: dispatcher.vm,
      expiresAtMs: this.state.leases.issueExpiryMs(tracked.id)!,
      grants: holdsGrants ? null : [...grantList.list],
      grantsSeq: holdsGrants ? tracked.sentGrants!.seq : null,
      bootId,
      seq: tracked.seq,
    };
    yield {kind: 'lease', server: tracked.id, request};
  }

  /**
   * Whether the server certainly holds exactly these grants: the last call that
   * carried grants carried these, and the latest status reports that call.
   */
  private hasGrants(
    tracked: TrackedServer,
    bootId: string,
    content: string,
  ): boolean {
    const {sentGrants, status} = tracked;
    return (
      sentGrants !== null &&
      sentGrants.content === content &&
      sentGrants.bootId === bootId &&
      status?.bootId === bootId &&
      status.term === this.state.term &&
      status.grantsSeq === sentGrants.seq
    );
  }

  /**
   * Whether to call before the regular renewal interval has passed: the content
   * changed, less than half of the lease is left, or a drain must be polled. A
   * server that failed to answer is called at the regular interval only.
   */
  private isUrgent(
    view: StepView,
    tracked: TrackedServer,
    content: string,
  ): boolean {
    const entry = this.state.leases.get(tracked.id);
    const clockMs = entry.reading?.clockMs ?? 0;
    const leftMs = (entry.lastExpirySentMs ?? 0) - clockMs;
    return (
      entry.consecutiveFailures === 0 &&
      (content !== tracked.sentContent ||
        leftMs < LEASE_TTL_MS / 2 ||
        this.isDrainPollDue(view, tracked))
    );
  }

  /** Whether a shard drains at the server and the poll interval has passed. */
  private isDrainPollDue(view: StepView, tracked: TrackedServer): boolean {
    return (
      view.nowMs >= tracked.lastCallAtMs + DRAIN_POLL_MS &&
      this.state.moves
        .list()
        .some(m => m.from === tracked.id && m.stage === 'server')
    );
  }

  /**
   * Probes a server that does not check grants, and renews the permission of
   * its dispatcher.
   */
  private *renewPermission(
    view: StepView,
    tracked: TrackedServer,
  ): Generator<AssignerCommand> {
    if (!tracked.isCallOutstanding && isCallDue(view, tracked))
      yield probe(view, tracked);
    const dispatcher = dispatcherOf(tracked);
    if (!dispatcher) return;
    const {permissions, term} = this.state;
    const holder = permissionHolderKey(dispatcher.vm, tracked.id);
    const hasReading = permissions.get(holder).reading !== null;
    const isAllowed = hasReading && this.mayGrant(view, tracked);
    const grantList = isAllowed ? this.grants(view, tracked) : null;
    const content = contentOf(dispatcher, grantList?.content ?? '');
    const isResendDue =
      view.nowMs >= tracked.permissionSentAtMs + PERMISSION_RESEND_MS;
    if (content === tracked.sentContent && !isResendDue) return;
    tracked.sentContent = content;
    tracked.permissionSentAtMs = view.nowMs;
    // Without a clock reading or the authority to grant, the permission is sent
    // without grants and already expired, only to read the dispatcher's clock.
    const expiresAtMs = isAllowed ? permissions.issueExpiryMs(holder)! : 0;
    const {fence} = dispatcher;
    const grants = [...(grantList?.list ?? [])];
    const fields = {server: tracked.id, term, fence, expiresAtMs, grants};
    const message = {kind: 'permission' as const, ...fields};
    yield {kind: 'permission', to: dispatcher.vm, message};
  }

  /** Whether this term may grant to the server now. */
  private mayGrant(view: StepView, tracked: TrackedServer): boolean {
    const {logConfirmedAtMs, nowMs} = view;
    const {checksGrants, service} = tracked.server;
    const holderZone = view.state.terms.get(this.state.zone)?.holderZone;
    const needsConfirmedTerm =
      view.index.lapseServices.has(service) ||
      // This VM is in another zone. The next assigner does not fence the entry
      // VMs of that zone but waits until their permissions have expired, so
      // these must depend on a recent log read.
      (!checksGrants && holderZone !== this.state.zone);
    if (needsConfirmedTerm && nowMs - logConfirmedAtMs > TERM_CONFIRM_MS)
      return false;
    // A restarted server has forgotten every term. A newer one may have moved
    // its shards, so this term must be confirmed after the restart was seen.
    return (
      tracked.noTermSinceMs === null ||
      !checksGrants ||
      logConfirmedAtMs >= tracked.noTermSinceMs
    );
  }

  /**
   * Returns the grants of a server. The list is cached until the folded state
   * or the withheld shards change.
   */
  private grants(view: StepView, tracked: TrackedServer): GrantList {
    const {index} = view;
    const {withheldShardsKey} = this;
    const known = tracked.grants;
    if (known?.index === index && known.withheldShardsKey === withheldShardsKey)
      return known;
    const {moves} = this.state;
    const list = index.grantsOf(tracked.id, id => moves.isWithheld(id));
    const content = JSON.stringify(list);
    tracked.grants = {index, withheldShardsKey, list, content};
    return tracked.grants;
  }
}

/** Text that differs whenever the content of a lease or permission differs. */
function contentOf(
  {vm, fence}: {readonly vm: string; readonly fence: Fence},
  grantsJson: string,
): string {
  return `${vm} ${fence.term}.${fence.seq} ${grantsJson}`;
}

function isCallDue(view: StepView, tracked: TrackedServer): boolean {
  return view.nowMs >= tracked.lastCallAtMs + LEASE_RENEW_INTERVAL_MS;
}

function probe(view: StepView, tracked: TrackedServer): AssignerCommand {
  tracked.isCallOutstanding = true;
  tracked.lastCallAtMs = view.nowMs;
  return {kind: 'probe', server: tracked.id};
}
