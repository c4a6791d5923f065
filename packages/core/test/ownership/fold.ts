/**
 * In-memory log with a simplified `fold`, for the ownership tests. It applies
 * bundle, term and assign records and rejects all others; signatures, authors
 * and bundle versions are not checked.
 */
import {
  type AppendDraft,
  type Bundle,
  type RouterState,
  type ShardRow,
  type TermDraft,
} from '@wisteriarun/core';

/** Record of the test log; a bundle replaces the whole configuration. */
export type TestRecord =
  AppendDraft | TermDraft | {readonly kind: 'bundle'; readonly body: Bundle};

const EMPTY_STATE: RouterState = {
  offset: 0,
  bundle: null,
  terms: new Map(),
  services: new Map(),
};

/** Log that keeps the folded state at every offset. */
export class TestLog {
  /** All records; the index is the offset - 1. */
  readonly records: TestRecord[] = [];
  /** Whether each record was accepted; the index is the offset - 1. */
  readonly accepted: boolean[] = [];
  /** Folded state at each offset, from 0. */
  readonly states: RouterState[] = [EMPTY_STATE];

  append(record: TestRecord): number {
    const before = this.states.at(-1)!;
    const offset = this.records.push(record);
    const after = apply(before, record, offset);
    this.accepted.push(after !== null);
    this.states.push({...(after ?? before), offset});
    return offset;
  }

  get latest(): RouterState {
    return this.states.at(-1)!;
  }
}

function apply(
  state: RouterState,
  record: TestRecord,
  offset: number,
): RouterState | null {
  if (record.kind === 'bundle') return applyBundle(state, record.body, offset);
  const current = state.terms.get(record.zone)?.term ?? 0;
  if (record.kind === 'term') {
    if (record.baseTerm !== current) return null;
    const {zone, author: holder, authorZone: holderZone} = record;
    const term = {holder, holderZone, term: offset};
    return {...state, terms: new Map(state.terms).set(zone, term)};
  }
  if (record.term !== current || record.kind !== 'assign') return null;
  const services = new Map(state.services);
  const body = state.bundle!.body;
  if (record.baseOffset < state.bundle!.offset) return null;
  for (const change of record.changes) {
    const service = services.get(change.service)!;
    const row = service.rows[change.shard]!;
    const server = body.servers.find(s => s.id === change.server);
    const batch = body.batches.find(b => b.id === server?.batch);
    if (row.zone !== record.zone || record.baseOffset < row.epoch) return null;
    if (!server || batch?.state !== 'serving') return null;
    if (body.stopped.includes(server.id)) return null;
    const rows = [...service.rows];
    rows[change.shard] = {server: server.id, zone: server.zone, epoch: offset};
    services.set(change.service, {...service, rows});
  }
  return {...state, services};
}

function applyBundle(
  state: RouterState,
  body: Bundle,
  offset: number,
): RouterState {
  const services = new Map(state.services);
  for (const service of body.services) {
    if (services.has(service.id)) continue;
    const rows: ShardRow[] = Array.from({length: service.shards}, (_, n) => ({
      server: null,
      zone: body.zones[n % body.zones.length]!,
      epoch: offset,
    }));
    services.set(service.id, {rows, isolated: new Map()});
  }
  const signed = {payload: '', keyId: 'k', signature: ''};
  return {...state, bundle: {offset, author: 'op', signed, body}, services};
}

/** Options of a test bundle; `makeBundle` has the defaults. */
export interface BundleOptions {
  readonly zones?: readonly string[];
  readonly servers: readonly {
    readonly id: string;
    readonly zone?: string;
    /** `b2` by default. */
    readonly batch?: string;
    readonly slots?: number;
  }[];
  readonly shards?: number;
  readonly adoption?: 'hold' | 'lapse';
  readonly longestDeadlineMs?: number;
  /** Makes batch `b1` leave at this wall time; null keeps it serving. */
  readonly leaveAtMs?: number | null;
  readonly stopped?: readonly string[];
  readonly checksGrants?: boolean;
}

/** Builds a bundle with one service `svc` and batches `b1` and `b2`. */
export function makeBundle(options: BundleOptions): Bundle {
  const leaveAtMs = options.leaveAtMs ?? null;
  return {
    deployment: 'test',
    version: 1,
    zones: [...(options.zones ?? ['z1'])],
    services: [
      {
        id: 'svc',
        shards: options.shards ?? 8,
        adoption: options.adoption ?? 'hold',
        longestDeadlineMs: options.longestDeadlineMs ?? 10_000,
        maxBodyBytes: 1024,
      },
    ],
    batches: [
      leaveAtMs === null
        ? {id: 'b1', state: 'serving'}
        : {id: 'b1', state: 'leaving', leaveAtMs},
      {id: 'b2', state: 'serving'},
    ],
    servers: options.servers.map(s => ({
      id: s.id,
      service: 'svc',
      batch: s.batch ?? 'b2',
      zone: s.zone ?? 'z1',
      host: '127.0.0.1',
      port: 1,
      slots: s.slots ?? 4,
      connections: 130,
      checksGrants: options.checksGrants ?? true,
    })),
    stopped: [...(options.stopped ?? [])],
    signers: [{keyId: 'k', publicKey: 'p'}],
  };
}
