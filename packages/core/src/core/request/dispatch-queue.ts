/** Request queue and concurrency limit of one server. */
import {requestFailure, type RequestFailure} from '../../types/index.js';

/** Largest number of waiting requests for each slot, by default. */
const QUEUED_PER_SLOT = 64;
/** How long the limit is lowered by one after the server shed a request. */
const SHED_PENALTY_MS = 1_000;
/** Memory that waiting requests may use, by default. */
const DEFAULT_MAX_QUEUED_BYTES = 64 * 1024 * 1024;

/** A request that waits for a slot or holds one. */
export interface QueueEntry<T> {
  readonly value: T;
  /** Service and shard as one string. */
  readonly shardId: string;
  /** Monotonic time from which on the request is no longer started. */
  readonly deadlineMs: number;
  /** Memory that the request uses while it waits. */
  readonly sizeBytes: number;
  /**
   * True when the request was in flight during a server crash. Read at each
   * decision, because a crash may be detected while the request waits.
   */
  readonly isSuspect: boolean;
}

/**
 * How a started request ended: `success` raises the limit, `shed` (the server
 * refused it for lack of a free slot) lowers it by one for a time, but not
 * below one.
 */
export type SlotResult = 'success' | 'failure' | 'shed';

/** Limits of a queue. */
export interface QueueOptions {
  readonly slots: number;
  readonly maxQueued?: number;
  readonly maxQueuedBytes?: number;
}

/**
 * FIFO queue with deadlines in front of a server's slots. The limit on requests
 * in flight starts at one and grows by one with each success, so that a server
 * that has just started is not overloaded.
 */
export class DispatchQueue<T> {
  private readonly waiting = new Set<QueueEntry<T>>();
  private readonly running = new Set<QueueEntry<T>>();
  private readonly queuedByShard = new Map<string, number>();
  private readonly runningByShard = new Map<string, number>();
  private readonly draining = new Set<string>();
  private maxQueued: number;
  private readonly maxQueuedBytes: number;
  private waitingBytes = 0;
  private slots: number;
  private slowStartLimit = 1;
  /** End times of the current reductions of the limit, in order. */
  private penaltyEndsMs: number[] = [];

  /**
   * @param options - Limits of the server.
   */
  constructor(private readonly options: QueueOptions) {
    this.slots = options.slots;
    this.maxQueued = options.maxQueued ?? QUEUED_PER_SLOT * options.slots;
    this.maxQueuedBytes = options.maxQueuedBytes ?? DEFAULT_MAX_QUEUED_BYTES;
  }

  /** Number of waiting requests. */
  get queued(): number {
    return this.waiting.size;
  }

  /** Memory that the waiting requests use, in bytes. */
  get queuedBytes(): number {
    return this.waitingBytes;
  }

  /** Number of started requests. */
  get inFlight(): number {
    return this.running.size;
  }

  /**
   * Returns the current limit on requests in flight.
   *
   * @param nowMs - Monotonic time.
   * @returns At least one.
   */
  limit(nowMs: number): number {
    this.penaltyEndsMs = this.penaltyEndsMs.filter(end => end > nowMs);
    return Math.max(1, this.slowStartLimit - this.penaltyEndsMs.length);
  }

  /**
   * Adds a request to the end of the queue. Refuses it when the queue is full,
   * when the shard's requests fill half of it, or when the request is not
   * expected to start before its deadline.
   *
   * @param entry - The request.
   * @param serviceTimeMs - Mean service time of the server.
   * @param nowMs - Monotonic time.
   * @returns Null when the request was added, else the refusal with its reason
   * and the time after which the caller may retry.
   */
  offer(
    entry: QueueEntry<T>,
    serviceTimeMs: number,
    nowMs: number,
  ): RequestFailure | null {
    if (entry.deadlineMs <= nowMs) return requestFailure('deadline-expired', 0);
    const waitMs = this.expectedWaitMs(serviceTimeMs, nowMs);
    const queuedOfShard = this.queuedByShard.get(entry.shardId) ?? 0;
    if (
      this.waiting.size >= this.maxQueued ||
      this.waitingBytes + entry.sizeBytes > this.maxQueuedBytes
    ) {
      return requestFailure('queue-full', waitMs);
    }
    // The requests of one hot shard must not fill the whole queue.
    if (queuedOfShard >= Math.ceil(this.maxQueued / 2)) {
      return requestFailure('shard-queue-full', waitMs);
    }
    if (waitMs > entry.deadlineMs - nowMs) {
      return requestFailure('deadline-unreachable', waitMs);
    }
    this.waiting.add(entry);
    this.waitingBytes += entry.sizeBytes;
    this.queuedByShard.set(entry.shardId, queuedOfShard + 1);
    return null;
  }

