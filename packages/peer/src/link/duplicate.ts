/** Choice between two links to one VM; both ends reach the same answer. */
import type {Link} from './link.js';

/**
 * Decides which of two usable links to one VM stays.
 *
 * @param ownVm - The own VM.
 * @param current - Link in use.
 * @param next - Link that has just become usable.
 * @returns The link that stays.
 */
export function chooseLink(ownVm: string, current: Link, next: Link): Link {
  // After a restart of the peer the current link is dead on its side.
  if (current.peerHello?.bootId !== next.peerHello?.bootId) return next;
  if (current.role === next.role) {
    return next.attempt > current.attempt ? next : current;
  }
  const peerVm = next.peerVm ?? '';
  const preferred = ownVm < peerVm ? 'connector' : 'acceptor';
  return next.role === preferred ? next : current;
}
