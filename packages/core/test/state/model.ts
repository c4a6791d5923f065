/** Independent statement of the acceptance rules, for the property tests. */
import {
  createHasher,
  shardOf,
  type Bundle,
  type LogRecord,
} from '@wisteriarun/core';

const hasher = await createHasher();

export const SHARDS = 4;

/** A shard's owner from one offset on. */
interface Tenure {
  readonly from: number;
  readonly server: string | null;
  readonly zone: string;
}

type AssignerRecord = Extract<LogRecord, {baseOffset: number}>;

/**
 * Keeps the whole history of owners and decides by it. It expects bundles
 * with one service `kv` and the zones `za` and `zb`.
 */
export class Model {
  bundle: Bundle | null = null;
  bundleOffset = 0;
  readonly holders = new Map<string, {vm: string; term: number}>();
  readonly tenures = new Map<number, Tenure[]>();
  readonly ownShards = new Map<string, number>();

  /** Applies the record when it is valid; tells whether it was. */
  apply(offset: number, record: LogRecord): boolean {
    switch (record.kind) {
      case 'bundle':
        return this.applyBundle(offset, record);
      case 'term': {
        const {zone, author, baseTerm} = record;
        if (this.bundle === null) return false;
        if ((this.holders.get(zone)?.term ?? 0) !== baseTerm) return false;
        this.holders.set(zone, {vm: author, term: offset});
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

  latest(shard: number): Tenure | undefined {
    return this.tenures.get(shard)?.at(-1);
  }

  shardOfKey(key: string): number {
    return this.ownShards.get(key) ?? shardOf(hasher, 'kv', key, SHARDS);
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
        const zone = shard % 2 === 0 ? 'za' : 'zb';
        this.tenures.set(shard, [{from: offset, server: null, zone}]);
      }
    }
    this.bundle = body;
    this.bundleOffset = offset;
    return true;
  }

  private mayChange(record: AssignerRecord, shard: number): boolean {
    const holder = this.holders.get(record.zone);
    const tenure = this.latest(shard);
    return (
      holder?.vm === record.author &&
      holder.term === record.term &&
      tenure !== undefined &&
      tenure.zone === record.zone &&
      tenure.from <= record.baseOffset &&
      this.bundleOffset <= record.baseOffset
    );
  }

  private applyAssign(
    offset: number,
    record: Extract<LogRecord, {kind: 'assign'}>,
  ): boolean {
    const used = new Set(this.ownShards.values());
    for (const {shard, server} of record.changes) {
      if (shard >= SHARDS && !used.has(shard)) return false;
      if (!this.mayChange(record, shard)) return false;
      if (server !== null && !this.mayOwn(server)) return false;
    }
    for (const {shard, server} of record.changes) {
      const entry = this.bundle?.servers.find(({id}) => id === server);
      const zone = entry?.zone ?? this.latest(shard)!.zone;
      this.tenures.get(shard)!.push({from: offset, server, zone});
    }
    return true;
  }

  private mayOwn(id: string): boolean {
    const server = this.bundle?.servers.find(entry => entry.id === id);
    const batch = this.bundle?.batches.find(({id}) => id === server?.batch);
    return batch?.state === 'serving' && !this.bundle!.stopped.includes(id);
  }

  private applyIsolate(offset: number, record: AssignerRecord): boolean {
    const {key} = record as {key: string};
    const hash = shardOf(hasher, 'kv', key, SHARDS);
    if (this.ownShards.has(key) || !this.mayChange(record, hash)) return false;
    const used = [...this.ownShards.values()];
    const own = [4, 5, 6, 7].find(shard => !used.includes(shard))!;
    const tenure = {...this.latest(hash)!, from: offset};
    this.tenures.get(hash)!.push(tenure);
    this.tenures.set(own, [...(this.tenures.get(own) ?? []), tenure]);
    this.ownShards.set(key, own);
    return true;
  }

  private applyMerge(offset: number, record: AssignerRecord): boolean {
    const {key} = record as {key: string};
    const own = this.ownShards.get(key);
    const hash = shardOf(hasher, 'kv', key, SHARDS);
    if (own === undefined) return false;
    if (!this.mayChange(record, own) || !this.mayChange(record, hash)) {
      return false;
    }
    const [a, b] = [this.latest(own)!, this.latest(hash)!];
    if (a.server !== b.server) return false;
    this.tenures.get(own)!.push({...a, from: offset, server: null});
    this.tenures.get(hash)!.push({...b, from: offset});
    this.ownShards.delete(key);
    return true;
  }
}
