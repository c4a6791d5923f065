/** What a gateway routes by: bundles, servers and the owners of key ranges. */
import * as z from 'zod';
import {crashRecordSchema} from './peer-messages.js';

/** Number of keys of a service that is divided by key. */
export const KEY_COUNT = 65_536;

/**
 * Fences of one term, which follow each other from term * FENCES_PER_TERM on; a
 * term is an offset, which leaves room for 2^33.
 */
export const FENCES_PER_TERM = 2 ** 20;

/**
 * What may be repeated: `safe` requests may run more than once; `unsafe` ones
 * and `upload`s, which have large bodies, run at most once.
 */
export type RequestKind = 'safe' | 'unsafe' | 'upload';

/** One part of a route's traffic. */
export interface RoutePart {
  readonly service: string;
  readonly weight: number;
}

/** A rule that sends requests of a host and path prefix to services. */
export interface GatewayRoute {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Latency objective. */
  readonly objectiveMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly maxAttempts: number;
  readonly parts: readonly RoutePart[];
}

/** Properties of a service that hold for all its servers. */
export interface GatewayService {
  readonly name: string;
  /** Connections that one server accepts from all VMs together. */
  readonly maxConnections: number;
  readonly isKeyed: boolean;
  /** Time for which keys are slow after a move without a handover. */
  readonly warmMs: number;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration, whole. */
export interface GatewayBundle {
  readonly version: number;
  readonly routes: readonly GatewayRoute[];
  readonly services: readonly GatewayService[];
  readonly limits: CallerLimits;
}

/** Load that a server reported with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Keys from `fromKey` to `toKey`, both included. */
export interface KeyRange {
  readonly fromKey: number;
  readonly toKey: number;
}

const keySchema = z
  .int()
  .min(0)
  .max(KEY_COUNT - 1);

/** Ownership of one key range of a service. */
export const rangeOwnerSchema = z.object({
  service: z.string(),
  fromKey: keySchema,
  toKey: keySchema,
  /** Null when no server may hold the range. */
  server: z.string().nullable(),
  /** Server that may still hold the keys; null when none but the owner may. */
  former: z.string().nullable(),
  /** Incarnation of the server that was granted the range. */
  bornMs: z.number(),
  fence: z.int().min(0),
  /** True while the keys change hands: requests wait for the next table. */
  moving: z.boolean(),
});
export type RangeOwner = Readonly<z.infer<typeof rangeOwnerSchema>>;

/** Who assigns key ranges, and how the other VMs reach it. */
export const assignerContactSchema = z.object({
  vm: z.string(),
  /** Address of its peer listener, as host:port. */
  peerAddress: z.string(),
  /** Distinguishes processes of one VM. */
  incarnation: z.string(),
});
export type AssignerContact = Readonly<z.infer<typeof assignerContactSchema>>;

/** Record of the ownership log: the whole table as of one decision. */
export const ownershipRecordSchema = z.object({
  /** Tells apart the records of one assigner, to find one whose answer was lost. */
  id: z.string(),
  /** Offset of the record that elected the assigner; -1 in that record. */
  term: z.int().min(-1),
  assigner: assignerContactSchema,
  /** Number of the table in the term. */
  revision: z.int().min(0),
  /** True when the assigner gives up its term with this record. */
  resigned: z.boolean(),
  ranges: z.array(rangeOwnerSchema),
});
export type OwnershipRecord = Readonly<z.infer<typeof ownershipRecordSchema>>;

/** Table of owners as the assigner publishes it to the other VMs. */
export const ownershipViewSchema = z.object({
  term: z.int(),
  /** Counts the tables of one term. */
  revision: z.int(),
  /** VMs that take part, for shares of common budgets. */
  vmCount: z.int().min(1),
  ranges: z.array(rangeOwnerSchema),
});
export type OwnershipView = Readonly<z.infer<typeof ownershipViewSchema>>;

/** A backend server as it describes itself. */
export const gatewayServerSchema = z.object({
  id: z.string(),
  address: z.string(),
  service: z.string(),
  zone: z.string(),
  slots: z.int().min(1),
  isDraining: z.boolean(),
  /** How much longer the server is slow after its start. */
  warmupLeftMs: z.number(),
  /** Start of this incarnation, Unix time; 0 when unknown. */
  bornMs: z.number(),
  /** Counts the descriptions of one incarnation. */
  sequence: z.int(),
});
export type GatewayServer = Readonly<z.infer<typeof gatewayServerSchema>>;

/** Load of the keys of one service since the last report. */
export const keyLoadSchema = z.object({
  service: z.string(),
  /** Pairs of key and milliseconds of server time on a common server. */
  samples: z.array(z.number()),
});
export type KeyLoad = Readonly<z.infer<typeof keyLoadSchema>>;

/** Time that the requests at one server took without waiting. */
export const serverPaceSchema = z.object({
  server: z.string(),
  /** Time of these requests on a common server. */
  expectedMs: z.number(),
  actualMs: z.number(),
});
export type ServerPace = Readonly<z.infer<typeof serverPaceSchema>>;

/** Frames of the peer link between a VM and the assigner. */
export const gatewayMessageSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('hello'), vm: z.string(), zone: z.string()}),
  z.object({
    kind: z.literal('load'),
    loads: z.array(keyLoadSchema),
    paces: z.array(serverPaceSchema),
  }),
  z.object({
    kind: z.literal('heartbeat'),
    term: z.int(),
    /** True when the assigner cannot append and another VM should. */
    isLogLost: z.boolean(),
    /** Time since the assigner last read the log of servers. */
    serversAgeMs: z.number(),
    /** Time since it last read the log of bundles. */
    bundlesAgeMs: z.number(),
    /** Offset up to which it has read that log. */
    bundlesOffset: z.int(),
  }),
  /** All servers that the assigner knows. */
  z.object({
    kind: z.literal('servers'),
    servers: z.array(gatewayServerSchema),
    /** Time since it last read the log of servers. */
    ageMs: z.number(),
    /** Whether servers that are not listed are gone. */
    isSettled: z.boolean(),
  }),
  /** A server that changed. */
  z.object({kind: z.literal('server'), server: gatewayServerSchema}),
  /** A server that is gone. */
  z.object({kind: z.literal('server-gone'), id: z.string()}),
  /** Shares of the requests that overloaded servers get; all others get all. */
  z.object({
    kind: z.literal('shares'),
    shares: z.array(z.object({server: z.string(), share: z.number()})),
  }),
  /** Requests that crashed servers; a count of 0 clears one. */
  z.object({kind: z.literal('crashes'), records: z.array(crashRecordSchema)}),
  z.object({kind: z.literal('view'), view: ownershipViewSchema}),
  z.object({kind: z.literal('change'), view: ownershipViewSchema}),
]);
export type GatewayMessage = Readonly<z.infer<typeof gatewayMessageSchema>>;
