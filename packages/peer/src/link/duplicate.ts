/** Choice between two links to one VM; both ends reach the same answer. */
import type {Link} from './link.js';

/**
 * Decides which of two usable links to one VM stays.
 *
 * @param ownVm - The own VM.
 * @param current - Link in use.
 * @param newer - Link that has just become usable.
 * @returns The link that stays.
 */
export function chooseLink(ownVm: string, current: Link, newer: Link): Link {
  // After a restart of the peer the current link is dead on its side.
  if (current.peerHello?.bootId !== newer.peerHello?.bootId) return newer;
  if (current.role === newer.role) {
    return newer.attempt > current.attempt ? newer : current;
  }
  const peerVm = newer.peerVm ?? '';
  const preferred = ownVm < peerVm ? 'connector' : 'acceptor';
  return newer.role === preferred ? newer : current;
}
