/** Routing data of a gateway: bundles, servers and owners of key ranges. */
import * as z from 'zod';
import {bundleDeltaSchema} from './gateway-bundle.js';
import {crashRecordSchema} from './peer-messages.js';

/**
 * Number of keys of a keyed service. Keys are the integers from 0 to
 * `KEY_COUNT` - 1.
 */
export const KEY_COUNT = 65_536;

/**
 * Number of fences reserved for each term; those of a term start at
 * term * FENCES_PER_TERM. Fences stay exact integers for terms below 2^33; a
 * term is the offset of a record.
 */
export const FENCES_PER_TERM = 2 ** 20;

/** Load that a server reported with an answer, in requests. */
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
  /** Former owner that may still hold the keys; null when there is none. */
  former: z.string().nullable(),
  /**
   * Start of the incarnation of `server` that was granted the range, as Unix
   * time; 0 when unknown.
   */
  bornMs: z.number(),
  /** A server refuses grants with a lower fence than it has accepted. */
  fence: z.int().min(0),
  /** True while the range moves: requests wait for the next table. */
  moving: z.boolean(),
});
export type RangeOwner = Readonly<z.infer<typeof rangeOwnerSchema>>;

/** The assigner, and how the other VMs reach it. */
export const assignerContactSchema = z.object({
  vm: z.string(),
  /** Address of its peer listener, as host:port. */
  peerAddress: z.string(),
  /** Id of the process, which tells apart the processes of one VM. */
  incarnation: z.string(),
});
export type AssignerContact = Readonly<z.infer<typeof assignerContactSchema>>;

/** Record of the ownership log: the whole table of owners at one time. */
export const ownershipRecordSchema = z.object({
  /** Unique id, by which the assigner finds a record whose answer was lost. */
  id: z.string(),
  /**
   * Offset of the record that elected the assigner. That record itself has -1,
   * because its offset is not known before it is appended.
   */
  term: z.int().min(-1),
  assigner: assignerContactSchema,
  /** Number of the table within the term. */
  revision: z.int().min(0),
  /** True when the assigner ends its term with this record. */
  resigned: z.boolean(),
  ranges: z.array(rangeOwnerSchema),
});
export type OwnershipRecord = Readonly<z.infer<typeof ownershipRecordSchema>>;

/** Table of owners, or a change of it, that the assigner publishes. */
export const ownershipViewSchema = z.object({
  term: z.int(),
  /** Number of the table within its term; each change adds 1. */
  revision: z.int(),
  /**
   * Number of VMs that take part: the assigner and those linked to it. The
   * retries that the setting `retry_slack` allows are divided among them.
   */
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
  /** Remaining time for which the server is slow after its start. */
  warmupLeftMs: z.number(),
  /** Start of this incarnation, Unix time; 0 when unknown. */
  bornMs: z.number(),
  /** Number of the description within its incarnation. */
  sequence: z.int(),
});
export type GatewayServer = Readonly<z.infer<typeof gatewayServerSchema>>;

/** Load of the keys of one service since the last report. */
export const keyLoadSchema = z.object({
  service: z.string(),
  /**
   * Flat list in which each key is followed by the time that its requests take
   * on a server of speed 1 (see `ServerSpeeds`), in milliseconds.
   */
  samples: z.array(z.number()),
});
export type KeyLoad = Readonly<z.infer<typeof keyLoadSchema>>;

/** Expected and actual time of requests at one server, without waiting. */
export const serverPaceSchema = z.object({
  server: z.string(),
  /** Time of these requests on a server of speed 1. */
  expectedMs: z.number(),
  actualMs: z.number(),
});
export type ServerPace = Readonly<z.infer<typeof serverPaceSchema>>;

/** Messages between a VM and the assigner. */
export const gatewayMessageSchema = z.discriminatedUnion('kind', [
  /** Asks the assigner for the whole table, all servers and crash records. */
  z.object({
    kind: z.literal('hello'),
    vm: z.string(),
    zone: z.string(),
    /**
     * Offset up to which the VM has read the log of servers. Without it, the
     * assigner sends all servers.
     */
    serversOffset: z.int().optional(),
    /** As in `probe`. */
    sentAtMs: z.number().optional(),
    /** Whether the VM understands messages of kind `bundle-delta`. */
    takesBundleDeltas: z.boolean().optional(),
  }),
  /** Load that a VM measured since its last report, for the assigner. */
  z.object({
    kind: z.literal('load'),
    loads: z.array(keyLoadSchema),
    paces: z.array(serverPaceSchema),
  }),
  /** Asks the assigner for its clock. */
  z.object({
    kind: z.literal('probe'),
    /** Time on the sender's monotonic clock. */
    sentAtMs: z.number(),
  }),
  /** Answers a probe or a hello. */
  z.object({
    kind: z.literal('echo'),
    /** Time that the probe stated. */
    sentAtMs: z.number(),
    /** Time on the assigner's monotonic clock. */
    clockMs: z.number(),
  }),
  /** Shows that the assigner is live, and how recent its reads are. */
  z.object({
    kind: z.literal('heartbeat'),
    term: z.int(),
    /** Time on the assigner's monotonic clock; earlier versions do not state it. */
    clockMs: z.number().optional(),
    /**
     * True when the assigner has appended nothing for too long. The other VMs
     * then read the log and may elect another assigner.
     */
    isLogLost: z.boolean(),
    /** Time since the assigner last read the log of servers. */
    serversAgeMs: z.number(),
    /** Time since it last read the log of bundles. */
    bundlesAgeMs: z.number(),
    /** Offset up to which it has read the log of bundles. */
    bundlesOffset: z.int(),
  }),
  /** What a new bundle, which the assigner has read, changes in the one before. */
  z.object({kind: z.literal('bundle-delta'), delta: bundleDeltaSchema}),
  /** Servers that the assigner knows. */
  z.object({
    kind: z.literal('servers'),
    /** All servers, or those that changed since the offset of the hello. */
    servers: z.array(gatewayServerSchema),
    /** Ids of all servers; those of `servers` if missing. */
    listedIds: z.array(z.string()).optional(),
    /** Time since it last read the log of servers. */
    ageMs: z.number(),
    /**
     * True when the list is complete, so that a missing server is gone. False
     * for a while after the sender's start and after a loss of the log.
     */
    isSettled: z.boolean(),
  }),
  /** A server that changed. */
  z.object({kind: z.literal('server'), server: gatewayServerSchema}),
  /** A server that is gone. */
  z.object({kind: z.literal('server-gone'), id: z.string()}),
  /**
   * For each overloaded server, the share of its requests that is admitted,
   * above 0 and below 1. It applies to requests that are not urgent; urgent ones
   * get twice the share. Urgent are requests with priority 0 and those that are
   * not safe to repeat. Requests to servers that are not listed are admitted.
   */
  z.object({
    kind: z.literal('shares'),
    shares: z.array(z.object({server: z.string(), share: z.number()})),
  }),
  /** Requests that crashed servers; a count of 0 clears an entry. */
  z.object({kind: z.literal('crashes'), records: z.array(crashRecordSchema)}),
  /** The whole table. */
  z.object({kind: z.literal('view'), view: ownershipViewSchema}),
  /** The ranges of the table that changed since the last revision. */
  z.object({kind: z.literal('change'), view: ownershipViewSchema}),
]);
export type GatewayMessage = Readonly<z.infer<typeof gatewayMessageSchema>>;
