/** Deltas between two bundles of a gateway. */
import type {
  BundleDelta,
  GatewayBundle,
  GatewayRoute,
} from '../../types/index.js';

/**
 * Finds what a bundle changes in another one.
 *
 * @param base - Bundle to which the delta will be applied.
 * @param next - Bundle that the delta leads to.
 * @param offset - Offset of the record of `next` in the log of bundles.
 * @returns The delta; null when a bundle has several routes of one name, or for one host
 * and prefix, of which the order decides.
 */
export function bundleDelta(
  base: GatewayBundle,
  next: GatewayBundle,
  offset: number,
): BundleDelta | null {
  const baseRoutes = routesByName(base);
  const nextRoutes = routesByName(next);
  const isAmbiguous =
    baseRoutes.size < base.routes.length ||
    nextRoutes.size < next.routes.length ||
    countPrefixes(next) < next.routes.length;
  if (isAmbiguous) return null;
  return {
    baseVersion: base.version,
    version: next.version,
    offset,
    routes: next.routes.filter(route => {
      const known = baseRoutes.get(route.name);
      return known === undefined || !isSameRoute(known, route);
    }),
    removedRoutes: [...baseRoutes.keys()].filter(name => !nextRoutes.has(name)),
    services: next.services,
    limits: next.limits,
    warnings: next.warnings,
  };
}

/**
 * Applies a delta.
 *
 * @param base - Bundle of the version `delta.baseVersion`.
 * @param delta - The delta.
 * @returns The bundle of the version `delta.version`, with the added routes last.
 */
export function applyBundleDelta(
  base: GatewayBundle,
  delta: BundleDelta,
): GatewayBundle {
  const routes = routesByName(base);
  for (const name of delta.removedRoutes) routes.delete(name);
  for (const route of delta.routes) routes.set(route.name, route);
  const {version, services, limits, warnings} = delta;
  return {version, routes: [...routes.values()], services, limits, warnings};
}

function routesByName({routes}: GatewayBundle): Map<string, GatewayRoute> {
  return new Map(routes.map(route => [route.name, route]));
}

function countPrefixes({routes}: GatewayBundle): number {
  return new Set(routes.map(({host, pathPrefix}) => host + pathPrefix)).size;
}

function isSameRoute(one: GatewayRoute, other: GatewayRoute): boolean {
  return (
    one.host === other.host &&
    one.pathPrefix === other.pathPrefix &&
    one.kind === other.kind &&
    one.timeoutMs === other.timeoutMs &&
    one.objectiveMs === other.objectiveMs &&
    one.priority === other.priority &&
    one.maxAttempts === other.maxAttempts &&
    one.parts.length === other.parts.length &&
    one.parts.every(({service, weight}, index) => {
      const part = other.parts[index];
      return service === part?.service && weight === part.weight;
    })
  );
}
