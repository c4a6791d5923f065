/**
 * Model of an entry VM that dispatches for servers that do not check grants. It
 * implements the rules for entry VMs independently of the assigner's code.
 */
import {
  shardKey,
  type Fence,
  type PeerMessageOf,
  type RouterState,
} from '@wisteriarun/core';

type Permission = PeerMessageOf<'permission'>;
type Table = PeerMessageOf<'dispatch-table'>;

/** A shard and the server to which requests for it may be sent. */
export interface ServerShard {
  readonly server: string;
  readonly shard: string;
}

const isSame = (a: Fence, b: Fence) => a.term === b.term && a.seq === b.seq;
const drainKey = ({server, shard}: ServerShard) => `${server} ${shard}`;

/** Permissions, dispatch table, drains, stops and requests of one entry VM. */
export class ModelEntry {
  private readonly permissions = new Map<string, Permission>();
  private table: Table | null = null;
  private readonly rows = new Map<
    string,
    {dispatcher: string; fence: Fence; term: number}
  >();
  private readonly drains = new Map<
    string,
    {term: number; offset: number; shard: string}
  >();
  private readonly stops = new Map<string, {fence: Fence; term: number}>();
  private inFlight: (ServerShard & {endsAtMs: number})[] = [];
  private pendingConfirmations: {isOver: () => boolean; confirm: () => void}[] =
    [];

  constructor(private readonly vm: string) {}

  get latestTable(): Table | null {
    return this.table;
  }

  /** Returns false when the permission is refused, which gets no answer. */
  handlePermission(message: Permission, folded: RouterState): boolean {
    if (message.term < termOf(folded)) return false;
    const known = this.permissions.get(message.server);
    if (known && message.term < known.term) return false;
    this.permissions.set(message.server, message);
    return true;
  }

  handleTable(table: Table): void {
    const known = this.table;
    const isNewer =
      !known ||
      table.term > known.term ||
      (table.term === known.term && table.version > known.version);
    if (!isNewer) return;
    this.table = table;
    for (const {server, dispatcher, fence} of table.rows) {
      const before = this.rows.get(server);
      this.rows.set(server, {dispatcher, fence, term: table.term});
      if (before && isSame(before.fence, fence)) continue;
      for (const key of this.drains.keys()) {
        if (key.startsWith(`${server} `)) this.drains.delete(key);
      }
    }
  }

  /** Confirms once no request for the shards is in flight at this VM. */
  handleDrain(
    message: PeerMessageOf<'shard-drain'>,
    folded: RouterState,
    confirm: () => void,
  ): void {
    const {server, service, term, drain} = message;
    if (term < termOf(folded)) return;
    const affected = message.shards
      .map(shard => ({server, shard: shardKey({service, shard})}))
      .filter(({shard}) => epochOf(folded, shard) <= message.offset);
    if (affected.length === 0) return;
    // A VM that is not the dispatcher stores no drain, but confirms.
    const isDispatcher = this.rows.get(server)?.dispatcher === this.vm;
    for (const serverShard of affected) {
      if (!drain) this.drains.delete(drainKey(serverShard));
      else if (isDispatcher) {
        const {offset} = message;
        this.drains.set(drainKey(serverShard), {
          term,
          offset,
          shard: serverShard.shard,
        });
      }
    }
    if (!drain) return;
    const shards = new Set(affected.map(t => t.shard));
    this.confirmWhen(
      () =>
        !this.inFlight.some(r => r.server === server && shards.has(r.shard)),
      confirm,
    );
  }

  /** Confirms once this VM has no request in flight to the server. */
  handleStop(
    {server, term, fence}: PeerMessageOf<'dispatch-stop'>,
    folded: RouterState,
    confirm: () => void,
  ): void {
    if (term < termOf(folded)) return;
    this.stops.set(server, {fence, term});
    this.confirmWhen(
      () => !this.inFlight.some(r => r.server === server),
      confirm,
    );
  }

  /** Removes drains that belong to an older term or an older epoch. */
  onFolded(folded: RouterState): void {
    for (const [key, {term, offset, shard}] of this.drains) {
      const isCurrent =
        term >= termOf(folded) && epochOf(folded, shard) <= offset;
      if (!isCurrent) this.drains.delete(key);
    }
  }

  /** Shards for which this VM may send requests at a time of its clock. */
  sendable(clockMs: number, folded: RouterState): ServerShard[] {
    const result: ServerShard[] = [];
    for (const [server, row] of this.rows) {
      const permission = this.permissions.get(server);
      if (row.dispatcher !== this.vm || !permission) continue;
      const stop = this.stops.get(server);
      // A new assigner may keep the fence; its table then overrides a stop of an
      // earlier term.
      if (stop && row.term <= stop.term && isSame(stop.fence, row.fence)) {
        continue;
      }
      if (clockMs >= permission.expiresAtMs) continue;
      if (!isSame(permission.fence, row.fence)) continue;
      for (const grant of permission.grants) {
        const owner = folded.services.get(grant.service)?.rows[grant.shard];
        const serverShard = {server, shard: shardKey(grant)};
        if (owner?.server !== server || owner.epoch !== grant.epoch) continue;
        if (!this.drains.has(drainKey(serverShard))) result.push(serverShard);
      }
    }
    return result;
  }

  start(serverShard: ServerShard, endsAtMs: number): void {
    this.inFlight.push({...serverShard, endsAtMs});
  }

  /** Removes finished requests and sends confirmations that waited for them. */
  endRequests(t: number): void {
    this.inFlight = this.inFlight.filter(r => r.endsAtMs > t);
    const over = this.pendingConfirmations.filter(w => w.isOver());
    this.pendingConfirmations = this.pendingConfirmations.filter(
      w => !over.includes(w),
    );
    for (const {confirm} of over) confirm();
  }

  private confirmWhen(isOver: () => boolean, confirm: () => void): void {
    if (isOver()) confirm();
    else this.pendingConfirmations.push({isOver, confirm});
  }
}

const termOf = (state: RouterState) => state.terms.get('z1')?.term ?? 0;

function epochOf(state: RouterState, key: string): number {
  const [service, shard] = key.split('/');
  return state.services.get(service!)?.rows[Number(shard)]?.epoch ?? 0;
}
