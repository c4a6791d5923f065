/** Stand-in for the platform's VM list, read over HTTP. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import * as z from 'zod';
import {
  HttpEndpoint,
  readJson,
  sendJson,
  type Address,
  type ListenOptions,
} from './utils/http-endpoint.js';

/** An entry of the VM list, as the platform publishes it. */
export const vmSchema = z.strictObject({
  id: z.string(),
  role: z.enum(['entry', 'server']),
  zone: z.string(),
  /** Address in the form `host:port`. */
  address: z.string(),
  state: z.enum(['live', 'leaving']),
});
/** A parsed entry of the VM list. */
export type Vm = z.infer<typeof vmSchema>;

/** A change through the control endpoint; absent fields keep their value. */
export const vmListControlSchema = z
  .strictObject({
    vms: z.array(vmSchema),
    /** Delay until a change of the list becomes visible to readers. */
    lagMs: z.number().min(0),
    /** Whether reads of the list are answered with 503. */
    outage: z.boolean(),
  })
  .partial();
/** A parsed change of the VM list. */
export type VmListControl = z.infer<typeof vmListControlSchema>;

/** Options of the VM list: its address, first list and faults. */
export interface VmListOptions extends ListenOptions, Readonly<VmListControl> {}

/**
 * A VM list whose changes become visible after a configurable delay, as with
 * an eventually consistent platform API.
 */
export class VmList {
  private readonly endpoint = new HttpEndpoint((request, response) =>
    this.handle(request, response),
  );
  /** All lists that were set, each with its time, oldest first. */
  private versions: {atMs: number; vms: readonly Vm[]}[];
  private lagMs: number;
  private outage: boolean;
  private reads = 0;

  /**
   * @param options - Address, first list and faults; all optional.
   */
  constructor(private readonly options: VmListOptions = {}) {
    this.versions = [{atMs: -Infinity, vms: options.vms ?? []}];
    this.lagMs = options.lagMs ?? 0;
    this.outage = options.outage ?? false;
  }

  /**
   * Starts to listen.
   *
   * @returns The address on which the list is served.
   */
  start(): Promise<Address> {
    return this.endpoint.start(this.options);
  }

  /** Stops listening and destroys every connection. */
  close(): Promise<void> {
    return this.endpoint.close();
  }

  /**
   * Changes the list or its faults.
   *
   * @param change - Fields to replace; absent fields keep their value.
   */
  applyChange(change: VmListControl): void {
    if (change.lagMs !== undefined) this.lagMs = change.lagMs;
    if (change.outage !== undefined) this.outage = change.outage;
    if (change.vms) {
      this.versions.push({atMs: performance.now(), vms: change.vms});
    }
  }

  /**
   * Returns the list that a reader sees now.
   *
   * @returns The newest list that was set at least `lagMs` ago.
   */
  visibleVms(): readonly Vm[] {
    const atMs = performance.now() - this.lagMs;
    return this.versions.findLast(version => version.atMs <= atMs)!.vms;
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === '/control') {
      if (request.method === 'POST') {
        this.applyChange(vmListControlSchema.parse(await readJson(request)));
      }
      return sendJson(response, 200, {
        vms: this.versions.at(-1)!.vms,
        lagMs: this.lagMs,
        outage: this.outage,
        reads: this.reads,
      });
    }
    if (request.url !== '/vms' || request.method !== 'GET') {
      return sendJson(response, 404, {error: 'unknown path'});
    }
    if (this.outage) return sendJson(response, 503, {error: 'outage'});
    this.reads++;
    sendJson(response, 200, {vms: this.visibleVms()});
  }
}
