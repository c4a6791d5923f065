/** `bundle check`, `keygen`, `sign` and `diff`, which use only local files. */
import {
  checkBundle,
  describeError,
  diffBundles,
  generateSigner,
  signBundle,
} from '@wisteriarun/core';
import type {WisteriarunError} from '@wisteriarun/core';
import {Result} from 'true-myth';
import {readBundle, readText, writePrivate} from '../bundle-files.js';
import type {BundleFile} from '../bundle-files.js';
import {printJson} from '../connection.js';
import type {CliEnvironment} from '../environment.js';
import {EXIT_CODES} from '../exit-codes.js';
import {escapeText, formatTable} from '../table.js';

/** Options of `bundle check`. */
export interface CheckOptions {
  /** File of the version that the bundle follows. */
  readonly base?: string;
}

/** Options of `bundle keygen`. */
export interface KeygenOptions {
  readonly keyId: string;
  /** File for the private key. */
  readonly out: string;
}

/** Options of `bundle sign`. */
export interface SignOptions {
  readonly keyId: string;
  /** File with the private key. */
  readonly key: string;
}

/** Options of `bundle diff`. */
export interface DiffOptions {
  readonly json?: boolean;
}

/**
 * Checks that a bundle is consistent and, with `--base`, a valid successor to
 * the base bundle.
 *
 * @param path - File of the bundle, signed or not.
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export function checkBundleFile(
  path: string,
  {base}: CheckOptions,
  environment: CliEnvironment,
): number {
  const checked = readBundle(path).andThen(file =>
    base === undefined
      ? Result.ok<BundleFile, WisteriarunError>(file)
      : readBundle(base)
          .andThen(previous => checkBundle(file.body, previous.body))
          .map(() => file),
  );
  if (checked.isErr) return reportInvalid(checked.error, environment);
  const {body, signed} = checked.value;
  const {deployment, version, zones, services, batches, servers} = body;
  // The signature is not verified: the signers that may sign a bundle are listed
  // in the version before it.
  environment.out(
    `valid deployment=${deployment} version=${version} ` +
      `zones=${zones.length} services=${services.length} ` +
      `batches=${batches.length} servers=${servers.length} ` +
      `signature=${signed === null ? 'none' : 'unverified'}\n`,
  );
  return EXIT_CODES.ok;
}

/**
 * Generates a signer. Writes the private key only to a new file and prints the
 * public part. A file that cannot be written is reported as `unreadable-file`.
 *
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export function generateKey(
  {keyId, out}: KeygenOptions,
  environment: CliEnvironment,
): number {
  const signer = generateSigner(keyId).andThen(generated =>
    writePrivate(out, generated.privateKeyPem).map(() => generated.signer),
  );
  if (signer.isErr) return reportInvalid(signer.error, environment);
  printJson(signer.value, environment);
  return EXIT_CODES.ok;
}

/**
 * Signs the exact text of a bundle file and prints the signed bundle.
 *
 * @param path - File of the bundle.
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export function signBundleFile(
  path: string,
  {key, keyId}: SignOptions,
  environment: CliEnvironment,
): number {
  const signed = readBundle(path).andThen(({text}) =>
    readText(key).andThen(pem => signBundle(text, keyId, pem)),
  );
  if (signed.isErr) return reportInvalid(signed.error, environment);
  printJson(signed.value, environment);
  return EXIT_CODES.ok;
}

/**
 * Shows the differences between two bundles.
 *
 * @param paths - Files of the earlier and the later bundle, signed or not.
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export function showBundleDiff(
  [earlier, later]: readonly [string, string],
  options: DiffOptions,
  environment: CliEnvironment,
): number {
  const diff = readBundle(earlier).andThen(a =>
    readBundle(later).map(b => diffBundles(a.body, b.body)),
  );
  if (diff.isErr) return reportInvalid(diff.error, environment);
  const {fromVersion, toVersion, changes} = diff.value;
  if (options.json === true) {
    printJson(diff.value, environment);
    return EXIT_CODES.ok;
  }
  environment.out(`version ${fromVersion} -> ${toVersion}\n`);
  if (changes.length === 0) {
    environment.out('No entry differs.\n');
    return EXIT_CODES.ok;
  }
  environment.out(
    formatTable(
      ['SECTION', 'CHANGE', 'ID', 'FIELDS'],
      changes.map(({section, kind, id, fields}) => [
        section,
        kind,
        id,
        fields.length === 0 ? null : fields.join(', '),
      ]),
    ),
  );
  return EXIT_CODES.ok;
}

/**
 * Prints a failure that occurred before anything was published.
 *
 * @param error - The failure.
 * @param environment - Output for the message.
 * @returns The exit code `invalid`.
 */
export function reportInvalid(
  error: WisteriarunError,
  environment: CliEnvironment,
): number {
  environment.err(`error: ${escapeText(describeError(error))}\n`);
  return EXIT_CODES.invalid;
}
