/** Time constants of leases, heartbeats and elections. */

/** Duration of a server's lease. */
export const LEASE_TTL_MS = 1_200;
/** Interval between renewals of a lease. */
export const LEASE_RENEW_INTERVAL_MS = 300;
/** Largest assumed relative drift between two monotonic clocks. */
export const CLOCK_DRIFT_RATIO = 0.01;
/** Margin added to the duration of a lease, for timers that fire early. */
export const LEASE_MARGIN_MS = 50;
/** Interval between heartbeats on the control link between two entry VMs. */
export const HEARTBEAT_INTERVAL_MS = 250;
/** Time without a message after which a peer counts as lost. */
export const PEER_SILENT_MS = 750;
/**
 * Delay after which a candidate claims a term that the candidate ranked before
 * it has not claimed.
 */
export const ELECTION_STAGGER_MS = 150;
/**
 * Time without a message or record of any VM of a zone after which a VM of
 * another zone may become its assigner.
 */
export const ZONE_SILENT_MS = 3_000;
/**
 * Largest age of the log read that confirms an assigner's term, where a lease
 * may be renewed only with a confirmed term, as with adoption policy `lapse`.
 */
export const TERM_CONFIRM_MS = 700;

/**
 * Computes the time after which a lease has expired even if the clocks drift.
 *
 * @param ttlMs - Duration of the lease in milliseconds.
 * @returns Milliseconds on the assigner's clock, counted from when it received
 * the reading of the server's clock on which the expiry was based.
 */
export function certainExpiryMs(ttlMs: number = LEASE_TTL_MS): number {
  return ttlMs * (1 + CLOCK_DRIFT_RATIO) + LEASE_MARGIN_MS;
}
