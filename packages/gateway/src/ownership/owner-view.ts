/** The owners of keys that this VM knows. */
import {RangeTable} from '@wisteriarun/core';
import type {OwnershipView, RangeOwner} from '@wisteriarun/core';

/** Newest table of owners; requests can wait for its next change. */
export class OwnerView {
  #table = new RangeTable();
  #term = -1;
  #revision = -1;
  #vmCount = 1;
  #waiting: (() => void)[] = [];

  /** Whether a table has been received. */
  get isLoaded(): boolean {
    return this.#term >= 0;
  }

  /** Number of VMs, as the assigner published it. */
  get vmCount(): number {
    return this.#vmCount;
  }

  /** Term of the assigner that published the table; -1 before the first. */
  get term(): number {
    return this.#term;
  }

  /** Number of the table within its term; -1 before the first. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Lists all ranges.
   *
   * @returns Ranges by service in ascending order.
   */
  all(): RangeOwner[] {
    return this.#table.all();
  }

  /**
   * Finds the range of a key.
   *
   * @param service - Name of the service.
   * @param key - The key.
   * @returns The range, or null when none is known.
   */
  find(service: string, key: number): RangeOwner | null {
    return this.#table.find(service, key);
  }

  /**
   * Replaces the table unless the known one is newer.
   *
   * @param view - Whole table.
   * @returns False when this VM has a newer table.
   */
  replace(view: OwnershipView): boolean {
    if (this.#isOlder(view)) return false;
    this.#table = new RangeTable(view.ranges);
    this.#finishUpdate(view);
    return true;
  }

  /**
   * Applies changed ranges.
   *
   * @param view - The ranges that changed.
   * @returns False when the change does not directly follow this table.
   */
  applyChange(view: OwnershipView): boolean {
    if (view.term !== this.#term || view.revision !== this.#revision + 1) {
      return false;
    }
    for (const range of view.ranges) this.#table.assign(range);
    this.#finishUpdate(view);
    return true;
  }

  /**
   * Waits for the next change.
   *
   * @param timeoutMs - Longest wait.
   * @returns Resolves at the change or after the timeout.
   */
  nextChange(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, timeoutMs);
      this.#waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  #isOlder({term, revision}: OwnershipView): boolean {
    if (term !== this.#term) return term < this.#term;
    return revision < this.#revision;
  }

  #finishUpdate({term, revision, vmCount}: OwnershipView): void {
    this.#term = term;
    this.#revision = revision;
    this.#vmCount = vmCount;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const wake of waiting) wake();
  }
}
