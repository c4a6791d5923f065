/** Writes snapshots of the folded state to the log. */
import {randomUUID} from 'node:crypto';
import type {LogRecord, RouterState, StateImage} from '@wisteriarun/core';
import type {Clock} from '@wisteriarun/runtime';
import type {AppendState} from './log-tail.js';
import type {FoldedRecord} from './state-replica.js';

/** Dependencies of the snapshot writer. */
export interface SnapshotWriterOptions {
  /** Instance id of this process. */
  readonly vm: string;
  readonly clock: Clock;
  readonly intervalMs: number;
  readonly state: () => RouterState;
  readonly image: () => StateImage;
  /** Zones whose assigner this process is. */
  readonly ownZones: () => readonly string[];
  readonly logAvailable: () => boolean;
  readonly append: (record: LogRecord) => Promise<AppendState>;
}

/**
 * Appends a snapshot once per interval. After a log outage longer than the
 * interval, the first call of `step` appends one. Only the assigner of the zone
 * whose name sorts first writes snapshots, so that there is one writer.
 */
export class SnapshotWriter {
  private lastSnapshotMs: number;
  private isAppending = false;

  /**
   * @param options - Dependencies.
   */
  constructor(private readonly options: SnapshotWriterOptions) {
    this.lastSnapshotMs = options.clock.monotonicMs();
  }

  /**
   * Restarts the interval when a snapshot of any VM was read from the log.
   *
   * @param folded - Folded record of any kind.
   */
  onFolded(folded: FoldedRecord): void {
    const kind = (folded.record as {kind?: unknown} | null)?.kind;
    if (kind !== 'snapshot') return;
    this.lastSnapshotMs = this.options.clock.monotonicMs();
  }

  /** Appends a snapshot when one is due. */
  async step(): Promise<void> {
    const {clock, intervalMs, append, image, vm} = this.options;
    if (this.isAppending || !this.isWriter()) return;
    if (clock.monotonicMs() - this.lastSnapshotMs < intervalMs) return;
    this.isAppending = true;
    const state = image();
    const result = await append({
      kind: 'snapshot',
      id: randomUUID(),
      author: vm,
      upTo: state.offset,
      image: state,
    });
    if (result === 'appended') this.lastSnapshotMs = clock.monotonicMs();
    this.isAppending = false;
  }

  private isWriter(): boolean {
    const zones = this.options.state().bundle?.body.zones ?? [];
    const lowest = [...zones].sort()[0];
    if (lowest === undefined || !this.options.logAvailable()) return false;
    return this.options.ownZones().includes(lowest);
  }
}
