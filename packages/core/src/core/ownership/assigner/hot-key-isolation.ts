/** Finds hot keys to isolate, that is, to give a shard of their own. */
import type {ServerLoad} from '../../../types/index.js';
import type {AppendDraft} from '../assigner-types.js';
import {HotKeyDetector, type HotKey} from '../placement.js';
import type {AssignerState, StepView} from './state.js';

/** Largest number of isolated keys per service. */
const MAX_ISOLATED_KEYS = 256;

/** Selects keys to isolate from the load reports of the dispatchers. */
export class HotKeyIsolation {
  private readonly detector = new HotKeyDetector();
  /** Hot keys by server, according to its latest load report. */
  private readonly hot = new Map<string, HotKey[]>();
  private newReports = new Map<string, ServerLoad>();

  /**
   * @param state - State of the term.
   */
  constructor(private readonly state: AssignerState) {}

  /**
   * Stores a load report until the next step evaluates it.
   *
   * @param load - Load of one server, as its current dispatcher reported it.
   */
  addReport(load: ServerLoad): void {
    this.newReports.set(load.server, load);
  }

  /**
   * Updates the hot keys from the reports that arrived since the last step.
   *
   * @param nowMs - Time on this VM's monotonic clock.
   */
  evaluateReports(nowMs: number): void {
    for (const [id, load] of this.newReports) {
      const tracked = this.state.trackedServers.get(id);
      if (!tracked) continue;
      this.hot.set(
        id,
        this.detector.evaluate(load, tracked.server.slots, nowMs),
      );
    }
    this.newReports.clear();
  }

  /**
   * Finds one key to isolate.
   *
   * @param view - Inputs of the step.
   * @returns Record to append and the hot key, or null when there is none.
   */
  nextIsolation(view: StepView): {record: AppendDraft; hot: HotKey} | null {
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

  private mayIsolate(view: StepView, {service, shard, key}: HotKey): boolean {
    const state = view.state.services.get(service);
    const body = view.state.bundle?.body.services.find(s => s.id === service);
    if (!state || !body || shard >= body.shards) return false;
    if (state.rows[shard]?.zone !== this.state.zone) return false;
    if (this.state.moves.get({service, shard})) return false;
    return !state.isolated.has(key) && state.isolated.size < MAX_ISOLATED_KEYS;
  }
}
