/**
 * Fences off former assigners at the entry VMs, for servers that do not check
 * grants.
 */
import type {AssignerCommand} from './assigner-types.js';

/** Interval at which an unanswered permission is sent again. */
const FENCE_RESEND_MS = 300;

interface FenceCall {
  sentAtMs: number;
  isAcked: boolean;
}

/**
 * Sends empty permissions of the own term to entry VMs. An entry VM that has
 * answered one refuses permissions of older terms for the same server.
 */
export class EntryFencing {
  /** Calls by server, then by entry VM. */
  private readonly calls = new Map<string, Map<string, FenceCall>>();

  /**
   * Starts the fencing of a term; no entry VM has been called yet.
   *
   * @param term - Term of the assigner.
   */
  constructor(private readonly term: number) {}

  /**
   * Records that an entry VM answered a permission of this term.
   *
   * @param server - Server of the permission.
   * @param vm - Entry VM.
   */
  recordAck(server: string, vm: string): void {
    const calls = this.callsFor(server);
    calls.set(vm, {sentAtMs: calls.get(vm)?.sentAtMs ?? 0, isAcked: true});
  }

  /**
   * Tells whether every entry VM refuses permissions of older terms.
   *
   * @param server - Server id.
   * @param vms - Entry VMs that may hold a permission of an older term.
   * @returns True when all of them have answered.
   */
  isComplete(server: string, vms: readonly string[]): boolean {
    const calls = this.calls.get(server);
    return vms.every(vm => calls?.get(vm)?.isAcked);
  }

  /**
   * Calls the entry VMs that have not answered.
   *
   * @param server - Server id.
   * @param vms - Entry VMs that may hold a permission of an older term.
   * @param nowMs - Time on this VM's monotonic clock.
   * @returns Calls that are due.
   */
  *send(
    server: string,
    vms: readonly string[],
    nowMs: number,
  ): Generator<AssignerCommand> {
    const calls = this.callsFor(server);
    for (const to of vms) {
      const call = calls.get(to);
      if (call?.isAcked) continue;
      if (call && nowMs < call.sentAtMs + FENCE_RESEND_MS) continue;
      calls.set(to, {sentAtMs: nowMs, isAcked: false});
      yield {
        kind: 'permission',
        to,
        message: {
          kind: 'permission',
          server,
          term: this.term,
          // Matches no dispatcher: the fences of this term start at seq 1.
          fence: {term: this.term, seq: 0},
          expiresAtMs: 0,
          grants: [],
        },
      };
    }
  }

  private callsFor(server: string): Map<string, FenceCall> {
    const known = this.calls.get(server);
    if (known) return known;
    const created = new Map<string, FenceCall>();
    this.calls.set(server, created);
    return created;
  }
}
