/** Loads and validates the settings file. */
import {readFileSync} from 'node:fs';
import {ERRORS} from '@wisteriarun/core';
import type {WisteriarunError} from '@wisteriarun/core';
import {parse} from 'ini';
import {Result} from 'true-myth';
import {nearestName} from './nearest-name.js';
import {
  SECRET_KEYS,
  SECRET_PLACEHOLDER,
  settingsSchema,
} from './settings-schema.js';
import type {Settings} from './settings-schema.js';

/**
 * The retention must be at least this many snapshot intervals long. Once the
 * oldest records have expired, the state can be recovered only from a snapshot,
 * so the log must always hold one.
 */
const MIN_SNAPSHOTS_PER_RETENTION = 4;
/** Sections with a listen address; no two may have the same one. */
const LISTENERS = ['caller', 'relay', 'peer', 'operator'] as const;
/** Shown instead of the value of a key that the file does not contain. */
const MISSING = '(missing)';

type Sections = Record<string, Record<string, unknown>>;

/**
 * Reads and validates the settings file.
 *
 * @param path - Path of an INI file.
 * @returns The settings, or every problem found: `unreadable-file` or one
 * `invalid-setting` for each section or key.
 */
export function loadSettings(
  path: string,
): Result<Settings, WisteriarunError[]> {
  try {
    return parseSettings(readFileSync(path, 'utf8'));
  } catch (error) {
    const detail = error instanceof Error ? error.message : 'unknown cause';
    return Result.err([ERRORS.unreadableFile(path, detail)]);
  }
}

/**
 * Parses and validates the text of a settings file.
 *
 * @param text - INI text.
 * @returns The settings, or one `invalid-setting` for each problem found.
 */
export function parseSettings(
  text: string,
): Result<Settings, WisteriarunError[]> {
  const problems: WisteriarunError[] = [];
  const sections = collectSections(parse(text), problems);
  const sectionSchemas = settingsSchema.shape;
  const checked: Record<string, Record<string, unknown>> = {};
  for (const [section, schema] of Object.entries(sectionSchemas)) {
    checked[section] = checkSection(
      section,
      schema.shape,
      sections[section] ?? {},
      problems,
    );
  }
  if (problems.length > 0) return Result.err(problems);
  const settings = camelKeys(checked) as unknown as Settings;
  problems.push(...checkCombinations(settings));
  return problems.length > 0 ? Result.err(problems) : Result.ok(settings);
}

function collectSections(
  parsed: Record<string, unknown>,
  problems: WisteriarunError[],
): Sections {
  const known = Object.keys(settingsSchema.shape);
  const sections: Sections = {};
  for (const [section, content] of Object.entries(parsed)) {
    const isSection = typeof content === 'object' && content !== null;
    if (isSection && known.includes(section)) {
      sections[section] = content as Record<string, unknown>;
    } else if (isSection) {
      const found = `unknown section ${redactUnlessName(section)}`;
      problems.push(
        ERRORS.invalidSetting(
          redactUnlessName(section),
          '',
          found,
          describeAllowedNames(section, known),
        ),
      );
    } else {
      const allowed = `keys inside one of the sections ${known.join(', ')}`;
      const found = 'a key before the first section';
      problems.push(
        ERRORS.invalidSetting('', redactUnlessName(section), found, allowed),
      );
    }
  }
  return sections;
}

/** The part of a zod schema that `checkSection` uses. */
interface KeySchema {
  readonly description?: string | undefined;
  safeParse(value: unknown): {success: boolean; data?: unknown};
}

function checkSection(
  section: string,
  shape: Readonly<Record<string, KeySchema>>,
  content: Readonly<Record<string, unknown>>,
  problems: WisteriarunError[],
): Record<string, unknown> {
  const known = Object.keys(shape);
  for (const key of Object.keys(content)) {
    if (known.includes(key)) continue;
    const found = `unknown key ${redactUnlessName(key)}`;
    problems.push(
      ERRORS.invalidSetting(
        section,
        redactUnlessName(key),
        found,
        describeAllowedNames(key, known),
      ),
    );
  }
  const values: Record<string, unknown> = {};
  for (const [key, schema] of Object.entries(shape)) {
    const result = schema.safeParse(content[key]);
    if (result.success) {
      values[key] = result.data;
      continue;
    }
    const found = displayValue(section, key, content[key]);
    const allowed = schema.description ?? '';
    problems.push(ERRORS.invalidSetting(section, key, found, allowed));
  }
  return values;
}

/** Formats a value for an error message, without secrets and URL credentials. */
function displayValue(section: string, key: string, value: unknown): string {
  if (value === undefined) return MISSING;
  if (SECRET_KEYS.has(`${section}.${key}`)) return SECRET_PLACEHOLDER;
  return String(value).replace(/\/\/[^/@]*@/, `//${SECRET_PLACEHOLDER}@`);
}

/**
 * Returns the text only when it looks like a name. The INI parser turns a line
 * without `=` into a key, and that line may be a misplaced secret.
 */
function redactUnlessName(text: string): string {
  return /^[a-z][a-z_]{0,31}$/i.test(text) ? text : '(not a name)';
}

function describeAllowedNames(text: string, known: readonly string[]): string {
  const nearest = nearestName(text, known);
  return nearest === null
    ? `one of ${known.join(', ')}`
    : `did you mean ${nearest}? Known: ${known.join(', ')}`;
}

/** Checks the rules that concern several keys. */
function checkCombinations(settings: Settings): WisteriarunError[] {
  const problems: WisteriarunError[] = [];
  const maxIntervalMs = Math.floor(
    settings.log.retentionMs / MIN_SNAPSHOTS_PER_RETENTION,
  );
  if (settings.log.snapshotIntervalMs > maxIntervalMs) {
    problems.push(
      ERRORS.invalidSetting(
        'log',
        'snapshot_interval_ms',
        String(settings.log.snapshotIntervalMs),
        `at most ${maxIntervalMs}, a quarter of retention_ms`,
      ),
    );
  }
  const sectionsByAddress = new Map<string, string>();
  for (const section of LISTENERS) {
    const {host, port} = settings[section];
    const address = `${host}:${port}`;
    const otherSection = sectionsByAddress.get(address);
    if (otherSection === undefined) {
      sectionsByAddress.set(address, section);
      continue;
    }
    problems.push(
      ERRORS.invalidSetting(
        section,
        'port',
        String(port),
        `a port that section ${otherSection} does not use`,
      ),
    );
  }
  return problems;
}

/** Converts names such as `retention_ms` to camel case. */
function camelKeys(sections: Sections): Sections {
  const camel = (text: string) =>
    text.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase());
  const result: Sections = {};
  for (const [section, content] of Object.entries(sections)) {
    result[camel(section)] = Object.fromEntries(
      Object.entries(content).map(([key, value]) => [camel(key), value]),
    );
  }
  return result;
}
