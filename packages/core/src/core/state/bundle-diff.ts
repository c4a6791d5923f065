/** Differences between bundle versions. */
import type {Bundle} from '../../types/bundle.js';

/**
 * Lists of a bundle whose entries are compared by id. `stopped` lists servers
 * that the operator has confirmed to be stopped permanently.
 */
export type BundleSection =
  'zones' | 'services' | 'batches' | 'servers' | 'stopped' | 'signers';

/** One entry that was added, removed or changed between two bundles. */
export interface BundleChange {
  readonly section: BundleSection;
  readonly kind: 'added' | 'removed' | 'changed';
  readonly id: string;
  /** Names of the changed properties; empty unless `kind` is `changed`. */
  readonly fields: readonly string[];
}

/** Differences between the lists of two bundles. */
export interface BundleDiff {
  /** Version of the earlier bundle; 0 when there is none. */
  readonly fromVersion: number;
  readonly toVersion: number;
  readonly changes: readonly BundleChange[];
}

type Entry = Readonly<Record<string, unknown>>;

const EMPTY_ENTRY: Entry = {};

const SECTIONS: readonly BundleSection[] = [
  'zones',
  'services',
  'batches',
  'servers',
  'stopped',
  'signers',
];

/**
 * Compares the lists of two bundles. `deployment` is not compared: `checkBundle`
 * requires it to stay the same.
 *
 * @param a - Earlier bundle, or null.
 * @param b - Later bundle.
 * @returns The differences, ordered by section.
 */
export function diffBundles(a: Bundle | null, b: Bundle): BundleDiff {
  return {
    fromVersion: a?.version ?? 0,
    toVersion: b.version,
    changes: SECTIONS.flatMap(section =>
      diffSection(section, entriesById(a, section), entriesById(b, section)),
    ),
  };
}

function entriesById(
  bundle: Bundle | null,
  section: BundleSection,
): Map<string, Entry> {
  if (bundle === null) return new Map();
  switch (section) {
    case 'zones':
    case 'stopped':
      return new Map(bundle[section].map(id => [id, EMPTY_ENTRY]));
    case 'signers':
      return new Map(bundle.signers.map(signer => [signer.keyId, signer]));
    default:
      return new Map(
        bundle[section].map((entry): [string, Entry] => [entry.id, entry]),
      );
  }
}

function diffSection(
  section: BundleSection,
  before: ReadonlyMap<string, Entry>,
  after: ReadonlyMap<string, Entry>,
): BundleChange[] {
  const changes: BundleChange[] = [];
  for (const id of before.keys()) {
    if (!after.has(id))
      changes.push({section, kind: 'removed', id, fields: []});
  }
  for (const [id, entry] of after) {
    const old = before.get(id);
    if (old === undefined) {
      changes.push({section, kind: 'added', id, fields: []});
      continue;
    }
    const fields = changedFields(old, entry);
    if (fields.length > 0) changes.push({section, kind: 'changed', id, fields});
  }
  return changes;
}

// The properties of all entries are strings, numbers or booleans.
function changedFields(a: Entry, b: Entry): string[] {
  const names = new Set([...Object.keys(a), ...Object.keys(b)]);
  return [...names].filter(name => a[name] !== b[name]);
}
