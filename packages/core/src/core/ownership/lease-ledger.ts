/**
 * Tracks the leases and permissions that an assigner granted. A permission
 * (`permissionSchema`) lets a dispatcher send to a server that does not check
 * grants.
 */
import {LEASE_TTL_MS, certainExpiryMs} from '../../types/index.js';

/** Reading of a remote monotonic clock. */
export interface ClockReading {
  readonly bootId: string;
  readonly clockMs: number;
  /** Arrival of the reading, on this VM's monotonic clock. */
  readonly receivedAtMs: number;
}

/** What the assigner knows about the lease or permission of one holder. */
export interface LedgerEntry {
  readonly reading: ClockReading | null;
  /** Last expiry sent, on the holder's clock. */
  readonly lastExpirySentMs: number | null;
  /**
   * Time on this VM's monotonic clock from which no lease sent so far is valid;
   * null if none was sent.
   */
  readonly certainlyExpiredAtMs: number | null;
  readonly lastAnswerAtMs: number | null;
  readonly consecutiveFailures: number;
}

const EMPTY_ENTRY: LedgerEntry = {
  reading: null,
  lastExpirySentMs: null,
  certainlyExpiredAtMs: null,
  lastAnswerAtMs: null,
  consecutiveFailures: 0,
};

/** Ledger of the leases or permissions that an assigner granted in its term. */
export class LeaseLedger {
  private readonly entries = new Map<string, LedgerEntry>();

  /**
   * Returns the entry of a holder.
   *
   * @param holder - Server id, or `permissionHolderKey` for a permission.
   * @returns The entry; an empty one for an unknown holder.
   */
  get(holder: string): LedgerEntry {
    return this.entries.get(holder) ?? EMPTY_ENTRY;
  }

  /**
   * Records an answer with a clock reading. The reading replaces the previous
   * one unless it is an earlier reading of the same incarnation.
   *
   * @param holder - Holder that answered.
   * @param reading - Clock of the holder, and when the answer arrived.
   */
  recordAnswer(holder: string, reading: ClockReading): void {
    const entry = this.get(holder);
    const previous = entry.reading;
    const hasRestarted =
      previous !== null && previous.bootId !== reading.bootId;
    const isNewer =
      previous === null || hasRestarted || reading.clockMs >= previous.clockMs;
    this.entries.set(holder, {
      ...entry,
      reading: isNewer ? reading : previous,
      // That expiry is on the clock of the former incarnation; times on this
      // VM's clock, such as `certainlyExpiredAtMs`, stay valid.
      lastExpirySentMs: hasRestarted ? null : entry.lastExpirySentMs,
      lastAnswerAtMs: reading.receivedAtMs,
      consecutiveFailures: 0,
    });
  }

  /**
   * Records a call without an answer. The lease may have arrived nevertheless.
   *
   * @param holder - Holder that did not answer.
   */
  recordFailure(holder: string): void {
    const entry = this.get(holder);
    this.entries.set(holder, {
      ...entry,
      consecutiveFailures: entry.consecutiveFailures + 1,
    });
  }

  /**
   * Computes the expiry of the next lease and records it as sent.
   *
   * @param holder - Holder of the lease.
   * @returns Expiry on the holder's clock, or null without a reading.
   */
  issueExpiryMs(holder: string): number | null {
    const entry = this.get(holder);
    if (!entry.reading) return null;
    const expiresAtMs = entry.reading.clockMs + LEASE_TTL_MS;
    // The lease lasts from the moment at which the holder's clock was read, not
    // from the call's arrival. That moment precedes the receipt of the reading,
    // so the lease has ended by this time, however late the call arrives.
    const expiredAtMs = entry.reading.receivedAtMs + certainExpiryMs();
    this.entries.set(holder, {
      ...entry,
      lastExpirySentMs: expiresAtMs,
      certainlyExpiredAtMs: Math.max(
        entry.certainlyExpiredAtMs ?? -Infinity,
        expiredAtMs,
      ),
    });
    return expiresAtMs;
  }

  /**
   * Tells whether every lease that was sent has certainly expired.
   *
   * @param holder - Holder to check.
   * @param nowMs - Time on this VM's monotonic clock.
   * @returns True also when no lease was sent.
   */
  hasExpired(holder: string, nowMs: number): boolean {
    const expiredAtMs = this.get(holder).certainlyExpiredAtMs;
    return expiredAtMs === null || nowMs >= expiredAtMs;
  }
}
