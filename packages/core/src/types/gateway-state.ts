/** State of a gateway that is shown to operators. */
import * as z from 'zod';
import {gatewayServerSchema, rangeOwnerSchema} from './gateway.js';

/** State of one gateway VM at `wallTimeMs`, as it sees it itself. */
export const vmStateSchema = z.object({
  vm: z.string(),
  zone: z.string(),
  wallTimeMs: z.number(),
  isReady: z.boolean(),
  /** Version of the bundle in force; null before the first. */
  bundle: z.int().nullable(),
  /** Whether this VM is the assigner. */
  isAssigner: z.boolean(),
  /** Assigner that the newest ownership record names; null without one. */
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
