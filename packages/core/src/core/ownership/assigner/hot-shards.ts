/** Finds the keys that are to be isolated. */
import type {ServerLoad} from '../../../types/index.js';
import type {AppendDraft} from '../assigner-types.js';
import {HotKeyWatch, type HotKey} from '../placement.js';
import type {AssignerState, View} from './state.js';

/** Most isolated keys per service. */
const MAX_ISOLATED_KEYS = 256;

/** Hot keys by server, from the dispatchers' reports. */
export class HotShards {
  private readonly watch = new HotKeyWatch();
  private readonly hot = new Map<string, HotKey[]>();
  private fresh = new Map<string, ServerLoad>();

  /**
   * @param state - State of the term.
   */
  constructor(private readonly state: AssignerState) {}

  /**
   * Takes a report for the next step.
   *
   * @param load - Report of the present dispatcher.
   */
  note(load: ServerLoad): void {
    this.fresh.set(load.server, load);
  }

  /**
   * Evaluates the reports since the last step.
   *
   * @param nowMs - Own monotonic time.
   */
  update(nowMs: number): void {
    for (const [id, load] of this.fresh) {
      const slot = this.state.slots.get(id);
      if (!slot) continue;
      this.hot.set(id, this.watch.note(load, slot.server.slots, nowMs));
    }
    this.fresh.clear();
  }

  /**
   * Finds one key to isolate.
   *
   * @param view - Inputs of the step.
   * @returns Record and the shard's epoch before it, or null.
   */
  next(view: View): {record: AppendDraft; hot: HotKey} | null {
    const hot = [...this.hot.values()]
      .flat()
      .find(candidate => this.mayIsolate(view, candidate));
    if (!hot) return null;
    const {vm, zone, term} = this.state.options;
    const {service, key} = hot;
    const baseOffset = view.state.offset;
    const common = {author: vm, zone, term, baseOffset, service, key};
    return {record: {kind: 'isolate', ...common}, hot};
  }

  private mayIsolate(view: View, {service, shard, key}: HotKey): boolean {
    const state = view.state.services.get(service);
    const body = view.state.bundle?.body.services.find(s => s.id === service);
    if (!state || !body || shard >= body.shards) return false;
    if (state.rows[shard]?.zone !== this.state.zone) return false;
    if (this.state.moves.get({service, shard})) return false;
    return !state.isolated.has(key) && state.isolated.size < MAX_ISOLATED_KEYS;
  }
}
