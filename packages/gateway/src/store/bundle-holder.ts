/** Holds the bundle that is in force at this VM. */
import {describeError, RouteIndex, WeightedRotation} from '@wisteriarun/core';
import type {
  GatewayBundle,
  GatewayCodec,
  GatewayRoute,
  GatewayService,
} from '@wisteriarun/core';
import {Channel} from '@wisteriarun/runtime';
import type {Logger} from '@wisteriarun/runtime';
import type {FollowEvent, LogFollower} from './log-follower.js';

/** Adopts bundles from the log; ignores versions that are not newer. */
export class BundleHolder {
  readonly #changes = new Channel<GatewayBundle>();
  #bundle: GatewayBundle | null = null;
  #routes: RouteIndex | null = null;
  #services = new Map<string, GatewayService>();
  #rotations = new Map<string, WeightedRotation>();

  /**
   * @param follower - Reads the log of bundles.
   * @param codec - Decodes its records.
   * @param logger - Receives adopted and malformed bundles.
   */
  constructor(
    follower: LogFollower,
    private readonly codec: GatewayCodec,
    private readonly logger: Logger,
  ) {
    void follower.events.observe(event => this.#apply(event));
  }

  /** The bundle in force; null before the first was read. */
  get bundle(): GatewayBundle | null {
    return this.#bundle;
  }

  /** Emits every bundle that is adopted. */
  get changes(): Channel<GatewayBundle> {
    return this.#changes;
  }

  /**
   * Finds the route of a request.
   *
   * @param host - Host header.
   * @param target - Path with an optional query.
   * @returns The route, or null when none matches.
   */
  route(host: string, target: string): GatewayRoute | null {
    return this.#routes?.find(host, target) ?? null;
  }

  /**
   * Finds a service.
   *
   * @param name - Name of the service.
   * @returns The service, or null when the bundle has none of that name.
   */
  service(name: string): GatewayService | null {
    return this.#services.get(name) ?? null;
  }

  /**
   * Chooses the service of the next request on a route.
   *
   * @param route - Route of the bundle in force.
   * @returns Name of the service, or null when no part of the route has weight.
   * The only part of a route is chosen whatever its weight.
   */
  nextService(route: GatewayRoute): string | null {
    const [only] = route.parts;
    if (route.parts.length === 1 && only !== undefined) return only.service;
    let rotation = this.#rotations.get(route.name);
    if (rotation === undefined) {
      // A random start, so that VMs do not choose the same part at the same time.
      rotation = new WeightedRotation(route.parts, Math.random());
      this.#rotations.set(route.name, rotation);
    }
    return rotation.next();
  }

  /** Ends the stream of changes. */
  close(): void {
    this.#changes.close();
  }

  #apply(event: FollowEvent): void {
    // An image holds the newest record of every key, `records` the later ones.
    if (event.kind !== 'image' && event.kind !== 'records') return;
    for (const {key, value, offset} of event.records) {
      // Deleting the record does not withdraw the bundle in force.
      if (value === null) continue;
      const decoded = this.codec.bundle(key, value);
      if (decoded.isErr) {
        this.logger.warn('bundle-refused', {
          cause: describeError(decoded.error),
        });
      } else if (decoded.value !== null) {
        // Null stands for a record that holds no bundle.
        this.#adopt(decoded.value, offset);
      }
    }
  }

  #adopt(bundle: GatewayBundle, offset: number): void {
    if (this.#bundle !== null && bundle.version <= this.#bundle.version) return;
    this.#bundle = bundle;
    this.#routes = new RouteIndex(bundle);
    this.#services = new Map(
      bundle.services.map(service => [service.name, service]),
    );
    this.#rotations = new Map();
    for (const detail of bundle.warnings) {
      this.logger.warn('bundle-warning', {version: bundle.version, detail});
    }
    this.logger.info('bundle-adopted', {
      version: bundle.version,
      offset,
      routes: bundle.routes.length,
      services: bundle.services.length,
    });
    this.#changes.emit(bundle);
  }
}
