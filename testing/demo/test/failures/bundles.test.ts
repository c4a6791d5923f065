/** Bundles published concurrently, replayed or forged. */
import {describe, expect, it} from 'vitest';
import {
  bundleRecord,
  createSigningKey,
  type Cluster,
  type SigningKey,
} from '@wisteriarun/demo';
import {
  BUNDLE_LIMIT_MS,
  SMALL_CLUSTER,
  TEST_TIMEOUT_MS,
  sleep,
  runUnderLoad,
  waitUntil,
  wallMs,
  type Scenario,
} from './scenario.js';

const ENTRY_IDS = SMALL_CLUSTER.entries.map(({id}) => id);

function createOperatorKeys(): [SigningKey, SigningKey] {
  return [createSigningKey('ana'), createSigningKey('bruno')];
}

/**
 * Publishes a bundle version that adds the keys to its signers, so that each of
 * them may sign the next version.
 */
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

async function waitUntilVersion(scenario: Scenario, version: number) {
  return waitUntil(
    `version ${version} everywhere`,
    BUNDLE_LIMIT_MS,
    async () => {
      const views = await Promise.all(ENTRY_IDS.map(id => scenario.status(id)));
      return views.every(({bundle}) => bundle?.version === version);
    },
  );
}

async function bundlesInForce(scenario: Scenario) {
  const views = await Promise.all(ENTRY_IDS.map(id => scenario.status(id)));
  return views.map(({bundle}) => bundle);
}

/** Returns an entry VM's rejections of bundles since a wall time. */
async function rejections(scenario: Scenario, entry: string, fromMs: number) {
  const view = await scenario.operatorClient(entry).timeline();
  if (view.isErr) throw new Error(view.error.kind);
  return view.value.events.filter(
    ({kind, wallTimeMs}) => kind === 'bundle-rejected' && wallTimeMs >= fromMs,
  );
}

describe('bundles', () => {
  // Guards against entry VMs that accept different bundles when two are
  // published on the same base version, and against a rejection that does not
  // name the authors of the rejected and of the accepted bundle.
  it(
    'two operators publish on the same base: one wins everywhere, its rejection of the other names both',
    async () => {
      const result = await runUnderLoad({}, async scenario => {
        const {cluster} = scenario;
        const keys = createOperatorKeys();
        const base = await trustOperators(cluster, keys);
        await waitUntilVersion(scenario, base);
        const body = {...cluster.currentBundle(), version: base + 1};
        const startMs = wallMs();
        await Promise.all(
          keys.map((key, index) => {
            const services = body.services.map(service => ({
              ...service,
              // Makes the two bundles differ.
              maxBodyBytes: 1_000_000 + index,
            }));
            return cluster.appendRecord(bundleRecord({...body, services}, key));
          }),
        );
        await waitUntilVersion(scenario, base + 1);
        const bundles = await bundlesInForce(scenario);
        const winner = bundles[0]!.author;
        const loser = keys.find(({keyId}) => keyId !== winner)!.keyId;
        expect(keys.map(({keyId}) => keyId)).toContain(winner);
        expect(bundles).toEqual(ENTRY_IDS.map(() => bundles[0]));
        for (const entry of ENTRY_IDS) {
          await waitUntil(`${entry} reports the rejection`, 2_000, async () => {
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

  // Guards against a record that replaces the bundle in force although it
  // publishes no newer version or is forged.
  it(
    'version in force published again, wrong signature and unknown signer change nothing',
    async () => {
      const result = await runUnderLoad({}, async scenario => {
        const {cluster} = scenario;
        const [known, unknown] = createOperatorKeys();
        const base = await trustOperators(cluster, [known]);
        await waitUntilVersion(scenario, base);
        const before = await bundlesInForce(scenario);
        const startMs = wallMs();
        const next = {...cluster.currentBundle(), version: base + 1};
        const genuine = bundleRecord(next, known);
        const old = {...next, version: base};
        const forged = {...genuine.signed, payload: JSON.stringify(old)};
        const records = [
          // The version in force, with the version before it as its base.
          bundleRecord(old, known),
          // The payload was changed after it had been signed.
          {...genuine, signed: forged},
          // Names a trusted operator's key id, but is signed with another key.
          bundleRecord(next, {...unknown, keyId: known.keyId}),
          // The signer is in no accepted bundle.
          bundleRecord(next, unknown),
          // The version in force, with itself as its base.
          {...bundleRecord(old, known), baseVersion: base},
        ];
        for (const record of records) await cluster.appendRecord(record);
        for (const entry of ENTRY_IDS) {
          await waitUntil(`${entry} rejects all`, BUNDLE_LIMIT_MS, async () => {
            const found = await rejections(scenario, entry, startMs);
            return found.length === records.length;
          });
        }
        // A bundle that was wrongly accepted would be in force by then.
        await sleep(500);
        expect(await bundlesInForce(scenario)).toEqual(before);
      });
      expect(result.violations).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );
});
