/** Per server, what the assigner knows about the lease it granted. */
import {LEASE_TTL_MS, certainExpiryMs} from '../../types/index.js';

/** Reading of a remote monotonic clock. */
export interface ClockReading {
  readonly bootId: string;
  readonly clockMs: number;
  /** Own monotonic time at which the reading arrived. */
  readonly receivedAtMs: number;
}

/** State of one holder's lease. */
export interface LedgerEntry {
  readonly reading: ClockReading | null;
  /** Last expiry sent, on the holder's clock. */
  readonly lastExpirySentMs: number | null;
  /** Own time from which no lease sent so far is valid; null if none was. */
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

/** Ledger of the leases that one assigner granted in one term. */
export class LeaseLedger {
  private readonly entries = new Map<string, LedgerEntry>();

  /**
   * Reads one entry.
   *
   * @param holder - Server, or dispatcher and server for a permission.
   * @returns The entry; an empty one for an unknown holder.
   */
  get(holder: string): LedgerEntry {
    return this.entries.get(holder) ?? EMPTY_ENTRY;
  }

  /**
   * Notes an answer with a clock reading.
   *
   * @param holder - Holder that answered.
   * @param reading - Its clock, and when the answer arrived.
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
      lastExpirySentMs: hasRestarted ? null : entry.lastExpirySentMs,
      lastAnswerAtMs: reading.receivedAtMs,
      consecutiveFailures: 0,
    });
  }

  /**
   * Notes a call without an answer. The lease may have arrived regardless.
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
   * Computes the next expiry and notes that it is sent.
   *
   * @param holder - Holder with a reading.
   * @returns Expiry on the holder's clock, or null without a reading.
   */
  issueExpiryMs(holder: string): number | null {
    const entry = this.get(holder);
    if (!entry.reading) return null;
    const expiresAtMs = entry.reading.clockMs + LEASE_TTL_MS;
    // The count starts at the receipt of the reading: the clock was read
    // before that, so the lease ends no later, whenever the call arrives.
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
   * Tells whether no lease that was sent can still be valid.
   *
   * @param holder - Holder to check.
   * @param nowMs - Own monotonic time.
   * @returns True when every lease sent has certainly expired.
   */
  hasExpired(holder: string, nowMs: number): boolean {
    const expiredAtMs = this.get(holder).certainlyExpiredAtMs;
    return expiredAtMs === null || nowMs >= expiredAtMs;
  }
}