  /**
   * Starts the next request that may start. It occupies a slot until `finish`.
   *
   * @param nowMs - Monotonic time.
   * @returns The request, or null when none may start now.
   */
  next(nowMs: number): QueueEntry<T> | null {
    if (this.running.size >= this.limit(nowMs)) return null;
    const isSuspectRunning = [...this.running].some(entry => entry.isSuspect);
    for (const entry of this.waiting) {
      if (entry.deadlineMs <= nowMs) continue;
      if (this.draining.has(entry.shardId)) continue;
      // The server runs one suspect at a time, so that another crash identifies
      // it.
      if (entry.isSuspect && isSuspectRunning) continue;
      this.remove(entry);
      this.running.add(entry);
      addToCount(this.runningByShard, entry.shardId, 1);
      return entry;
    }
    return null;
  }

  /**
   * Removes the waiting requests whose deadline has passed.
   *
   * @param nowMs - Monotonic time.
   * @returns The removed requests.
   */
  expire(nowMs: number): QueueEntry<T>[] {
    const expired = [...this.waiting].filter(e => e.deadlineMs <= nowMs);
    for (const entry of expired) this.remove(entry);
    return expired;
  }

  /**
   * Removes a waiting request.
   *
   * @param entry - The request.
   * @returns False when the request was not waiting.
   */
  remove(entry: QueueEntry<T>): boolean {
    if (!this.waiting.delete(entry)) return false;
    this.waitingBytes -= entry.sizeBytes;
    addToCount(this.queuedByShard, entry.shardId, -1);
    return true;
  }

  /**
   * Releases the slot of a request and adjusts the limit.
   *
   * @param entry - A started request.
   * @param result - How it ended.
   * @param nowMs - Monotonic time.
   */
  finish(entry: QueueEntry<T>, result: SlotResult, nowMs: number): void {
    if (!this.running.delete(entry)) return;
    addToCount(this.runningByShard, entry.shardId, -1);
    if (result === 'success') {
      this.slowStartLimit = Math.min(this.slots, this.slowStartLimit + 1);
    } else if (result === 'shed' && this.limit(nowMs) > 1) {
      this.penaltyEndsMs.push(nowMs + SHED_PENALTY_MS);
    }
  }

  /**
   * Changes the number of slots. Requests in flight are not affected.
   *
   * @param slots - Slots of the server.
   */
  setSlots(slots: number): void {
    this.slots = slots;
    this.slowStartLimit = Math.min(this.slowStartLimit, slots);
    this.maxQueued = this.options.maxQueued ?? QUEUED_PER_SLOT * slots;
  }

  /** Resets the limit to one, for a server that has just started. */
  resetLimit(): void {
    this.slowStartLimit = 1;
    this.penaltyEndsMs = [];
  }

  /**
   * Starts or ends the drain of a shard: while it lasts, no request of the
   * shard starts.
   *
   * @param shardId - Service and shard.
   * @param shouldDrain - True to start the drain, false to end it.
   */
  setDrain(shardId: string, shouldDrain: boolean): void {
    if (shouldDrain) this.draining.add(shardId);
    else this.draining.delete(shardId);
  }

  /**
   * Tells whether a shard is draining.
   *
   * @param shardId - Service and shard.
   * @returns True while no request of the shard may start.
   */
  isDraining(shardId: string): boolean {
    return this.draining.has(shardId);
  }

  /**
   * Counts the started requests of a shard.
   *
   * @param shardId - Service and shard.
   * @returns Number of requests in flight.
   */
  inFlightOf(shardId: string): number {
    return this.runningByShard.get(shardId) ?? 0;
  }

  /** Waiting requests, oldest first. */
  waitingEntries(): IterableIterator<QueueEntry<T>> {
    return this.waiting.values();
  }

  /** Started requests. */
  runningEntries(): IterableIterator<QueueEntry<T>> {
    return this.running.values();
  }

  /**
   * Returns the next time at which a deadline of a waiting request passes or a
   * reduction of the limit ends.
   *
   * @param nowMs - Monotonic time.
   * @returns Monotonic time, or null when no request waits.
   */
  nextWakeMs(nowMs: number): number | null {
    if (this.waiting.size === 0) return null;
    let wakeMs = Infinity;
    for (const entry of this.waiting) {
      wakeMs = Math.min(wakeMs, entry.deadlineMs);
    }
    for (const end of this.penaltyEndsMs) {
      if (end > nowMs) wakeMs = Math.min(wakeMs, end);
    }
    return wakeMs;
  }

  private expectedWaitMs(serviceTimeMs: number, nowMs: number): number {
    const limit = this.limit(nowMs);
    if (this.waiting.size === 0 && this.running.size < limit) return 0;
    return ((this.waiting.size + 1) * serviceTimeMs) / limit;
  }
}

function addToCount(
  counts: Map<string, number>,
  id: string,
  delta: number,
): void {
  const count = (counts.get(id) ?? 0) + delta;
  if (count === 0) counts.delete(id);
  else counts.set(id, count);
}
