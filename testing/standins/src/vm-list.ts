/** Stand-in for the platform's VM list. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import * as z from 'zod';
import {
  HttpEndpoint,
  readJson,
  sendJson,
  type Address,
  type ListenOptions,
} from './utils/http-endpoint.js';

/** One VM as the platform lists it. */
export const vmSchema = z.strictObject({
  id: z.string(),
  role: z.enum(['entry', 'server']),
  zone: z.string(),
  /** `host:port`. */
  address: z.string(),
  state: z.enum(['live', 'leaving']),
});
export type Vm = z.infer<typeof vmSchema>;

/** Change through the control endpoint; what is absent stays as it is. */
export const vmListControlSchema = z
  .strictObject({
    vms: z.array(vmSchema),
    /** Time until a change of the list becomes visible. */
    lagMs: z.number().min(0),
    outage: z.boolean(),
  })
  .partial();
export type VmListControl = z.infer<typeof vmListControlSchema>;

/** Options of the VM list. */
export interface VmListOptions extends ListenOptions, Readonly<VmListControl> {}

/** VM list whose changes become visible after a lag. */
export class VmList {
  private readonly endpoint = new HttpEndpoint((request, response) =>
    this.handle(request, response),
  );
  private versions: {atMs: number; vms: readonly Vm[]}[];
  private lagMs: number;
  private outage: boolean;
  private reads = 0;

  constructor(private readonly options: VmListOptions = {}) {
    this.versions = [{atMs: -Infinity, vms: options.vms ?? []}];
    this.lagMs = options.lagMs ?? 0;
    this.outage = options.outage ?? false;
  }

  /** Starts to listen. */
  start(): Promise<Address> {
    return this.endpoint.start(this.options);
  }

  /** Stops listening. */
  close(): Promise<void> {
    return this.endpoint.close();
  }

  /** Changes the list or its faults. */
  applyChange(change: VmListControl): void {
    if (change.lagMs !== undefined) this.lagMs = change.lagMs;
    if (change.outage !== undefined) this.outage = change.outage;
    if (change.vms) {
      this.versions.push({atMs: performance.now(), vms: change.vms});
    }
  }

  /** The list as a reader sees it now. */
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
