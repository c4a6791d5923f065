/** Ends the permissions that former assigners gave to dispatchers. */
import {TERM_CONFIRM_MS, certainExpiryMs} from '../../../types/index.js';
import type {AssignerCommand} from '../assigner-types.js';
import {EntryFence} from '../entry-fence.js';
import type {ServerSlot} from '../server-slot.js';
import {formerAuthorityEndMs} from './stop-proofs.js';
import type {AssignerState, StepView} from './state.js';

/** Finds out when no former assigner can let a dispatcher send. */
export class FormerPermissions {
  private readonly fence: EntryFence;

  /**
   * @param state - State of the term.
   */
  constructor(private readonly state: AssignerState) {
    this.fence = new EntryFence(state.term);
  }

  /**
   * Notes that an entry VM answered a permission of this term.
   *
   * @param server - Server of the permission.
   * @param vm - Entry VM.
   */
  recordAck(server: string, vm: string): void {
    this.fence.recordAck(server, vm);
  }

  /**
   * Lets dispatchers be appointed for a server that does not check once no
   * former permission can be valid.
   *
   * @param view - Inputs of the step.
   * @param slot - Server, which is changed.
   * @returns Calls to the entry VMs, as far as the policy needs them.
   */
  *advance(view: StepView, slot: ServerSlot): Generator<AssignerCommand> {
    if (slot.server.checksGrants || slot.quietFromMs < Infinity) return;
    const isLapsePolicy = view.index.lapseServices.has(slot.server.service);
    const endedAtMs = isLapsePolicy
      ? this.lapsedAtMs(view)
      : yield* this.fencedAtMs(view, slot);
    if (endedAtMs === null) return;
    slot.quietFromMs = endedAtMs + certainExpiryMs(slot.longestDeadlineMs);
    slot.dispatch = {kind: 'waiting', untilMs: view.nowMs};
  }

  private lapsedAtMs(view: StepView): number | null {
    const endMs = formerAuthorityEndMs(this.state.options);
    return view.nowMs >= endMs ? endMs : null;
  }

  private *fencedAtMs(
    view: StepView,
    slot: ServerSlot,
  ): Generator<AssignerCommand, number | null> {
    const holders = possibleHolders(view);
    if (!holders) return null;
    yield* this.fence.send(slot.id, holders, view.nowMs);
    if (!this.fence.isComplete(slot.id, holders)) return null;
    return view.nowMs >= this.foreignAuthorityEndMs() ? view.nowMs : null;
  }

  /**
   * A VM of another zone that held the term gave permissions to entry VMs that
   * this one does not call, but needed a log read for them.
   */
  private foreignAuthorityEndMs(): number {
    const {foreignTermEndedAtMs, termAcknowledgedAtMs} = this.state.options;
    const endedAtMs = foreignTermEndedAtMs ?? termAcknowledgedAtMs;
    return endedAtMs + TERM_CONFIRM_MS + certainExpiryMs();
  }
}

/** Entry VMs that may hold a permission; null while they are not known. */
function possibleHolders(view: StepView): string[] | null {
  if (!view.knownEntries) return null;
  const all = new Set([...view.knownEntries, ...view.entries.map(e => e.vm)]);
  return [...all].filter(vm => !view.removedEntries.has(vm));
}
