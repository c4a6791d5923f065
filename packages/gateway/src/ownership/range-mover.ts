/** Moves key ranges between servers so that no two hold the same keys. */
import {describeError, FENCES_PER_TERM} from '@wisteriarun/core';
import type {
  GatewayServer,
  HeldKeys,
  HoldLedger,
  KeyGranter,
  KeyRange,
  RangeOwner,
} from '@wisteriarun/core';
import type {Clock, Logger} from '@wisteriarun/runtime';
import {delay} from '../utils/delay.js';
import type {ServerReach} from './server-reach.js';
import type {TablePublisher} from './table-publisher.js';

/** Longest wait for the answer to a grant. */
const GRANT_TIMEOUT_MS = 400;
/** Longest wait for the work on released keys to end. */
const RELEASE_TIMEOUT_MS = 3_000;
/** Wait for a release after which callers are told that keys are not served. */
const PATIENCE_MS = 400;
/** Pause between two tries of a call. */
const RETRY_MS = 60;
/** Pause while there is no server or the table cannot be appended. */
const SETTLE_RETRY_MS = 200;
/** Interval at which a waiting move looks again. */
const POLL_MS = 50;
/** Grants without an answer after which another server is chosen. */
const MAX_GRANT_TRIES = 3;
/** Time of a grant that only raises the fence of a server. */
const FENCE_HOLD_MS = 500;

/**
 * Why keys change hands: their owner leaves, is not listed any more or does not
 * answer, has too much load, or a former assigner had begun the move.
 */
export type MoveReason = 'draining' | 'gone' | 'lost' | 'balance' | 'takeover';

/**
 * How a grant ended: the server holds the keys, has seen a higher fence, is
 * another one than the grant names, or did not answer.
 */
export type GrantResult = 'granted' | 'fenced' | 'refused' | 'failed';

/** Parts that the mover works with. */
export interface MoverParts {
  readonly publisher: TablePublisher;
  readonly granter: KeyGranter;
  readonly ledger: HoldLedger;
  readonly reach: ServerReach;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time of one grant. */
  readonly holdMs: number;
  /** Finds a server that may be given keys. */
  usable(server: string): GatewayServer | null;
  /** Last known address of a server, also of one that is gone. */
  addressOf(server: string): string | null;
  /** Chooses a server for keys without an owner. */
  place(range: RangeOwner): GatewayServer | null;
  /** Whether grants may be sent. */
  mayGrant(): boolean;
  /** Resolves when no renewal at a server is under way. */
  quiesce(server: string): Promise<void>;
}

/** Runs one flow for each range that changes hands. */
export class RangeMover {
  #fenceCount = 0;
  #isClosed = false;

  /**
   * @param parts - Parts that the mover works with.
   */
  constructor(private readonly parts: MoverParts) {}

  /**
   * Issues a fence above all earlier ones.
   *
   * @returns The fence.
   */
  nextFence(): number {
    this.#fenceCount += 1;
    return this.parts.publisher.term * FENCES_PER_TERM + this.#fenceCount;
  }

  /** Ends all flows. */
  close(): void {
    this.#isClosed = true;
  }

  /**
   * Gives keys to another server once their owner has released them or its
   * grants have lapsed.
   *
   * @param range - Range with its present owner.
   * @param to - Id of the next owner; null to choose one.
   * @param reason - For the log.
   */
  move(range: RangeOwner, to: string | null, reason: MoveReason): void {
    if (this.#isFree(range)) void this.#move(range, to, reason);
  }

  async #move(
    range: RangeOwner,
    to: string | null,
    reason: MoveReason,
  ): Promise<void> {
    const {publisher, clock, logger, usable} = this.parts;
    const startedAtMs = clock.monotonicMs();
    const planned: RangeOwner = {
      ...range,
      server: to,
      former: range.server,
      bornMs: (to === null ? null : usable(to)?.bornMs) ?? 0,
      fence: this.nextFence(),
      moving: true,
    };
    publisher.decide(planned);
    logger.info('range-moving', {
      service: range.service,
      from_key: range.fromKey,
      to_key: range.toKey,
      from: range.server,
      to,
      reason,
    });
    // The record names both servers, so that a later assigner knows which of
    // them may hold the keys.
    if (range.server !== null && !(await publisher.persist())) {
      publisher.decide({...range, moving: false});
      return;
    }
    const handover = await this.#release(range);
    const owner = await this.#settle(planned, handover);
    logger.info('range-moved', {
      service: range.service,
      from_key: range.fromKey,
      to_key: range.toKey,
      from: range.server,
      to: owner,
      reason,
      handover: handover !== null,
      took_ms: Math.round(clock.monotonicMs() - startedAtMs),
    });
  }

