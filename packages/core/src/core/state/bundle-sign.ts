/** Creates and verifies signatures of bundles. */
import {
  createPrivateKey,
  generateKeyPairSync,
  sign,
  verify,
  type KeyObject,
} from 'node:crypto';
import {Result} from 'true-myth';
import {
  signerSchema,
  type Bundle,
  type SignedBundle,
  type Signer,
} from '../../types/bundle.js';
import {ERRORS, type WisteriarunError} from '../../types/errors.js';
import {isWellFormed} from '../../utils/text.js';
import {parseBundle, readPublicKey} from './bundle-check.js';

/** A new signer and its private key. */
export interface GeneratedSigner {
  readonly signer: Signer;
  /** PKCS #8 in PEM. */
  readonly privateKeyPem: string;
}

/**
 * Generates an Ed25519 key pair.
 *
 * @param keyId - Id under which bundles list the key.
 * @returns The signer with its private key, or `invalid-setting` when the id is
 * not valid.
 */
export function generateSigner(
  keyId: string,
): Result<GeneratedSigner, WisteriarunError> {
  const pair = generateKeyPairSync('ed25519');
  const publicKey = pair.publicKey
    .export({format: 'der', type: 'spki'})
    .toString('base64');
  const parsed = signerSchema.safeParse({keyId, publicKey});
  if (!parsed.success) {
    const allowed =
      '1 to 64 lower-case letters, digits, dots and hyphens, starting with a letter or digit';
    return Result.err(ERRORS.invalidSetting('signer', 'keyId', keyId, allowed));
  }
  const privateKeyPem = pair.privateKey
    .export({format: 'pem', type: 'pkcs8'})
    .toString();
  return Result.ok({signer: parsed.data, privateKeyPem});
}

/**
 * Signs the text of a bundle as it stands, without reformatting it.
 *
 * @param text - JSON text of the bundle.
 * @param keyId - Id of the signer.
 * @param privateKeyPem - Ed25519 private key, PKCS #8 in PEM.
 * @returns The signed bundle, `malformed-bundle` when the text is not a valid
 * bundle, or `invalid-setting` when the private key cannot be read.
 */
export function signBundle(
  text: string,
  keyId: string,
  privateKeyPem: string,
): Result<SignedBundle, WisteriarunError> {
  if (!isWellFormed(text)) return Result.err(notUtf8());
  return parseBundle(text).andThen(() => {
    const key = readPrivateKey(privateKeyPem);
    if (key === null) {
      const allowed = 'Ed25519 private key in PEM';
      return Result.err(
        ERRORS.invalidSetting('signer', keyId, 'unreadable', allowed),
      );
    }
    const signature = sign(null, Buffer.from(text, 'utf8'), key);
    return Result.ok({
      payload: text,
      keyId,
      signature: signature.toString('base64'),
    });
  });
}

/**
 * Verifies the signature of a bundle and parses its payload.
 *
 * @param signed - Signed bundle from the log.
 * @param signers - Signers whose signatures are accepted.
 * @returns The bundle, or `unknown-signer`, `wrong-signature` or
 * `malformed-bundle`. Call `checkBundle` to check its consistency.
 */
export function verifySignedBundle(
  signed: SignedBundle,
  signers: readonly Signer[],
): Result<Bundle, WisteriarunError> {
  const {payload, keyId, signature} = signed;
  const signer = signers.find(candidate => candidate.keyId === keyId);
  if (signer === undefined) return Result.err(ERRORS.unknownSigner(keyId));
  if (!isWellFormed(payload)) return Result.err(notUtf8());
  const key = readPublicKey(signer.publicKey);
  if (key === null || !isValidSignature(payload, key, signature)) {
    return Result.err(ERRORS.wrongSignature(keyId));
  }
  return parseBundle(payload);
}

function notUtf8(): WisteriarunError {
  return ERRORS.malformedBundle('', 'not encodable as UTF-8');
}

function isValidSignature(
  payload: string,
  key: KeyObject,
  signature: string,
): boolean {
  const bytes = Buffer.from(signature, 'base64');
  return verify(null, Buffer.from(payload, 'utf8'), key, bytes);
}

function readPrivateKey(pem: string): KeyObject | null {
  try {
    const key = createPrivateKey(pem);
    return key.asymmetricKeyType === 'ed25519' ? key : null;
  } catch {
    return null;
  }
}
