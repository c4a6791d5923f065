/** Moves key ranges so that no two servers hold the same key. */
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
import type {ServerReachability} from './server-reachability.js';
import type {TablePublisher} from './table-publisher.js';

/** Longest wait for the answer to a grant of a range that moves. */
const GRANT_TIMEOUT_MS = 400;
/**
 * Longest wait for the answer to a release, which a server gives when its work
 * on the keys has ended.
 */
const RELEASE_TIMEOUT_MS = 3_000;
/**
 * Wait of a move, past or expected, above which its range is published without
 * an owner, so that the VMs refuse the requests instead of holding them.
 */
const OWNERLESS_AFTER_MS = 400;
/** Delay before a failed grant or release is sent again. */
const CALL_RETRY_MS = 60;
/**
 * Delay before a server is chosen again when none was eligible or an append
 * failed.
 */
const PLACEMENT_RETRY_MS = 200;
/** Interval at which a waiting move checks its condition. */
const POLL_MS = 50;
/**
 * Tries of a grant after which a server is chosen anew. A try counts when the
 * grant was not answered, or was not sent because grants are suspended.
 */
const MAX_GRANT_TRIES = 3;

/**
 * Why a range moves: its owner is draining, is not listed any more (`gone`), is
 * unreachable (`lost`) or has too much load (`balance`), or a former assigner
 * had begun the move (`takeover`).
 */
export type MoveReason = 'draining' | 'gone' | 'lost' | 'balance' | 'takeover';

/**
 * How a grant ended: the server holds the keys (`granted`), has accepted a
 * higher fence (`fenced`), refused for another reason, such as that the grant
 * names another server (`refused`), or did not answer (`failed`).
 */
export type GrantResult = 'granted' | 'fenced' | 'refused' | 'failed';

/** How one grant is sent. */
interface GrantCall {
  readonly address: string;
  readonly holdMs: number;
  readonly handover: string | null;
  readonly timeoutMs: number;
}

/** Dependencies of the mover. */
export interface MoverDependencies {
  readonly publisher: TablePublisher;
  readonly granter: KeyGranter;
  readonly ledger: HoldLedger;
  readonly reachability: ServerReachability;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time for which one grant lets a server hold keys. */
  readonly holdMs: number;
  /** Returns a server by id; null when it may not be given keys. */
  findEligible(server: string): GatewayServer | null;
  /** Returns the last known address of a server, even of one that is gone. */
  addressOf(server: string): string | null;
  /** Chooses a server for a range; null when there is none. */
  place(range: RangeOwner): GatewayServer | null;
  /** Whether grants may be sent. */
  mayGrant(): boolean;
  /** Resolves when the renewals in flight at a server have ended. */
  waitForRenewals(server: string): Promise<void>;
}

/** Runs the moves and grants of ranges, at most one per key at a time. */
export class RangeMover {
  /** Sequence number of the last fence within the term. */
  #sequence = 0;
  #isClosed = false;

  /**
   * @param dependencies - Dependencies of the mover.
   */
  constructor(private readonly dependencies: MoverDependencies) {}

  /**
   * Issues a fence above all earlier ones.
   *
   * @returns The fence.
   */
  nextFence(): number {
    this.#sequence += 1;
    return this.dependencies.publisher.term * FENCES_PER_TERM + this.#sequence;
  }

  /** Ends all moves and grants in progress. */
  close(): void {
    this.#isClosed = true;
  }

