/** Finds the route of a request. */
import type {GatewayBundle, GatewayRoute} from '../../types/index.js';

/** Routes of a bundle by host and path prefix. */
export class RouteIndex {
  readonly #hosts = new Map<string, Map<string, GatewayRoute>>();

  /**
   * @param bundle - Bundle with the routes.
   */
  constructor(bundle: GatewayBundle) {
    for (const route of bundle.routes) {
      const prefixes = this.#hosts.get(route.host) ?? new Map();
      prefixes.set(route.pathPrefix, route);
      this.#hosts.set(route.host, prefixes);
    }
  }

  /**
   * Finds the route with the longest prefix of the path.
   *
   * @param host - Host header in any case. Everything from the first colon on
   * is ignored, so a port is allowed and an IPv6 literal matches no route.
   * @param target - Path with an optional query.
   * @returns The route, or null when none matches.
   */
  find(host: string, target: string): GatewayRoute | null {
    const prefixes = this.#hosts.get(hostName(host));
    if (prefixes === undefined) return null;
    const queryAt = target.indexOf('?');
    const path = queryAt < 0 ? target : target.slice(0, queryAt);
    // Every prefix ends with a slash (checked when the bundle is decoded), so only
    // the parts of the path up to a slash are looked up, the longest first.
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return null;
  }
}

// Routes have their hosts in lower case.
function hostName(host: string): string {
  const colon = host.indexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
