/** Appends the assigner's table to the log and publishes it to the VMs. */
import {RangeTable} from '@wisteriarun/core';
import type {
  AssignerContact,
  OwnershipView,
  RangeOwner,
} from '@wisteriarun/core';
import type {Clock, Logger} from '@wisteriarun/runtime';
import type {OwnerView} from './owner-view.js';
import type {OwnershipLog} from './ownership-log.js';
import type {PeerServer} from './peer-server.js';

/** Dependencies of the publisher. */
export interface PublisherDependencies {
  readonly log: OwnershipLog;
  readonly owners: OwnerView;
  readonly peers: PeerServer;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Shortest time between two changes of the table that are sent to the other VMs:
 * each goes to all of them.
 */
const PUBLISH_INTERVAL_MS = 20;

/**
 * How an append ended: `refused` when nothing was appended, `unknown` when the
 * record may still be appended.
 */
export type AppendResult = 'appended' | 'refused' | 'unknown';

/** Keeps the table of one term in memory, in the log and at the other VMs. */
export class TablePublisher {
  /** Owners as decided; the published view may lack some of them. */
  readonly table: RangeTable;
  #revision: number;
  #recordCount = 0;
  /** Ranges that are not published yet, in the order of their changes. */
  #unpublished: RangeOwner[] = [];
  #publishedAtMs = -Infinity;
  #publishTimer: NodeJS.Timeout | null = null;
  #appending: Promise<boolean> | null = null;
  #queued: Promise<boolean> | null = null;
  #appendedAtMs: number;
  #isSuperseded = false;
  /** Whether a resignation was or may have been appended. */
  #isResigning = false;

  /**
   * @param dependencies - Dependencies of the publisher.
   * @param contact - Contact of this VM.
   * @param term - Offset of the record that elected this VM.
   * @param ranges - Table that the term starts with.
   */
  constructor(
    private readonly dependencies: PublisherDependencies,
    private readonly contact: AssignerContact,
    readonly term: number,
    ranges: readonly RangeOwner[],
  ) {
    this.table = new RangeTable(ranges);
    this.#revision = 0;
    this.#appendedAtMs = dependencies.clock.monotonicMs();
    this.#publishWholeTable();
  }

  /** Monotonic time of the last append that succeeded. */
  get appendedAtMs(): number {
    return this.#appendedAtMs;
  }

  /** Whether another VM has been elected. */
  get isSuperseded(): boolean {
    return this.#isSuperseded;
  }

  /** Whole table as the other VMs see it. */
  get view(): OwnershipView {
    return this.#viewOf(this.dependencies.owners.all());
  }

  /**
   * Sets the owner of a range and publishes it.
   *
   * @param owner - Range with its owner.
   */
  setOwner(owner: RangeOwner): void {
    this.table.assign(owner);
    this.publish([owner]);
  }

  /**
   * Publishes ranges without a change of the table, for example ranges that no
   * server can serve for now. Changes that follow each other closely are published
   * together.
   *
   * @param ranges - Ranges that the other VMs should use.
   */
  publish(ranges: readonly RangeOwner[]): void {
    this.#unpublished.push(...ranges);
    if (this.#publishTimer !== null) return;
    const sinceMs = this.dependencies.clock.monotonicMs() - this.#publishedAtMs;
    if (sinceMs >= PUBLISH_INTERVAL_MS) {
      this.#publishNow();
      return;
    }
    this.#publishTimer = setTimeout(
      () => this.#publishNow(),
      PUBLISH_INTERVAL_MS - sinceMs,
    );
  }

  /** Stops publishing. */
  close(): void {
    if (this.#publishTimer !== null) clearTimeout(this.#publishTimer);
  }

  /**
   * Appends the table to the log. Calls during an append share the next one.
   *
   * @returns Whether the table, as of this call or later, was appended.
   */
  persist(): Promise<boolean> {
    if (this.#appending === null) {
      this.#appending = this.#append(false)
        .then(result => result === 'appended')
        .finally(() => {
          this.#appending = null;
        });
      return this.#appending;
    }
    this.#queued ??= this.#appending.then(() => {
      this.#queued = null;
      return this.persist();
    });
    return this.#queued;
  }

  /**
   * Appends a resignation, so that another VM is elected without delay.
   *
   * @returns How the append ended.
   */
  async resign(): Promise<AppendResult> {
    this.#isResigning = true;
    if (this.#appending !== null) await this.#appending;
    const result = await this.#append(true);
    if (result === 'refused') this.#isResigning = false;
    return result;
  }

  async #append(resigned: boolean): Promise<AppendResult> {
    // A record after the resignation would hide it from the other VMs.
    const isAfterResignation = this.#isResigning && !resigned;
    if (this.#isSuperseded || isAfterResignation) return 'refused';
    const {log, clock, logger} = this.dependencies;
    this.#recordCount += 1;
    const answer = await log.append({
      id: `${this.contact.incarnation}-${this.#recordCount}`,
      term: this.term,
      revision: this.#revision,
      assigner: this.contact,
      resigned,
      ranges: this.table.all(),
    });
    if (answer.isErr) {
      logger.warn('ownership-append-failed', {cause: answer.error.kind});
      return answer.error.kind === 'log-unavailable' ? 'refused' : 'unknown';
    }
    if (answer.value.kind === 'superseded') {
      this.#isSuperseded = true;
      return 'refused';
    }
    this.#appendedAtMs = clock.monotonicMs();
    return 'appended';
  }

  #publishNow(): void {
    this.#publishTimer = null;
    this.#publishedAtMs = this.dependencies.clock.monotonicMs();
    this.#revision += 1;
    const view = this.#viewOf(this.#unpublished);
    this.#unpublished = [];
    this.dependencies.owners.applyChange(view);
    this.dependencies.peers.broadcast({kind: 'change', view});
  }

  #publishWholeTable(): void {
    const {owners, peers} = this.dependencies;
    const view = this.#viewOf(this.table.all());
    owners.replace(view);
    peers.broadcast({kind: 'view', view});
  }

  #viewOf(ranges: readonly RangeOwner[]): OwnershipView {
    return {
      term: this.term,
      revision: this.#revision,
      vmCount: this.dependencies.peers.linkCount + 1,
      ranges: [...ranges],
    };
  }
}
