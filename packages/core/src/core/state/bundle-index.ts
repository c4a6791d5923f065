/** Index of a bundle for lookups by id. */
import type {Bundle, Server, Service} from '../../types/bundle.js';

/** Entries of one bundle by id. */
export interface BundleIndex {
  readonly services: ReadonlyMap<string, Service>;
  readonly servers: ReadonlyMap<string, Server>;
  readonly leavingBatches: ReadonlySet<string>;
  readonly stopped: ReadonlySet<string>;
  readonly zones: ReadonlySet<string>;
}

// A parsed bundle is immutable, so its index is built once and cached.
const indexByBundle = new WeakMap<Bundle, BundleIndex>();

/**
 * Returns the index of a bundle and builds it on the first call.
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
 * Returns the zones among which the shards of a service are divided before they
 * have owners.
 *
 * @param bundle - Parsed bundle.
 * @param service - Id of the service.
 * @returns The zones that have servers of the service, in the order of the
 * bundle; all zones when the service has no server.
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
