/** Reports the server loads measured on this VM to the assigners. */
import type {PeerMessage, RouterState, ServerLoad} from '@wisteriarun/core';

/** Interval between two load reports. */
export const LOAD_REPORT_INTERVAL_MS = 1_000;

/** Dependencies of the load reporter. */
export interface LoadReporterOptions {
  /** Instance id of this process. */
  readonly vm: string;
  readonly state: () => RouterState;
  readonly zoneOf: (server: string) => string | null;
  readonly loads: () => readonly ServerLoad[];
  readonly send: (vm: string, message: PeerMessage) => void;
}

/**
 * Sends each assigner one report with the loads of the servers in its zones.
 *
 * @param options - Dependencies.
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
