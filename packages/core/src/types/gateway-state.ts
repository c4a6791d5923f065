/** State of a gateway that is shown to operators. */
import * as z from 'zod';
import {gatewayServerSchema, rangeOwnerSchema} from './gateway.js';

/** State of one VM, as it knows it at one time. */
export const vmStateSchema = z.object({
  vm: z.string(),
  zone: z.string(),
  wallTimeMs: z.number(),
  isReady: z.boolean(),
  /** Version of the bundle in force; null before the first. */
  bundle: z.int().nullable(),
  /** Whether this VM is the assigner. */
  isAssigner: z.boolean(),
  /** VM of the newest ownership record that it has read; null without one. */
  assigner: z.string().nullable(),
  /** Offset of the record that elected the assigner; -1 before the first. */
  term: z.int(),
  /** Number of the table of owners within the term. */
  revision: z.int(),
  /**
   * Time since the log of servers was last read, by this VM or the assigner;
   * null before the first read.
   */
  serversAgeMs: z.number().nullable(),
  /** The same for the log of bundles. */
  bundlesAgeMs: z.number().nullable(),
  requestsInFlight: z.int(),
  ranges: z.array(rangeOwnerSchema),
  servers: z.array(gatewayServerSchema),
});
export type VmState = Readonly<z.infer<typeof vmStateSchema>>;
