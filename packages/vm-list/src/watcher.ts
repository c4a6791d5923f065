/** Polls the VM list and keeps the last valid list during an outage. */
import type {WisteriarunError} from '@wisteriarun/core';
import {Channel} from '@wisteriarun/runtime';
import type {Clock} from '@wisteriarun/runtime';
import type {Stream} from 'most';
import type {VmEntry, VmListReader} from './client.js';

/** Maximum number of removed ids to remember; the oldest are dropped first. */
const MAX_REMOVED_IDS = 65_536;

/** Difference between two successive valid lists. */
export interface VmListChange {
  /** The new list by id. */
  readonly vms: ReadonlyMap<string, VmEntry>;
  readonly added: readonly VmEntry[];
  /** Entries whose zone, address, role or state changed. */
  readonly updated: readonly VmEntry[];
  /** Ids that only the previous list contains. */
  readonly removed: readonly string[];
}

/** Options of a `VmListWatcher`. */
export interface VmListWatcherOptions {
  readonly reader: VmListReader;
  readonly pollIntervalMs: number;
  readonly clock: Clock;
}

/**
 * Polls the VM list and reports its changes. A failed read changes nothing:
 * the last valid list stays in use.
 */
export class VmListWatcher {
  readonly #options: VmListWatcherOptions;
  readonly #changes = new Channel<VmListChange>();
  readonly #failures = new Channel<WisteriarunError>();
  readonly #removedIds = new Set<string>();
  #vms: ReadonlyMap<string, VmEntry> = new Map();
  #lastReadMs: number | null = null;
  #timer: NodeJS.Timeout | null = null;
  #isRunning = false;

  /**
   * @param options - Reader, poll interval and clock.
   */
  constructor(options: VmListWatcherOptions) {
    this.#options = options;
  }

  /** Changes of the list; the first valid list counts as a change. */
  get changes(): Stream<VmListChange> {
    return this.#changes.stream;
  }

  /** Errors of failed reads. */
  get failures(): Stream<WisteriarunError> {
    return this.#failures.stream;
  }

  /** The last valid list by id; empty before the first one. */
  get vms(): ReadonlyMap<string, VmEntry> {
    return this.#vms;
  }

  /** Monotonic time of the last valid list; null before the first one. */
  get lastReadMs(): number | null {
    return this.#lastReadMs;
  }

  /**
   * Ids that were in an earlier list but are not in the last one, at most
   * `MAX_REMOVED_IDS`. A removed VM counts as stopped, so its keys may
   * get new owners.
   */
  get removedIds(): ReadonlySet<string> {
    return this.#removedIds;
  }

  /** Starts polling; the first read begins at once. */
  start(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    void this.#poll();
  }

  /** Stops polling and ends the streams; the last list stays available. */
  close(): void {
    this.#isRunning = false;
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#changes.close();
    this.#failures.close();
  }

  async #poll(): Promise<void> {
    const result = await this.#options.reader.read();
    if (!this.#isRunning) return;
    this.#timer = setTimeout(
      () => void this.#poll(),
      this.#options.pollIntervalMs,
    );
    result.match({
      Ok: vms => this.#applyList(vms),
      Err: error => this.#failures.emit(error),
    });
  }

  #applyList(vms: readonly VmEntry[]): void {
    this.#lastReadMs = this.#options.clock.monotonicMs();
    const previous = this.#vms;
    const current = new Map(vms.map(vm => [vm.id, vm]));
    const added = vms.filter(vm => !previous.has(vm.id));
    const updated = vms.filter(vm => hasChanged(previous.get(vm.id), vm));
    const removed = [...previous.keys()].filter(id => !current.has(id));
    this.#vms = current;
    for (const {id} of added) this.#removedIds.delete(id);
    for (const id of removed) this.#removedIds.add(id);
    this.#trimRemovedIds();
    if (added.length + updated.length + removed.length === 0) return;
    this.#changes.emit({vms: current, added, updated, removed});
  }

  #trimRemovedIds(): void {
    for (const id of this.#removedIds) {
      if (this.#removedIds.size <= MAX_REMOVED_IDS) return;
      this.#removedIds.delete(id);
    }
  }
}

/** Returns false for an entry that was not in the list before. */
function hasChanged(before: VmEntry | undefined, after: VmEntry): boolean {
  return (
    before !== undefined &&
    (before.role !== after.role ||
      before.zone !== after.zone ||
      before.address !== after.address ||
      before.state !== after.state)
  );
}
