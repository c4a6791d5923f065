/** Settings file of the gateway: schema, parser and error reports. */
import {readFileSync} from 'node:fs';
import {ERRORS} from '@wisteriarun/core';
import type {VmStrength, WisteriarunError} from '@wisteriarun/core';
import {nearestName} from '@wisteriarun/runtime';
import {parse} from 'ini';
import {Result} from 'true-myth';
import * as z from 'zod';

const MS_PER_S = 1_000;

const name = z
  .string()
  .regex(/^[\w.-]{1,64}$/)
  .describe('1 to 64 letters, digits, dots, hyphens and underscores');
const host = z
  .string()
  .regex(/^[\d.]{7,15}$/)
  .describe('an IPv4 address');
const address = z
  .string()
  .regex(/^[\d.]{7,15}:\d{1,5}$/)
  .describe('an IPv4 address with a port, such as 10.0.0.1:8080');
const port = z
  .string()
  .regex(/^\d{1,5}$/)
  .transform(Number)
  .describe('a port number');
const number = z
  .string()
  .regex(/^\d+(\.\d+)?$/)
  .transform(Number)
  .describe('a number');
const durationMs = z
  .string()
  .regex(/^\d+(\.\d+)?(ms|s)$/)
  .transform(text =>
    text.endsWith('ms')
      ? Number(text.slice(0, -2))
      : Number(text.slice(0, -1)) * MS_PER_S,
  )
  .describe('a duration, such as 1500ms or 2.5s');

/** Makes a key optional; a missing or empty value becomes the default. */
const orDefault = <T extends z.ZodType>(schema: T, value: z.output<T>) =>
  z
    .union([z.literal('').transform(() => value), schema])
    .optional()
    .transform(given => (given === undefined ? value : given) as z.output<T>)
    .describe(`${schema.description ?? ''}; ${String(value)} by default`);

const level = z
  .enum(['debug', 'info', 'warn', 'error'])
  .describe('one of debug, info, warn, error');

/** Sections and keys of the settings file. */
const settingsSchema = z.object({
  vm: z.object({
    id: name,
    zone: name,
    host,
    // Share of a core that the VM has, and the speed of that core.
    cpu_share: orDefault(number, 1),
    cores: orDefault(number, 1),
    link_mbps: orDefault(number, Infinity),
  }),
  listen: z.object({
    callers: address,
    readiness: address,
    peer_port: port,
    metrics_port: port,
  }),
  // Address of the platform's log service.
  store: z.object({address}),
  bounds: z.object({
    // Interval at which servers renew their descriptions in the log of servers.
    // The gateway checks the value but does not use it.
    heartbeat: orDefault(durationMs, 1_000),
    // Time from a server's report that it is draining until it gets no more
    // requests.
    drain: orDefault(durationMs, 2_000),
    // Time from the stop signal to the end of the process.
    grace: orDefault(durationMs, 6_000),
    // Time within which a new bundle is in force at every VM.
    config: orDefault(durationMs, 2_000),
    // Longest time for which one grant may let a server hold keys; servers accept
    // no longer one.
    hold_max: orDefault(durationMs, 10_000),
    // Retries of all VMs in 10 s, as a share of the first attempts.
    retry_ratio: orDefault(number, 0.2),
    // Retries of all VMs in 10 s that are allowed in addition to that share.
    retry_slack: orDefault(number, 20),
  }),
  logs: z.object({level: orDefault(level, 'info')}),
});

type Sections = z.output<typeof settingsSchema>;

/**
 * Validated settings of the gateway. `settingsSchema` explains those of the
 * section `bounds`.
 */
export interface GatewaySettings {
  readonly vm: {
    readonly id: string;
    readonly zone: string;
    readonly host: string;
  };
  /** Resources of the VM, which decide how soon it stands for election. */
  readonly strength: VmStrength;
  readonly callersAddress: string;
  readonly readinessAddress: string;
  readonly peerPort: number;
  readonly metricsPort: number;
  readonly storeAddress: string;
  readonly heartbeatMs: number;
  readonly drainMs: number;
  readonly graceMs: number;
  readonly configMs: number;
  readonly holdMaxMs: number;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly logLevel: Sections['logs']['level'];
}

