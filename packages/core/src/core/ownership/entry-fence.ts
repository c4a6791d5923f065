/** Fences former assigners off at entry VMs, for servers that do not check. */
import type {AssignerCommand} from './assigner-types.js';

/** Time after which an unanswered call is sent again. */
const FENCE_RESEND_MS = 300;

interface FenceCall {
  sentAtMs: number;
  acked: boolean;
}

/**
 * Sends permissions without grants under the own term. An entry VM that has
 * answered one refuses the permissions of older terms for the server.
 */
export class EntryFence {
  /** Calls by server, then by entry VM. */
  private readonly calls = new Map<string, Map<string, FenceCall>>();

  /**
   * Builds the fence of a term that has not called anybody yet.
   *
   * @param term - Term of the assigner.
   */
  constructor(private readonly term: number) {}

  /**
   * Notes that an entry VM answered a permission of this term.
   *
   * @param server - Server of the permission.
   * @param vm - Entry VM.
   */
  recordAck(server: string, vm: string): void {
    const calls = this.callsFor(server);
    calls.set(vm, {sentAtMs: calls.get(vm)?.sentAtMs ?? 0, acked: true});
  }

  /**
   * Tells whether permissions of older terms are refused everywhere.
   *
   * @param server - Server id.
   * @param vms - Entry VMs that may hold a permission.
   * @returns True when all of them have answered.
   */
  isComplete(server: string, vms: readonly string[]): boolean {
    const calls = this.calls.get(server);
    return vms.every(vm => calls?.get(vm)?.acked);
  }

  /**
   * Calls the entry VMs that have not answered.
   *
   * @param server - Server id.
   * @param vms - Entry VMs that may hold a permission.
   * @param nowMs - Own monotonic time.
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
      if (call?.acked) continue;
      if (call && nowMs < call.sentAtMs + FENCE_RESEND_MS) continue;
      calls.set(to, {sentAtMs: nowMs, acked: false});
      yield {
        kind: 'permission',
        to,
        message: {
          kind: 'permission',
          server,
          term: this.term,
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
