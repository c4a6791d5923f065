/** Keeps the assigner's table in the log and tells the other VMs. */
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

/** Parts that the publisher works with. */
export interface PublisherParts {
  readonly log: OwnershipLog;
  readonly owners: OwnerView;
  readonly peers: PeerServer;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** How an append ended; `refused` when nothing was appended. */
export type AppendResult = 'appended' | 'refused' | 'unknown';

/** Table of one term, in memory, in the log and at the other VMs. */
export class TablePublisher {
  /** Owners as decided; the published view may show less. */
  readonly table: RangeTable;
  #revision: number;
  #recordCount = 0;
  #appending: Promise<boolean> | null = null;
  #queued: Promise<boolean> | null = null;
  #appendedAtMs: number;
  #isSuperseded = false;

  /**
   * @param parts - Parts that the publisher works with.
   * @param contact - This VM as the assigner.
   * @param term - Offset of the record that elected it.
   * @param ranges - Table that the term starts with.
   */
  constructor(
    private readonly parts: PublisherParts,
    private readonly contact: AssignerContact,
    readonly term: number,
    ranges: readonly RangeOwner[],
  ) {
    this.table = new RangeTable(ranges);
    this.#revision = 0;
    this.#appendedAtMs = parts.clock.monotonicMs();
    this.#publishWholeTable();
  }

  /** Monotonic time of the last append that succeeded. */
  get appendedAtMs(): number {
    return this.#appendedAtMs;
  }

  /** Whether another VM has been elected since. */
  get isSuperseded(): boolean {
    return this.#isSuperseded;
  }

  /** Whole table as the other VMs see it. */
  get view(): OwnershipView {
    return this.#viewOf(this.parts.owners.all());
  }

  /**
   * Decides an owner and publishes it.
   *
   * @param owner - Range with its owner.
   */
  setOwner(owner: RangeOwner): void {
    this.table.assign(owner);
    this.publish([owner]);
  }

  /**
   * Publishes ranges without deciding their owners, for example that none can
   * serve for now.
   *
   * @param ranges - Ranges as the other VMs should see them.
   */
  publish(ranges: readonly RangeOwner[]): void {
    this.#revision += 1;
    const view = this.#viewOf(ranges);
    this.parts.owners.applyChange(view);
    this.parts.peers.broadcast({kind: 'change', view});
  }

  /**
   * Appends the table to the log; calls at the same time share an append.
   *
   * @returns Whether a table as of this call or later is in the log.
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
   * Gives the term up, so that another VM is elected without delay.
   *
   * @returns Whether the log has the resignation; `unknown` when it may.
   */
  async resign(): Promise<AppendResult> {
    if (this.#appending !== null) await this.#appending;
    return await this.#append(true);
  }

  async #append(resigned: boolean): Promise<AppendResult> {
    if (this.#isSuperseded) return 'refused';
    const {log, clock, logger} = this.parts;
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

  #publishWholeTable(): void {
    const {owners, peers} = this.parts;
    const view = this.#viewOf(this.table.all());
    owners.replace(view);
    peers.broadcast({kind: 'view', view});
  }

  #viewOf(ranges: readonly RangeOwner[]): OwnershipView {
    return {
      term: this.term,
      revision: this.#revision,
      vmCount: this.parts.peers.linkCount + 1,
      ranges: [...ranges],
    };
  }
}
