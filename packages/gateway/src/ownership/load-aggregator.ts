/** Estimates of the load of keys and the capacity of servers. */
import {KeyLoadMap, ServerSpeeds} from '@wisteriarun/core';
import type {
  GatewayMessage,
  GatewayServer,
  PlannedServer,
} from '@wisteriarun/core';

/** Time after which the weight of a load sample has halved. */
const LOAD_HALF_LIFE_MS = 1_500;
/** Speed of a server while it warms up, as a share of its later speed. */
const COLD_SPEED = 0.5;
const MS_PER_S = 1_000;

/** Aggregates the load reports of all VMs. */
export class LoadAggregator {
  readonly #speeds = new ServerSpeeds();
  readonly #loads = new Map<string, KeyLoadMap>();

  /** Names of the services in the reports or in earlier calls of `of`. */
  get services(): Iterable<string> {
    return this.#loads.keys();
  }

  /**
   * Adds a report.
   *
   * @param report - Report of a VM.
   * @param nowMs - Monotonic time.
   */
  add(report: Extract<GatewayMessage, {kind: 'load'}>, nowMs: number): void {
    for (const {service, samples} of report.loads) {
      const load = this.of(service);
      // Each key is followed by the milliseconds of work of its requests.
      for (let at = 0; at + 1 < samples.length; at += 2) {
        const key = samples[at]!;
        if (Number.isInteger(key)) load.add(key, samples[at + 1]!);
      }
    }
    for (const {server, expectedMs, actualMs} of report.paces) {
      this.#speeds.add(server, expectedMs, actualMs, nowMs);
    }
  }

  /**
   * Returns the load of a service's keys.
   *
   * @param service - Name of the service.
   * @returns The load; empty for a service without reports.
   */
  of(service: string): KeyLoadMap {
    let load = this.#loads.get(service);
    if (load === undefined) {
      load = new KeyLoadMap(LOAD_HALF_LIFE_MS);
      this.#loads.set(service, load);
    }
    return load;
  }

  /**
   * Estimates the capacity of a server.
   *
   * @param server - The server.
   * @returns The server with its capacity in milliseconds of work per second.
   */
  plannedServer(server: GatewayServer): PlannedServer {
    const speed = this.#speeds.of(server.id);
    const warmUpFactor = server.warmupLeftMs > 0 ? COLD_SPEED : 1;
    return {
      id: server.id,
      capacity: server.slots * MS_PER_S * speed * warmUpFactor,
    };
  }
}
