/** Owners of keys as this VM knows them. */
import {RangeTable} from '@wisteriarun/core';
import type {OwnershipView, RangeOwner} from '@wisteriarun/core';

/** Newest table; changes wake those who wait for another owner. */
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

  /** VMs that take part, as far as this VM knows. */
  get vmCount(): number {
    return this.#vmCount;
  }

  /** Term of the assigner that published the table; -1 before the first. */
  get term(): number {
    return this.#term;
  }

  /** Number of the table in its term. */
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
   * Replaces the table.
   *
   * @param view - Whole table.
   * @returns False when a newer one is known.
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
   * @returns False when a change before it is missing.
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
   * @returns Resolves at the change or after the time.
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
