/** Chooses the entry VM that dispatches for a server. */
import {rendezvousScore} from './hash.js';

/** Entry VM that is live according to its heartbeats. */
export interface EntryVm {
  readonly vm: string;
  /** Weight in the rendezvous hash; VMs with 0 are not chosen. */
  readonly capacity: number;
  readonly draining: boolean;
}

/**
 * Chooses the dispatcher of a server by weighted rendezvous hashing, so that
 * the loss of a VM affects only the servers for which it dispatched.
 *
 * @param server - Server to dispatch for.
 * @param entries - Live entry VMs that may dispatch for it.
 * @returns The VM, or null when no live VM has capacity and is not draining.
 */
export function chooseDispatcher(
  server: string,
  entries: readonly EntryVm[],
): string | null {
  let best: string | null = null;
  let bestScore = -Infinity;
  for (const entry of entries) {
    if (entry.draining || entry.capacity <= 0) continue;
    const score = rendezvousScore(server, entry.vm, entry.capacity);
    if (score > bestScore || (score === bestScore && entry.vm < best!)) {
      best = entry.vm;
      bestScore = score;
    }
  }
  return best;
}
