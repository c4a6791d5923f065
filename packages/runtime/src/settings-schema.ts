/**
 * Schema of the settings file. Descriptions state the allowed values and are
 * shown in error messages.
 */
import {createPublicKey} from 'node:crypto';
import * as z from 'zod';

/** Shown instead of the value of a secret setting. */
export const SECRET_PLACEHOLDER = '(secret)';

/** Settings whose values are never shown, as `section.key`. */
export const SECRET_KEYS: ReadonlySet<string> = new Set([
  'operator.token',
  'trust.deployment_secret',
]);

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;
const MIN_TOKEN_LENGTH = 16;
const MIN_SECRET_LENGTH = 32;

const wholeNumber = (min: number, max: number) =>
  z
    .string()
    .regex(/^\d{1,15}$/)
    .transform(Number)
    .pipe(z.int().min(min).max(max))
    .describe(`a whole number from ${min} to ${max}`);

/** Makes a key optional and adds the default to its description. */
const withDefault = <T extends z.ZodType>(
  schema: T,
  value: z.output<T> & z.core.util.NoUndefined<z.output<T>>,
) =>
  schema
    .optional()
    .transform(given => (given === undefined ? value : given) as z.output<T>)
    .describe(`${schema.description ?? ''}; ${String(value)} by default`);

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,63}$/)
  .describe('1 to 64 lower-case letters, digits, dots and hyphens');

const host = z
  .string()
  .regex(/^[A-Za-z0-9.:-]{1,253}$/)
  .describe('an IP address or host name');

const port = wholeNumber(1, 65_535);

const endpoint = z
  .url({protocol: /^https?$/})
  .refine(text => new URL(text).username === '')
  .transform(text => text.replace(/\/+$/, ''))
  .describe('an http or https URL without user name');

const secret = (minLength: number) =>
  z
    .string()
    .min(minLength)
    .max(1_024)
    .regex(/^[\x21-\x7e]+$/)
    .describe(`at least ${minLength} visible ASCII characters, no spaces`);

const publicKey = z
  .string()
  .refine(text => {
    try {
      const key = createPublicKey({
        key: Buffer.from(text, 'base64'),
        format: 'der',
        type: 'spki',
      });
      return key.asymmetricKeyType === 'ed25519';
    } catch {
      return false;
    }
  })
  .describe('an Ed25519 public key, SPKI DER in base64');

const seedPattern = /^(?:\[([0-9a-fA-F:]+)\]|([A-Za-z0-9.-]+)):(\d{1,5})$/;

const seeds = z
  .string()
  .transform((text, context) => {
    const result: {host: string; port: number}[] = [];
    for (const part of text.split(',').map(item => item.trim())) {
      if (part === '') continue;
      const match = seedPattern.exec(part);
      const seedPort = Number(match?.[3]);
      const seedHost = match?.[1] ?? match?.[2];
      if (seedHost === undefined || seedPort < 1 || seedPort > 65_535) {
        context.addIssue({code: 'custom', message: 'not host:port'});
        return z.NEVER;
      }
      result.push({host: seedHost, port: seedPort});
    }
    return result;
  })
  .describe('host:port, separated by commas');

const listener = z.strictObject({host, port});

/** Schema of the parsed settings file, with the key names of the file. */
export const settingsSchema = z.strictObject({
  vm: z.strictObject({
    id: name,
    zone: name,
    deployment: name,
    // Weight of the VM when dispatchers are chosen.
    capacity: z
      .string()
      .regex(/^\d+(\.\d+)?$/)
      .transform(Number)
      .pipe(z.number().min(0.01).max(1_000))
      .describe('a number from 0.01 to 1000'),
  }),
  caller: listener,
  relay: listener,
  peer: listener,
  operator: listener.extend({token: secret(MIN_TOKEN_LENGTH)}),
  log: z.strictObject({
    endpoint,
    stream: name,
    // How long the log service keeps a record.
    retention_ms: wholeNumber(60_000, 3_650 * DAY_MS),
    snapshot_interval_ms: withDefault(wholeNumber(1_000, 7 * DAY_MS), 600_000),
  }),
  vm_list: z.strictObject({
    endpoint,
    poll_interval_ms: withDefault(wholeNumber(100, HOUR_MS), 2_000),
  }),
  peers: z.strictObject({
    // Peers to connect to in addition to the entry VMs of the VM list.
    seeds: seeds
      .optional()
      .transform(given => given ?? [])
      .describe(seeds.description ?? ''),
  }),
  trust: z.strictObject({
    root_key_id: name,
    root_public_key: publicKey,
    deployment_secret: secret(MIN_SECRET_LENGTH),
  }),
  limits: z.strictObject({
    // Time for which a VM that shuts down still accepts requests while its
    // health check already fails.
    shutdown_delay_ms: withDefault(wholeNumber(0, HOUR_MS), 3_000),
    // 0 waits for the requests in flight without a time limit.
    shutdown_timeout_ms: withDefault(wholeNumber(0, DAY_MS), 0),
  }),
  logs: z.strictObject({
    level: z
      .enum(['debug', 'info', 'warn', 'error'])
      .optional()
      .transform(given => given ?? 'info')
      .describe('debug, info, warn or error; info by default'),
  }),
});

/** Converts a string literal type in snake case to camel case. */
type Camel<Text extends string> = Text extends `${infer Head}_${infer Tail}`
  ? `${Head}${Capitalize<Camel<Tail>>}`
  : Text;

type CamelKeys<Value> = {
  readonly [
    Key in keyof Value as Key extends string ? Camel<Key> : Key
  ]: Value[Key];
};

type RawSettings = z.output<typeof settingsSchema>;

/**
 * Validated settings, including secrets; section and key names are in camel
 * case.
 */
export type Settings = CamelKeys<{
  [Section in keyof RawSettings]: CamelKeys<RawSettings[Section]>;
}>;
