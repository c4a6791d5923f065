/** Bundles published concurrently, replayed or forged. */
import {describe, expect, it} from 'vitest';
import {
  bundleRecord,
  createSigningKey,
  type Cluster,
  type SigningKey,
} from '@wisteriarun/demo';
import {
  IN_FORCE_MS,
  SMALL,
  TEST_TIMEOUT_MS,
  sleep,
  underLoad,
  until,
  wallMs,
  type Scenario,
} from './scenario.js';

const ENTRIES = SMALL.entries.map(({id}) => id);

function operatorKeys(): [SigningKey, SigningKey] {
  return [createSigningKey('ana'), createSigningKey('bruno')];
}

/** Publishes a bundle version that adds the keys to its trusted signers. */
async function trustOperators(
  cluster: Cluster,
  keys: readonly SigningKey[],
): Promise<number> {
  const {version} = await cluster.publishBundle({
    signers: [
      ...cluster.currentBundle().signers,
      ...keys.map(({keyId, publicKey}) => ({keyId, publicKey})),
    ],
  });
  return version;
}

async function untilVersion(scenario: Scenario, version: number) {
  return until(`version ${version} everywhere`, IN_FORCE_MS, async () => {
    const views = await Promise.all(ENTRIES.map(id => scenario.status(id)));
    return views.every(({bundle}) => bundle?.version === version);
  });
}

async function bundlesInForce(scenario: Scenario) {
  const views = await Promise.all(ENTRIES.map(id => scenario.status(id)));
  return views.map(({bundle}) => bundle);
}

/** Returns the bundle rejections in an entry VM's timeline from a wall time on. */
async function rejections(scenario: Scenario, entry: string, fromMs: number) {
  const view = await scenario.operator(entry).timeline();
  if (view.isErr) throw new Error(view.error.kind);
  return view.value.events.filter(
    ({kind, wallTimeMs}) => kind === 'bundle-rejected' && wallTimeMs >= fromMs,
  );
}

describe('bundles', () => {
  // Guards against entry VMs that accept different bundles of a race, and
  // against a rejection that does not name the author of the accepted bundle.
  it(
    'two operators publish on the same base: one wins everywhere, the other is named',
    async () => {
      const result = await underLoad({}, async scenario => {
        const {cluster} = scenario;
        const keys = operatorKeys();
        const base = await trustOperators(cluster, keys);
        await untilVersion(scenario, base);
        const body = {...cluster.currentBundle(), version: base + 1};
        const startMs = wallMs();
        await Promise.all(
          keys.map((key, index) => {
            const services = body.services.map(service => ({
              ...service,
              maxBodyBytes: 1_000_000 + index,
            }));
            return cluster.appendRecord(bundleRecord({...body, services}, key));
          }),
        );
        await untilVersion(scenario, base + 1);
        const bundles = await bundlesInForce(scenario);
        const winner = bundles[0]!.author;
        const loser = keys.find(({keyId}) => keyId !== winner)!.keyId;
        expect(keys.map(({keyId}) => keyId)).toContain(winner);
        expect(bundles).toEqual(ENTRIES.map(() => bundles[0]));
        for (const entry of ENTRIES) {
          await until(`${entry} reports the rejection`, 2_000, async () => {
            const found = await rejections(scenario, entry, startMs);
            return found.length > 0;
          });
          const found = await rejections(scenario, entry, startMs);
          expect(found).toHaveLength(1);
          expect(found[0]!.fields['author']).toBe(loser);
          expect(found[0]!.cause).toContain('stale-version');
          expect(found[0]!.cause).toContain(`winnerAuthor="${winner}"`);
          expect(found[0]!.cause).toContain(`versionInForce=${base + 1}`);
        }
      });
      expect(result.violations).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against a replayed or forged record that replaces the bundle in force.
  it(
    'replayed old version, wrong signature and unknown signer change nothing',
    async () => {
      const result = await underLoad({}, async scenario => {
        const {cluster} = scenario;
        const [known, unknown] = operatorKeys();
        const base = await trustOperators(cluster, [known]);
        await untilVersion(scenario, base);
        const before = await bundlesInForce(scenario);
        const startMs = wallMs();
        const next = {...cluster.currentBundle(), version: base + 1};
        const genuine = bundleRecord(next, known);
        const old = {...next, version: base};
        const forged = {...genuine.signed, payload: JSON.stringify(old)};
        const records = [
          bundleRecord(old, known),
          {...genuine, signed: forged},
          // Names the key id of a trusted operator, signed with another key.
          bundleRecord(next, {...unknown, keyId: known.keyId}),
          bundleRecord(next, unknown),
          // An older payload on the current base version.
          {...bundleRecord(old, known), baseVersion: base},
        ];
        for (const record of records) await cluster.appendRecord(record);
        for (const entry of ENTRIES) {
          await until(`${entry} rejects all`, IN_FORCE_MS, async () => {
            const found = await rejections(scenario, entry, startMs);
            return found.length === records.length;
          });
        }
        await sleep(500);
        expect(await bundlesInForce(scenario)).toEqual(before);
      });
      expect(result.violations).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );
});
