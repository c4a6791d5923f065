/** State of a gateway as it shows it to operators. */
import * as z from 'zod';
import {gatewayServerSchema, rangeOwnerSchema} from './gateway.js';

/** What one VM believes at one moment. */
export const vmStateSchema = z.object({
  vm: z.string(),
  zone: z.string(),
  wallTimeMs: z.number(),
  isReady: z.boolean(),
  /** Version of the bundle in force; null before the first. */
  bundle: z.int().nullable(),
  /** Whether this VM assigns the keys. */
  isAssigner: z.boolean(),
  /** VM of the newest ownership record that it has read; null without one. */
  assigner: z.string().nullable(),
  /** Offset of the record that elected the assigner; -1 before the first. */
  term: z.int(),
  /** Number of the table in the term. */
  revision: z.int(),
  /** Time since it has read the servers, itself or through the assigner. */
  serversAgeMs: z.number().nullable(),
  /** The same for bundles. */
  bundlesAgeMs: z.number().nullable(),
  requestsInFlight: z.int(),
  ranges: z.array(rangeOwnerSchema),
  servers: z.array(gatewayServerSchema),
});
export type VmState = Readonly<z.infer<typeof vmStateSchema>>;
