/** Sends the loads that this VM saw to the assigners of the servers' zones. */
import type {PeerMessage, RouterState, ServerLoad} from '@wisteriarun/core';

/** Interval between two load reports. */
export const LOAD_REPORT_INTERVAL_MS = 1_000;

/** Parts that the reporter uses. */
export interface LoadReporterOptions {
  readonly vm: string;
  readonly state: () => RouterState;
  readonly zoneOf: (server: string) => string | null;
  readonly loads: () => readonly ServerLoad[];
  readonly send: (vm: string, message: PeerMessage) => void;
}

/**
 * Sends one report to each assigner concerned.
 *
 * @param options - Parts to use.
 */
export function reportLoads(options: LoadReporterOptions): void {
  const {vm, state, zoneOf, loads, send} = options;
  const {terms} = state();
  const loadsByHolder = new Map<string, ServerLoad[]>();
  for (const load of loads()) {
    const holder = terms.get(zoneOf(load.server) ?? '')?.holder;
    if (holder === undefined) continue;
    const servers = loadsByHolder.get(holder) ?? [];
    servers.push(load);
    loadsByHolder.set(holder, servers);
  }
  for (const [holder, servers] of loadsByHolder) {
    send(holder, {kind: 'load-report', vm, servers});
  }
}
