/** Ensures that no dispatch permission of a former assigner is valid. */
import {TERM_CONFIRM_MS, certainExpiryMs} from '../../../types/index.js';
import type {AssignerCommand} from '../assigner-types.js';
import {EntryFencing} from '../entry-fence.js';
import type {TrackedServer} from '../tracked-server.js';
import {formerAuthorityEndMs} from './stop-proofs.js';
import type {AssignerState, StepView} from './state.js';

/**
 * Determines when no dispatcher can hold a valid permission of a former
 * assigner, for servers that do not check grants.
 */
export class FormerPermissions {
  private readonly entryFencing: EntryFencing;

  /**
   * @param state - State of the term.
   */
  constructor(private readonly state: AssignerState) {
    this.entryFencing = new EntryFencing(state.term);
  }

  /**
   * Records that an entry VM answered a permission of this term. From then on
   * it refuses permissions of older terms for the server.
   *
   * @param server - Server of the permission.
   * @param vm - Entry VM.
   */
  recordAck(server: string, vm: string): void {
    this.entryFencing.recordAck(server, vm);
  }

  /**
   * Allows a dispatcher to be appointed for a server that does not check
   * grants, once no permission of a former assigner can be valid. Does nothing
   * once `quiescentFromMs` of the server is known, that is, not Infinity.
   *
   * @param view - Inputs of the step.
   * @param tracked - State of the server, which is changed.
   * @returns Calls that fence the entry VMs. With adoption policy `lapse` of
   * the service there are none, because the former permissions expire on their
   * own.
   */
  *advance(view: StepView, tracked: TrackedServer): Generator<AssignerCommand> {
    if (tracked.server.checksGrants || tracked.quiescentFromMs < Infinity)
      return;
    const isLapsePolicy = view.index.lapseServices.has(tracked.server.service);
    const endedAtMs = isLapsePolicy
      ? this.lapsedAtMs(view)
      : yield* this.fencedAtMs(view, tracked);
    if (endedAtMs === null) return;
    // A dispatcher may be appointed from now on. Requests sent under a former
    // permission may still run until their deadline, so the shards of the server
    // are not moved before that.
    tracked.quiescentFromMs =
      endedAtMs + certainExpiryMs(tracked.longestDeadlineMs);
    tracked.dispatch = {kind: 'waiting', untilMs: view.nowMs};
  }

  /**
   * Returns the time at which all permissions of former assigners have expired,
   * for adoption policy `lapse`; null before that time.
   */
  private lapsedAtMs(view: StepView): number | null {
    const endMs = formerAuthorityEndMs(this.state.options);
    return view.nowMs >= endMs ? endMs : null;
  }

  /**
   * Fences the entry VMs. Returns the time of this step once none of them can
   * use a permission of a former assigner, else null.
   */
  private *fencedAtMs(
    view: StepView,
    tracked: TrackedServer,
  ): Generator<AssignerCommand, number | null> {
    const holders = possibleHolders(view);
    if (!holders) return null;
    yield* this.entryFencing.send(tracked.id, holders, view.nowMs);
    if (!this.entryFencing.isComplete(tracked.id, holders)) return null;
    return view.nowMs >= this.foreignAuthorityEndMs() ? view.nowMs : null;
  }

  /**
   * Returns the time at which all permissions have expired that VMs of other
   * zones granted while they held an earlier term of this zone. The entry VMs
   * that hold them are not fenced by this assigner. Each permission was granted
   * within `TERM_CONFIRM_MS` of a log read that did not show a later term.
   */
  private foreignAuthorityEndMs(): number {
    const {foreignTermEndedAtMs, termAcknowledgedAtMs} = this.state.options;
    const endedAtMs = foreignTermEndedAtMs ?? termAcknowledgedAtMs;
    return endedAtMs + TERM_CONFIRM_MS + certainExpiryMs();
  }
}

/**
 * Returns the entry VMs that may hold a permission of a former assigner; null
 * while they are unknown.
 */
function possibleHolders(view: StepView): string[] | null {
  if (!view.knownEntries) return null;
  const all = new Set([...view.knownEntries, ...view.entries.map(e => e.vm)]);
  return [...all].filter(vm => !view.removedEntries.has(vm));
}
