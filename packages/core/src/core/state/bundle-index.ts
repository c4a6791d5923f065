/** Lookups within a bundle. */
import type {Bundle, Server, Service} from '../../types/bundle.js';

/** Parts of one bundle by id. */
export interface BundleIndex {
  readonly services: ReadonlyMap<string, Service>;
  readonly servers: ReadonlyMap<string, Server>;
  readonly leavingBatches: ReadonlySet<string>;
  readonly stopped: ReadonlySet<string>;
  readonly zones: ReadonlySet<string>;
}

// A bundle never changes once parsed, so its index is built once.
const indexByBundle = new WeakMap<Bundle, BundleIndex>();

/**
 * Gives the lookups of a bundle.
 *
 * @param bundle - Parsed bundle.
 * @returns The index, the same for each call with the same bundle.
 */
export function bundleIndexOf(bundle: Bundle): BundleIndex {
  const cached = indexByBundle.get(bundle);
  if (cached !== undefined) return cached;
  const leaving = bundle.batches.filter(batch => batch.state === 'leaving');
  const index: BundleIndex = {
    services: new Map(bundle.services.map(service => [service.id, service])),
    servers: new Map(bundle.servers.map(server => [server.id, server])),
    leavingBatches: new Set(leaving.map(batch => batch.id)),
    stopped: new Set(bundle.stopped),
    zones: new Set(bundle.zones),
  };
  indexByBundle.set(bundle, index);
  return index;
}

/**
 * Gives the zones among which a service's shards are divided at first.
 *
 * @param bundle - Parsed bundle.
 * @param service - Id of the service.
 * @returns The bundle's zones with servers of the service, in the bundle's
 * order; all zones when the service has no server.
 */
export function zonesOfService(
  bundle: Bundle,
  service: string,
): readonly string[] {
  const zones = new Set(
    bundle.servers
      .filter(server => server.service === service)
      .map(server => server.zone),
  );
  if (zones.size === 0) return bundle.zones;
  return bundle.zones.filter(zone => zones.has(zone));
}