  /**
   * Grants keys that no other server holds, for example after a restart of
   * their owner.
   *
   * @param range - Range with its owner, which holds nothing of it.
   */
  establish(range: RangeOwner): void {
    if (!this.#isFree(range)) return;
    const moving = {...range, moving: true};
    this.parts.publisher.decide(moving);
    void this.#settle(moving, null);
  }

  /**
   * Gives a range the next fence, for an owner that may have restarted.
   *
   * @param range - Range with its owner.
   * @returns The range as it stands in the table now.
   */
  refence(range: RangeOwner): RangeOwner {
    const owner = {...range, fence: this.nextFence()};
    this.parts.publisher.table.assign(owner);
    return owner;
  }

  /**
   * Sends one grant and records what may follow from it.
   *
   * @param owner - Range with its owner.
   * @param server - The owner.
   * @param handover - Token of the former owner; null without one.
   * @returns How it ended.
   */
  async grant(
    owner: RangeOwner,
    server: GatewayServer,
    handover: string | null,
  ): Promise<GrantResult> {
    const {reach, clock, holdMs, mayGrant} = this.parts;
    const held = {...owner, server: server.id, bornMs: server.bornMs};
    const outcome = await this.#send(held, server.address, holdMs, handover);
    if (outcome !== 'failed') reach.answered(server.id);
    // A grant that may not be sent any more shows nothing about the server.
    else if (mayGrant()) reach.failed(server.id, clock.monotonicMs());
    return outcome;
  }

  /** Calls the server and records until when it may hold the keys. */
  async #send(
    held: HeldKeys,
    address: string,
    holdMs: number,
    handover: string | null,
  ): Promise<GrantResult> {
    const {granter, ledger, reach, clock, logger} = this.parts;
    const {fromKey, toKey, fence, server} = held;
    const pending = ledger.send(held, holdMs, clock.monotonicMs());
    const answer = await granter.grant(
      address,
      {server, fromKey, toKey, fence, holdMs, handover},
      GRANT_TIMEOUT_MS,
      () => !this.#isClosed && this.parts.mayGrant(),
    );
    const nowMs = clock.monotonicMs();
    if (answer.isErr) {
      if (!reach.isFailing(server)) {
        logger.warn('grant-failed', {
          server,
          cause: describeError(answer.error),
        });
      }
      if (answer.error.kind === 'call-not-sent') pending.refused();
      else pending.unanswered(nowMs);
      return 'failed';
    }
    if (answer.value !== 'granted') {
      pending.refused();
      return answer.value === 'fenced' ? 'fenced' : 'refused';
    }
    pending.granted(nowMs);
    return 'granted';
  }

