/**
 * Choice between two links to the same VM. Both ends make the same choice, so
 * that they do not each close the link that the other one keeps.
 */
import type {Link} from './link.js';

/**
 * Decides which of two usable links to the same VM to keep.
 *
 * @param ownVm - Id of this VM.
 * @param current - Link in use.
 * @param newer - Link that has just become usable.
 * @returns The link to keep.
 */
export function chooseLink(ownVm: string, current: Link, newer: Link): Link {
  // Different incarnations: the peer restarted and no longer has the current
  // link.
  if (current.peerHello?.bootId !== newer.peerHello?.bootId) return newer;
  // Both were opened by the same end: keep the one that it opened later.
  if (current.role === newer.role) {
    return newer.attempt > current.attempt ? newer : current;
  }
  // Both ends keep the link that the VM with the lower id opened.
  const peerVm = newer.peerVm ?? '';
  const preferred = ownVm < peerVm ? 'connector' : 'acceptor';
  return newer.role === preferred ? newer : current;
}
