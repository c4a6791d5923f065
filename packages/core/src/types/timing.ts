/** Time constants of ownership, shared by all parts. */

/** Length of a server's lease. */
export const LEASE_TTL_MS = 1_200;
/** Interval between renewals of a lease. */
export const LEASE_RENEW_INTERVAL_MS = 300;
/** Greatest relative drift between two monotonic clocks. */
export const CLOCK_DRIFT_RATIO = 0.01;
/** Margin on top of a lease for timers that fire early. */
export const LEASE_MARGIN_MS = 50;
/** Interval between heartbeats on the control link. */
export const HEARTBEAT_INTERVAL_MS = 250;
/** Silence after which a peer of the own zone counts as lost. */
export const PEER_SILENT_MS = 750;
/** Wait between two candidates of a zone that stand for its term. */
export const ELECTION_STAGGER_MS = 150;
/** Silence of a whole zone after which another zone's VM may stand. */
export const ZONE_SILENT_MS = 3_000;
/** Age of a log read that still proves a term for policy `lapse`. */
export const TERM_CONFIRM_MS = 700;

/**
 * Time after which a lease has certainly ended.
 *
 * @param ttlMs - Length of the lease in milliseconds.
 * @returns Milliseconds, counted on the granter's clock from the receipt of
 * the server's clock reading on which the expiry was based.
 */
export function certainExpiryMs(ttlMs: number = LEASE_TTL_MS): number {
  return ttlMs * (1 + CLOCK_DRIFT_RATIO) + LEASE_MARGIN_MS;
}
