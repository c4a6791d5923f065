/**
 * Reference model for the property tests: a second, simpler implementation of
 * how `fold` accepts and applies records. It does not check signatures, the
 * zones of term records, or whether a bundle is consistent.
 */
import {
  createHasher,
  shardOf,
  type Bundle,
  type LogRecord,
} from '@wisteriarun/core';

const hasher = await createHasher();

export const SHARDS = 4;

/** The owner of a shard from one offset to the next change. */
interface OwnershipPeriod {
  readonly from: number;
  readonly server: string | null;
  readonly zone: string;
}

type AssignerRecord = Extract<LogRecord, {baseOffset: number}>;

/**
 * Records the complete history of owners and validates records against it.
 * Supports only bundles with one service `kv` and the zones `za` and `zb`.
 */
export class Model {
  bundle: Bundle | null = null;
  bundleOffset = 0;
  readonly assigners = new Map<string, {vm: string; term: number}>();
  readonly ownerHistory = new Map<number, OwnershipPeriod[]>();
  /** Shard of each isolated key. */
  readonly keyShards = new Map<string, number>();

  /**
   * Applies the record if it is valid, and returns whether it was applied. A
   * snapshot changes nothing.
   */
  apply(offset: number, record: LogRecord): boolean {
    switch (record.kind) {
      case 'bundle':
        return this.applyBundle(offset, record);
      case 'term': {
        const {zone, author, baseTerm} = record;
        if (this.bundle === null) return false;
        if ((this.assigners.get(zone)?.term ?? 0) !== baseTerm) return false;
        this.assigners.set(zone, {vm: author, term: offset});
        return true;
      }
      case 'assign':
        return this.applyAssign(offset, record);
      case 'isolate':
        return this.applyIsolate(offset, record);
      case 'merge':
        return this.applyMerge(offset, record);
      case 'snapshot':
        return false;
    }
  }

  latest(shard: number): OwnershipPeriod | undefined {
    return this.ownerHistory.get(shard)?.at(-1);
  }

  shardOfKey(key: string): number {
    return this.keyShards.get(key) ?? shardOf(hasher, 'kv', key, SHARDS);
  }

  private applyBundle(
    offset: number,
    record: Extract<LogRecord, {kind: 'bundle'}>,
  ): boolean {
    const body = JSON.parse(record.signed.payload) as Bundle;
    const version = this.bundle?.version ?? 0;
    if (record.baseVersion !== version || body.version !== version + 1) {
      return false;
    }
    if (this.bundle === null) {
      for (let shard = 0; shard < SHARDS; shard += 1) {
        // New shards are divided among the zones of the service in turn.
        const zone = shard % 2 === 0 ? 'za' : 'zb';
        this.ownerHistory.set(shard, [{from: offset, server: null, zone}]);
      }
    }
    this.bundle = body;
    this.bundleOffset = offset;
    return true;
  }

  /**
   * Whether the author is the assigner of the shard's zone in the record's term
   * and had read the latest change of the shard and of the bundle.
   */
  private mayChange(record: AssignerRecord, shard: number): boolean {
    const holder = this.assigners.get(record.zone);
    const period = this.latest(shard);
    return (
      holder?.vm === record.author &&
      holder.term === record.term &&
      period !== undefined &&
      period.zone === record.zone &&
      period.from <= record.baseOffset &&
      this.bundleOffset <= record.baseOffset
    );
  }

  private applyAssign(
    offset: number,
    record: Extract<LogRecord, {kind: 'assign'}>,
  ): boolean {
    const isolatedShards = new Set(this.keyShards.values());
    for (const {shard, server} of record.changes) {
      if (shard >= SHARDS && !isolatedShards.has(shard)) return false;
      if (!this.mayChange(record, shard)) return false;
      if (server !== null && !this.isEligible(server)) return false;
    }
    for (const {shard, server} of record.changes) {
      const entry = this.bundle?.servers.find(({id}) => id === server);
      const zone = entry?.zone ?? this.latest(shard)!.zone;
      this.ownerHistory.get(shard)!.push({from: offset, server, zone});
    }
    return true;
  }

  private isEligible(id: string): boolean {
    const server = this.bundle?.servers.find(entry => entry.id === id);
    const batch = this.bundle?.batches.find(({id}) => id === server?.batch);
    return batch?.state === 'serving' && !this.bundle!.stopped.includes(id);
  }

  private applyIsolate(offset: number, record: AssignerRecord): boolean {
    // `apply` passes only `isolate` records, which have a key.
    const {key} = record as {key: string};
    const hashShard = shardOf(hasher, 'kv', key, SHARDS);
    if (this.keyShards.has(key) || !this.mayChange(record, hashShard))
      return false;
    const usedShards = [...this.keyShards.values()];
    // The lowest free number after those of the hash shards. Four are enough,
    // because the tests use four keys.
    const isolatedShard = [4, 5, 6, 7].find(
      shard => !usedShards.includes(shard),
    )!;
    const period = {...this.latest(hashShard)!, from: offset};
    this.ownerHistory.get(hashShard)!.push(period);
    this.ownerHistory.set(isolatedShard, [
      ...(this.ownerHistory.get(isolatedShard) ?? []),
      period,
    ]);
    this.keyShards.set(key, isolatedShard);
    return true;
  }

  private applyMerge(offset: number, record: AssignerRecord): boolean {
    // `apply` passes only `merge` records, which have a key.
    const {key} = record as {key: string};
    const isolatedShard = this.keyShards.get(key);
    const hashShard = shardOf(hasher, 'kv', key, SHARDS);
    if (isolatedShard === undefined) return false;
    if (
      !this.mayChange(record, isolatedShard) ||
      !this.mayChange(record, hashShard)
    ) {
      return false;
    }
    const [a, b] = [this.latest(isolatedShard)!, this.latest(hashShard)!];
    if (a.server !== b.server) return false;
    // The shard of a key that is no longer isolated has no owner.
    this.ownerHistory
      .get(isolatedShard)!
      .push({...a, from: offset, server: null});
    this.ownerHistory.get(hashShard)!.push({...b, from: offset});
    this.keyShards.delete(key);
    return true;
  }
}
