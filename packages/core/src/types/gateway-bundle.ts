/** Bundles of a gateway, and the deltas between them. */
import * as z from 'zod';

/**
 * Kind of a request, which decides whether it may be repeated: `safe` requests
 * and `download`s, which have large answers, may run more than once; `unsafe`
 * requests and `upload`s, which have large bodies, at most once.
 */
export const requestKindSchema = z.enum([
  'safe',
  'download',
  'unsafe',
  'upload',
]);
export type RequestKind = z.infer<typeof requestKindSchema>;

/**
 * Tells whether requests of a kind may run more than once.
 *
 * @param kind - Kind of the request.
 * @returns True for kinds that are idempotent.
 */
export function isIdempotent(kind: RequestKind): boolean {
  return kind === 'safe' || kind === 'download';
}

/** Service that gets a weighted part of a route's requests. */
export const routePartSchema = z.object({
  service: z.string(),
  weight: z.number(),
});
export type RoutePart = Readonly<z.infer<typeof routePartSchema>>;

/** A rule that sends requests of a host and path prefix to services. */
export const gatewayRouteSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: requestKindSchema,
  /** Longest time until a caller gets an answer. */
  timeoutMs: z.number(),
  /** Time to the answer above which a request counts as late. */
  objectiveMs: z.number(),
  /** Rank of the requests; 0 is the highest. */
  priority: z.number(),
  /** How often a request is sent at most, the first time included. */
  maxAttempts: z.int(),
  parts: z.array(routePartSchema).readonly(),
});
export type GatewayRoute = Readonly<z.infer<typeof gatewayRouteSchema>>;

/** Properties common to all servers of a service. */
export const gatewayServiceSchema = z.object({
  name: z.string(),
  /** Connections that one server accepts from all VMs together. */
  maxConnections: z.int(),
  /** Whether each key is owned by one server. */
  isKeyed: z.boolean(),
  /**
   * Time for which a moved key is slow when its new owner did not get the
   * handover token, which the former owner returned when it released the key.
   */
  warmMs: z.number(),
});
export type GatewayService = Readonly<z.infer<typeof gatewayServiceSchema>>;

/** Limits on the size and pace of what a caller may send. */
export const callerLimitsSchema = z.object({
  maxHeaderBytes: z.int(),
  maxBodyBytes: z.int(),
  headerTimeoutMs: z.number(),
  idleTimeoutMs: z.number(),
});
export type CallerLimits = Readonly<z.infer<typeof callerLimitsSchema>>;

/** One complete version of the configuration. */
export interface GatewayBundle {
  readonly version: number;
  readonly routes: readonly GatewayRoute[];
  readonly services: readonly GatewayService[];
  readonly limits: CallerLimits;
  /** What the decoder did not know and read in the safest way, for the log. */
  readonly warnings: readonly string[];
}

/** What a bundle changes in the one that was in force before it. */
export const bundleDeltaSchema = z.object({
  /** Version of the bundle that the delta applies to. */
  baseVersion: z.int(),
  version: z.int(),
  /** Offset of the bundle's record in the log of bundles. */
  offset: z.int().min(0),
  /** Routes that were added or have changed. */
  routes: z.array(gatewayRouteSchema).readonly(),
  removedRoutes: z.array(z.string()).readonly(),
  /** All services. */
  services: z.array(gatewayServiceSchema).readonly(),
  limits: callerLimitsSchema,
  warnings: z.array(z.string()).readonly(),
});
export type BundleDelta = Readonly<z.infer<typeof bundleDeltaSchema>>;
