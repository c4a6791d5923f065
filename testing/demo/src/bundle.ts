/** Creates signing keys and signed bundles for the test harness. */
import {generateKeyPairSync, sign, type KeyObject} from 'node:crypto';
import type {BundleRecord, Bundle, SignedBundle} from '@wisteriarun/core';
import {uuidv7} from '@wisteriarun/standins';

/** An operator's key pair. */
export interface SigningKey {
  readonly keyId: string;
  /** Public key as SPKI, DER in base64. */
  readonly publicKey: string;
  readonly privateKey: KeyObject;
}

/** Creates an Ed25519 key pair. */
export function createSigningKey(keyId: string): SigningKey {
  const {publicKey, privateKey} = generateKeyPairSync('ed25519');
  const der = publicKey.export({type: 'spki', format: 'der'});
  return {keyId, publicKey: der.toString('base64'), privateKey};
}

/** Serializes a bundle and signs the serialized text. */
export function signBundle(bundle: Bundle, key: SigningKey): SignedBundle {
  const payload = JSON.stringify(bundle);
  return {
    payload,
    keyId: key.keyId,
    signature: sign(null, Buffer.from(payload), key.privateKey).toString(
      'base64',
    ),
  };
}

/** Builds the log record that publishes a bundle on top of its predecessor. */
export function bundleRecord(bundle: Bundle, key: SigningKey): BundleRecord {
  return {
    kind: 'bundle',
    id: uuidv7(),
    author: key.keyId,
    baseVersion: bundle.version - 1,
    signed: signBundle(bundle, key),
  };
}