  /** Two flows for one key could grant it to two servers. */
  #isFree(range: RangeOwner): boolean {
    const {publisher} = this.parts;
    for (const part of publisher.table.overlapping(range.service, range)) {
      const isSame = part.server === range.server && part.fence === range.fence;
      if (part.moving || !isSame) return false;
    }
    return true;
  }

  /** Ends when the owner has released the keys or can hold them no longer. */
  async #release(range: RangeOwner): Promise<string | null> {
    const {server} = range;
    const {granter, ledger, publisher, clock} = this.parts;
    const address = server === null ? null : this.parts.addressOf(server);
    if (server === null || address === null) return null;
    // A renewal under way covers the keys and would grant them once more.
    await this.parts.quiesce(server);
    const startedAtMs = clock.monotonicMs();
    let token: string | null = null;
    let isReleased = false;
    let isCalling = false;
    const call = async () => {
      isCalling = true;
      await this.#fenceOff(range, server, address);
      const answer = await granter.release(address, range, RELEASE_TIMEOUT_MS);
      if (answer.isOk) {
        token = answer.value;
        isReleased = true;
        ledger.release(range.service, server, range);
      } else {
        await delay(RETRY_MS);
      }
      isCalling = false;
    };
    let isShown = true;
    let pending: Promise<void> = Promise.resolve();
    while (!this.#isClosed && !isReleased) {
      const nowMs = clock.monotonicMs();
      if (ledger.freeAtMs(range.service, range, null) <= nowMs) break;
      if (!isCalling) pending = call();
      if (isShown && nowMs - startedAtMs > PATIENCE_MS) {
        isShown = false;
        publisher.show([{...range, server: null, moving: false}]);
      }
      await Promise.race([pending, delay(POLL_MS)]);
    }
    return token;
  }

  /**
   * An unanswered grant could take effect after the release. A server refuses
   * it once it has accepted a higher fence.
   */
  async #fenceOff(
    range: RangeOwner,
    server: string,
    address: string,
  ): Promise<void> {
    const {ledger} = this.parts;
    if (!ledger.isUncertain(range.service, server, range)) return;
    const held = {...range, fence: this.nextFence(), server};
    await this.#send(held, address, FENCE_HOLD_MS, null);
  }

  /** Ends when a server holds the keys; returns it. */
  async #settle(
    range: RangeOwner,
    handover: string | null,
  ): Promise<string | null> {
    const {publisher, ledger, clock} = this.parts;
    let isPersisted = range.server !== null && range.former !== null;
    let wanted = range.server;
    let isShown = true;
    while (!this.#isClosed) {
      const target = this.#target(range, wanted);
      wanted = null;
      const nowMs = clock.monotonicMs();
      const freeAtMs =
        target === null
          ? nowMs + POLL_MS
          : ledger.freeAtMs(range.service, range, target.id);
      if (target === null || freeAtMs > nowMs) {
        const former = this.#returned(range, nowMs);
        if (former !== null) {
          wanted = former;
          continue;
        }
        if (freeAtMs > nowMs + PATIENCE_MS) {
          publisher.show([{...range, server: null, moving: false}]);
          if (isShown) this.#logWait(range, target, freeAtMs - nowMs);
          isShown = false;
        }
        wanted = target?.id ?? null;
        await delay(
          target === null
            ? SETTLE_RETRY_MS
            : Math.min(POLL_MS, Math.max(1, freeAtMs - nowMs)),
        );
        continue;
      }
      const owner: RangeOwner = {
        ...range,
        server: target.id,
        bornMs: target.bornMs,
        fence: this.nextFence(),
        moving: true,
      };
      isPersisted &&= owner.server === range.server;
      publisher.decide(owner);
      isPersisted = isPersisted || (await publisher.persist());
      if (!isPersisted) {
        await delay(SETTLE_RETRY_MS);
        continue;
      }
      if (await this.#tryGrant(owner, target, handover)) return target.id;
      isPersisted = false;
    }
    return null;
  }

  /**
   * Finds a former owner that can have its keys back at once, while the next
   * one would wait for its holds to lapse.
   */
  #returned({service, former, ...keys}: RangeOwner, nowMs: number) {
    const {ledger, reach, usable} = this.parts;
    if (former === null || usable(former) === null) return null;
    if (reach.isLost(former, nowMs)) return null;
    return ledger.freeAtMs(service, keys, former) <= nowMs ? former : null;
  }

  #logWait(range: RangeOwner, target: GatewayServer | null, waitMs: number) {
    this.parts.logger.info('range-waits', {
      service: range.service,
      from_key: range.fromKey,
      to_key: range.toKey,
      from: range.former ?? range.server,
      to: target?.id ?? null,
      wait_ms: Math.round(waitMs),
    });
  }

  #target(range: RangeOwner, wanted: string | null): GatewayServer | null {
    const {usable, place, reach, clock} = this.parts;
    const server = wanted === null ? null : usable(wanted);
    if (server !== null && !reach.isLost(server.id, clock.monotonicMs())) {
      return server;
    }
    return place(range);
  }

  async #tryGrant(
    owner: RangeOwner,
    server: GatewayServer,
    handover: string | null,
  ): Promise<boolean> {
    const {publisher, mayGrant} = this.parts;
    for (let tries = 0; tries < MAX_GRANT_TRIES; tries += 1) {
      if (this.#isClosed) return false;
      if (!mayGrant()) {
        await delay(POLL_MS);
        continue;
      }
      const outcome = await this.grant(owner, server, handover);
      if (this.#isClosed) return false;
      if (outcome === 'granted') {
        publisher.decide({...owner, former: null, moving: false});
        return true;
      }
      if (outcome !== 'failed') return false;
      await delay(RETRY_MS);
    }
    return false;
  }
}

/**
 * Cuts a range to some of its keys.
 *
 * @param range - Range with its owner.
 * @param keys - Keys to keep.
 * @returns The range cut to those keys.
 */
export function cutRange(range: RangeOwner, keys: KeyRange): RangeOwner {
  return {...range, fromKey: keys.fromKey, toKey: keys.toKey};
}