/**
 * Reads and validates the settings file.
 *
 * @param path - Path of an INI file.
 * @returns The settings, or all problems found.
 */
export function loadGatewaySettings(
  path: string,
): Result<GatewaySettings, WisteriarunError[]> {
  try {
    return parseGatewaySettings(readFileSync(path, 'utf8'));
  } catch (error) {
    const detail = error instanceof Error ? error.message : 'unknown cause';
    return Result.err([ERRORS.unreadableFile(path, detail)]);
  }
}

/**
 * Parses and validates the text of a settings file.
 *
 * @param text - Text in INI format.
 * @returns The settings, or one `invalid-setting` for each problem.
 */
export function parseGatewaySettings(
  text: string,
): Result<GatewaySettings, WisteriarunError[]> {
  const rawSections = parse(text) as Record<string, Record<string, unknown>>;
  const problems = [...findUnknownNames(rawSections)];
  const sections = {
    ...rawSections,
    logs: rawSections['logs'] ?? {},
    bounds: rawSections['bounds'] ?? {},
  };
  const parsed = settingsSchema.safeParse(sections);
  if (!parsed.success) {
    for (const issue of parsed.error.issues) {
      problems.push(describeIssue(issue, rawSections));
    }
  }
  if (!parsed.success || problems.length > 0) return Result.err(problems);
  const {vm, listen, store, bounds, logs} = parsed.data;
  return Result.ok({
    vm: {id: vm.id, zone: vm.zone, host: vm.host},
    strength: {
      cpuCores: vm.cpu_share * vm.cores,
      linkMbps: vm.link_mbps,
    },
    callersAddress: listen.callers,
    readinessAddress: listen.readiness,
    peerPort: listen.peer_port,
    metricsPort: listen.metrics_port,
    storeAddress: store.address,
    heartbeatMs: bounds.heartbeat,
    drainMs: bounds.drain,
    graceMs: bounds.grace,
    configMs: bounds.config,
    holdMaxMs: bounds.hold_max,
    retryRatio: bounds.retry_ratio,
    retrySlack: bounds.retry_slack,
    logLevel: logs.level,
  });
}

function* findUnknownNames(
  rawSections: Record<string, Record<string, unknown>>,
): Generator<WisteriarunError> {
  const shapes: Record<string, z.ZodObject> = settingsSchema.shape;
  for (const [section, content] of Object.entries(rawSections)) {
    const shape = shapes[section];
    if (shape === undefined) {
      const allowed = suggestNames(section, Object.keys(shapes));
      yield ERRORS.invalidSetting(section, '', 'unknown section', allowed);
      continue;
    }
    const known = Object.keys(shape.shape);
    for (const key of Object.keys(content)) {
      if (known.includes(key)) continue;
      const allowed = suggestNames(key, known);
      yield ERRORS.invalidSetting(section, key, 'unknown key', allowed);
    }
  }
}

function suggestNames(text: string, known: readonly string[]): string {
  const nearest = nearestName(text, known);
  const list = known.join(', ');
  return nearest === null
    ? `one of ${list}`
    : `did you mean ${nearest}? Known: ${list}`;
}

function describeIssue(
  issue: z.core.$ZodIssue,
  rawSections: Record<string, Record<string, unknown>>,
): WisteriarunError {
  const [section = '', key = ''] = issue.path.map(String);
  const shapes: Record<string, z.ZodObject> = settingsSchema.shape;
  const schema = shapes[section]?.shape[key] as z.ZodType | undefined;
  const rawValue = rawSections[section]?.[key];
  return ERRORS.invalidSetting(
    section,
    key,
    rawValue === undefined ? '(missing)' : String(rawValue),
    schema?.description ?? 'a section with its keys',
  );
}
