/** Load imbalance between the servers of a zone, measured at its assigner. */
import type {Server, ServerLoad} from '@wisteriarun/core';
import type {Clock, Gauge, Metrics} from '@wisteriarun/runtime';

/**
 * Minimum length of the window over which load reports are averaged. A window
 * ends at the first report or read of the metrics after this time.
 */
export const IMBALANCE_WINDOW_MS = 10_000;

/** Sum of the load reports of one server in the current window. */
interface LoadSum {
  readonly zone: string;
  readonly service: string;
  busySlots: number;
  reports: number;
  readonly slots: number;
}

/** Dependencies of the meter. */
export interface ImbalanceOptions {
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly server: (id: string) => Server | null;
  /** Whether this VM is the assigner of a zone. */
  readonly isAssigner: (zone: string) => boolean;
}

/** Computes, per window, the largest busy share of a server over the mean. */
export class ImbalanceMeter {
  private readonly gauge: Gauge;
  private sums = new Map<string, LoadSum>();
  private windowStartMs: number;

  /**
   * @param options - Dependencies.
   */
  constructor(private readonly options: ImbalanceOptions) {
    this.windowStartMs = options.clock.monotonicMs();
    this.gauge = options.metrics.gauge(
      'wisteriarun_imbalance_ratio',
      'Largest busy share of slots of a server over the mean of the servers ' +
        'of its service and zone, in the latest complete window of load ' +
        `reports (${IMBALANCE_WINDOW_MS} ms); only at the zone's assigner.`,
    );
    options.metrics.onRender(() => this.closeWindowIfDue());
  }

  /**
   * Adds a load report; servers of zones that this VM does not assign are
   * ignored.
   *
   * @param loads - Loads that one dispatcher reported.
   */
  addReport(loads: readonly ServerLoad[]): void {
    this.closeWindowIfDue();
    const {server: findServer, isAssigner} = this.options;
    for (const {server: id, busySlots} of loads) {
      const server = findServer(id);
      if (!server || !isAssigner(server.zone)) continue;
      const {zone, service, slots} = server;
      const sum = this.sums.get(id) ?? {
        zone,
        service,
        slots,
        busySlots: 0,
        reports: 0,
      };
      sum.busySlots += busySlots;
      sum.reports += 1;
      this.sums.set(id, sum);
    }
  }

  private closeWindowIfDue(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.windowStartMs < IMBALANCE_WINDOW_MS) return;
    this.windowStartMs = nowMs;
    const groups = new Map<
      string,
      {zone: string; service: string; shares: number[]}
    >();
    for (const {
      zone,
      service,
      busySlots,
      reports,
      slots,
    } of this.sums.values()) {
      const id = `${zone} ${service}`;
      const group = groups.get(id) ?? {zone, service, shares: []};
      group.shares.push(busySlots / reports / slots);
      groups.set(id, group);
    }
    this.sums = new Map();
    this.gauge.clear();
    for (const {zone, service, shares} of groups.values()) {
      const mean =
        shares.reduce((sum, share) => sum + share, 0) / shares.length;
      if (mean === 0) continue;
      this.gauge.set(Math.max(...shares) / mean, {zone, service});
    }
  }
}