  /**
   * Moves a range to another server once its owner has released it or the
   * owner's grants have lapsed. Does nothing while a part of the range is
   * already moving.
   *
   * @param range - Range with its current owner.
   * @param to - Id of the next owner; null to choose one.
   * @param reason - Reason that is logged.
   */
  move(range: RangeOwner, to: string | null, reason: MoveReason): void {
    if (this.#mayStartMove(range)) void this.#move(range, to, reason);
  }

  async #move(
    range: RangeOwner,
    to: string | null,
    reason: MoveReason,
  ): Promise<void> {
    const {publisher, clock, logger, findEligible} = this.dependencies;
    const startedAtMs = clock.monotonicMs();
    const planned: RangeOwner = {
      ...range,
      server: to,
      former: range.server,
      bornMs: (to === null ? null : findEligible(to)?.bornMs) ?? 0,
      fence: this.nextFence(),
      moving: true,
    };
    publisher.setOwner(planned);
    logger.info('range-moving', {
      service: range.service,
      from_key: range.fromKey,
      to_key: range.toKey,
      from: range.server,
      to,
      reason,
    });
    // The record must name both servers before any is called, so that the next
    // assigner knows which of them may hold the keys.
    if (range.server !== null && !(await publisher.persist())) {
      publisher.setOwner({...range, moving: false});
      return;
    }
    const handover = await this.#release(range);
    const owner = await this.#grantUntilHeld(planned, handover);
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
   * Grants a range to its owner, which does not hold it: for the first time,
   * after a restart, or after a refused grant. Another server gets the range if
   * its owner is not eligible any more. Does nothing while a part of the range
   * is already moving.
   *
   * @param range - Range with its owner.
   */
  grantToOwner(range: RangeOwner): void {
    if (!this.#mayStartMove(range)) return;
    const moving = {...range, moving: true};
    this.dependencies.publisher.setOwner(moving);
    void this.#grantUntilHeld(moving, null);
  }

  /**
   * Gives a range a higher fence, for an owner that may have restarted.
   *
   * @param range - Range with its owner.
   * @returns The range with its new fence.
   */
  raiseFence(range: RangeOwner): RangeOwner {
    const owner = {...range, fence: this.nextFence()};
    this.dependencies.publisher.table.assign(owner);
    return owner;
  }

  /**
   * Sends one grant, and records the hold and whether the server answered.
   *
   * @param owner - Range with its owner.
   * @param server - The owner.
   * @param handover - Handover token of the former owner; null without one.
   * @param timeoutMs - Longest wait for the answer.
   * @returns How the grant ended.
   */
  async grant(
    owner: RangeOwner,
    server: GatewayServer,
    handover: string | null,
    timeoutMs = GRANT_TIMEOUT_MS,
  ): Promise<GrantResult> {
    const {reachability, clock, holdMs, mayGrant} = this.dependencies;
    const held = {...owner, server: server.id};
    const call = {address: server.address, holdMs, handover, timeoutMs};
    const outcome = await this.#send(held, call);
    if (outcome !== 'failed') reachability.answered(server.id);
    // While grants are suspended the grant may not have been sent at all, so
    // that a failure shows nothing about the server.
    else if (mayGrant()) reachability.failed(server.id, clock.monotonicMs());
    return outcome;
  }

  /** Sends a grant and records until when the server may hold the keys. */
  async #send(
    held: HeldKeys,
    {address, holdMs, handover, timeoutMs}: GrantCall,
  ): Promise<GrantResult> {
    const {granter, ledger, reachability, clock, logger} = this.dependencies;
    const {fromKey, toKey, fence, server} = held;
    const pending = ledger.recordPending(held, holdMs, clock.monotonicMs());
    const answer = await granter.grant(
      address,
      {server, fromKey, toKey, fence, holdMs, handover},
      timeoutMs,
      () => !this.#isClosed && this.dependencies.mayGrant(),
    );
    const nowMs = clock.monotonicMs();
    if (answer.isErr) {
      if (!reachability.isFailing(server)) {
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

  /**
   * Whether no part of a range is moving or has changed its owner or fence. Two
   * moves of one key at a time could grant it to two servers.
   */
  #mayStartMove(range: RangeOwner): boolean {
    const {publisher} = this.dependencies;
    for (const part of publisher.table.overlapping(range.service, range)) {
      const isSame = part.server === range.server && part.fence === range.fence;
      if (part.moving || !isSame) return false;
    }
    return true;
  }

  /**
   * Calls the owner until it has released the range or its holds have lapsed.
   * Returns its handover token; null without one.
   */
  async #release(range: RangeOwner): Promise<string | null> {
    const {server} = range;
    const {granter, ledger, publisher, clock} = this.dependencies;
    const address =
      server === null ? null : this.dependencies.addressOf(server);
    if (server === null || address === null) return null;
    // A renewal in flight could grant the keys again after the release.
    await this.dependencies.waitForRenewals(server);
    const startedAtMs = clock.monotonicMs();
    let token: string | null = null;
    let isReleased = false;
    let isCalling = false;
    const releaseOnce = async () => {
      isCalling = true;
      await this.#fenceOff(range, server, address);
      const answer = await granter.release(address, range, RELEASE_TIMEOUT_MS);
      if (answer.isOk) {
        token = answer.value;
        isReleased = true;
        ledger.release(range.service, server, range);
      } else {
        await delay(CALL_RETRY_MS);
      }
      isCalling = false;
    };
    let isOwnerPublished = true;
    let pending: Promise<void> = Promise.resolve();
    while (!this.#isClosed && !isReleased) {
      const nowMs = clock.monotonicMs();
      // No server can hold the keys any more: the holds have lapsed.
      if (ledger.freeAtMs(range.service, range, null) <= nowMs) break;
      if (!isCalling) pending = releaseOnce();
      if (isOwnerPublished && nowMs - startedAtMs > OWNERLESS_AFTER_MS) {
        isOwnerPublished = false;
        publisher.publish([{...range, server: null, moving: false}]);
      }
      await Promise.race([pending, delay(POLL_MS)]);
    }
    return token;
  }

  /**
   * Raises the server's fence if a grant to it was not answered: such a grant
   * could take effect after the release, but a server that has accepted a
   * higher fence refuses it. The grant has the usual hold time: the server may
   * still work on the keys after a shorter one.
   */
  async #fenceOff(
    range: RangeOwner,
    server: string,
    address: string,
  ): Promise<void> {
    const {ledger} = this.dependencies;
    if (!ledger.isUnanswered(range.service, server, range)) return;
    const held = {...range, fence: this.nextFence(), server};
    await this.#send(held, {
      address,
      holdMs: this.dependencies.holdMs,
      handover: null,
      timeoutMs: GRANT_TIMEOUT_MS,
    });
  }

  /**
   * Grants a range until a server holds it; returns the id of the server, or
   * null after `close`.
   */
  async #grantUntilHeld(
    range: RangeOwner,
    handover: string | null,
  ): Promise<string | null> {
    const {publisher, ledger, clock} = this.dependencies;
    // A move to a given server has already appended a record that names both.
    let isPersisted = range.server !== null && range.former !== null;
    let preferred = range.server;
    let isFirstWait = true;
    while (!this.#isClosed) {
      const candidate = this.#chooseServer(range, preferred);
      preferred = null;
      const nowMs = clock.monotonicMs();
      const freeAtMs =
        candidate === null
          ? nowMs + POLL_MS
          : ledger.freeAtMs(range.service, range, candidate.id);
      if (candidate === null || freeAtMs > nowMs) {
        // No server is eligible, or another one may still hold some of the keys.
        const holder = this.#findGrantableHolder(range, nowMs);
        if (holder !== null) {
          preferred = holder;
          continue;
        }
        if (freeAtMs > nowMs + OWNERLESS_AFTER_MS) {
          publisher.publish([{...range, server: null, moving: false}]);
          if (isFirstWait) this.#logWait(range, candidate, freeAtMs - nowMs);
          isFirstWait = false;
        }
        preferred = candidate?.id ?? null;
        await delay(
          candidate === null
            ? PLACEMENT_RETRY_MS
            : Math.min(POLL_MS, Math.max(1, freeAtMs - nowMs)),
        );
        continue;
      }
      const owner: RangeOwner = {
        ...range,
        server: candidate.id,
        bornMs: candidate.bornMs,
        fence: this.nextFence(),
        moving: true,
      };
      isPersisted &&= owner.server === range.server;
      publisher.setOwner(owner);
      isPersisted = isPersisted || (await publisher.persist());
      if (!isPersisted) {
        await delay(PLACEMENT_RETRY_MS);
        continue;
      }
      if (await this.#tryGrant(owner, candidate, handover)) return candidate.id;
      isPersisted = false;
    }
    return null;
  }

  /**
   * Returns the former owner, or the one that the move was planned for, if the range
   * can be granted to it at once. Another one would have to wait for their holds to
   * lapse.
   */
  #findGrantableHolder(
    {service, former, server, ...keys}: RangeOwner,
    nowMs: number,
  ): string | null {
    const {ledger, reachability, findEligible} = this.dependencies;
    for (const holder of [former, server]) {
      if (holder === null || findEligible(holder) === null) continue;
      if (reachability.isUnreachable(holder, nowMs)) continue;
      if (ledger.freeAtMs(service, keys, holder) <= nowMs) return holder;
    }
    return null;
  }

  #logWait(range: RangeOwner, candidate: GatewayServer | null, waitMs: number) {
    this.dependencies.logger.info('range-waits', {
      service: range.service,
      from_key: range.fromKey,
      to_key: range.toKey,
      from: range.former ?? range.server,
      to: candidate?.id ?? null,
      wait_ms: Math.round(waitMs),
    });
  }

  #chooseServer(
    range: RangeOwner,
    preferred: string | null,
  ): GatewayServer | null {
    const {findEligible, place, reachability, clock} = this.dependencies;
    const server = preferred === null ? null : findEligible(preferred);
    if (
      server !== null &&
      !reachability.isUnreachable(server.id, clock.monotonicMs())
    ) {
      return server;
    }
    return place(range);
  }

  async #tryGrant(
    owner: RangeOwner,
    server: GatewayServer,
    handover: string | null,
  ): Promise<boolean> {
    const {publisher, mayGrant} = this.dependencies;
    for (let tries = 0; tries < MAX_GRANT_TRIES; tries += 1) {
      if (this.#isClosed) return false;
      if (!mayGrant()) {
        await delay(POLL_MS);
        continue;
      }
      const outcome = await this.grant(owner, server, handover);
      if (this.#isClosed) return false;
      if (outcome === 'granted') {
        publisher.setOwner({...owner, former: null, moving: false});
        return true;
      }
      if (outcome !== 'failed') return false;
      await delay(CALL_RETRY_MS);
    }
    return false;
  }
}

/**
 * Narrows a range to some of its keys.
 *
 * @param range - Range with its owner.
 * @param keys - Keys to keep.
 * @returns The range with those keys only.
 */
export function cutRange(range: RangeOwner, keys: KeyRange): RangeOwner {
  return {...range, fromKey: keys.fromKey, toKey: keys.toKey};
}
