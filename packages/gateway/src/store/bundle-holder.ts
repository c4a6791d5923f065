/** Holds the bundle that is in force at this VM. */
import {
  applyBundleDelta,
  describeError,
  RouteIndex,
  WeightedRotation,
} from '@wisteriarun/core';
import type {
  BundleDelta,
  GatewayBundle,
  GatewayCodec,
  GatewayRoute,
  GatewayService,
  KeyedRecord,
} from '@wisteriarun/core';
import {Channel} from '@wisteriarun/runtime';
import type {Logger} from '@wisteriarun/runtime';
import type {FollowEvent, LogFollower} from './log-follower.js';

/** Limit on the deltas that wait for the bundle they apply to. */
const MAX_PENDING_DELTAS = 64;

/** A bundle that has come into force. */
export interface BundleAdoption {
  readonly bundle: GatewayBundle;
  /** The bundle before; null for the first. */
  readonly former: GatewayBundle | null;
  /** Offset of the record of the bundle. */
  readonly offset: number;
}

/**
 * Adopts bundles from the log, and deltas of them from the assigner; ignores versions
 * that are not newer.
 */
export class BundleHolder {
  readonly #changes = new Channel<BundleAdoption>();
  #bundle: GatewayBundle | null = null;
  #routes: RouteIndex | null = null;
  #services = new Map<string, GatewayService>();
  #rotations = new Map<string, WeightedRotation>();
  /** Deltas of bundles that this VM does not have yet. */
  #pendingDeltas: BundleDelta[] = [];

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
  get changes(): Channel<BundleAdoption> {
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

  /**
   * Adopts a delta that another VM has found. If this VM does not have the bundle to
   * which it applies, the delta waits for that.
   *
   * @param delta - The delta.
   */
  applyDelta(delta: BundleDelta): void {
    this.#pendingDeltas.push(delta);
    if (this.#pendingDeltas.length > MAX_PENDING_DELTAS) {
      this.#pendingDeltas.shift();
    }
    this.#applyPendingDeltas();
  }

  /** Ends the stream of changes. */
  close(): void {
    this.#changes.close();
  }

  #apply(event: FollowEvent): void {
    // An image holds the newest record of every key, `records` the later ones.
    if (event.kind !== 'image' && event.kind !== 'records') return;
    // Only the newest bundle matters, and decoding a large one takes long.
    for (const record of [...event.records].reverse()) {
      if (this.#adoptRecord(record)) break;
    }
    this.#applyPendingDeltas();
  }

  /** Returns whether the record holds a bundle, which was adopted if it is newer. */
  #adoptRecord({key, value, offset}: KeyedRecord): boolean {
    // Deleting the record does not withdraw the bundle in force.
    if (value === null) return false;
    const decoded = this.codec.bundle(key, value);
    if (decoded.isErr) {
      this.logger.warn('bundle-refused', {
        cause: describeError(decoded.error),
      });
      return false;
    }
    // Null stands for a record that holds no bundle.
    if (decoded.value === null) return false;
    this.#adopt(decoded.value, offset);
    return true;
  }

  #applyPendingDeltas(): void {
    for (;;) {
      const bundle = this.#bundle;
      if (bundle === null) return;
      const delta = this.#pendingDeltas.find(
        ({baseVersion}) => baseVersion === bundle.version,
      );
      if (delta === undefined) break;
      this.#adopt(applyBundleDelta(bundle, delta), delta.offset);
    }
    const version = this.#bundle?.version ?? 0;
    this.#pendingDeltas = this.#pendingDeltas.filter(
      delta => delta.version > version,
    );
  }

  #adopt(bundle: GatewayBundle, offset: number): void {
    const former = this.#bundle;
    if (former !== null && bundle.version <= former.version) return;
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
    this.#changes.emit({bundle, former, offset});
  }
}
