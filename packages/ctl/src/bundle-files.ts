/** Files of the `bundle` commands. */
import {openSync, closeSync, readFileSync, writeSync} from 'node:fs';
import {
  ERRORS,
  checkConsistency,
  parseBundle,
  signedBundleSchema,
} from '@wisteriarun/core';
import type {Bundle, SignedBundle, WisteriarunError} from '@wisteriarun/core';
import {Result} from 'true-myth';

/** Only the owner may read a private key. */
const PRIVATE_MODE = 0o600;

/** A bundle and, for a signed file, its signature. */
export interface BundleFile {
  /** Exact text of the bundle. */
  readonly text: string;
  readonly body: Bundle;
  /** Null for a bundle that is not signed yet. */
  readonly signed: SignedBundle | null;
}

/**
 * Reads a text file.
 *
 * @param path - Path of the file.
 * @returns The text, or `unreadable-file`.
 */
export function readText(path: string): Result<string, WisteriarunError> {
  try {
    return Result.ok(readFileSync(path, 'utf8'));
  } catch (error) {
    return Result.err(ERRORS.unreadableFile(path, causeOf(error)));
  }
}

/**
 * Reads a bundle, signed or not, and checks it on its own. The signature is
 * not verified, because its signers are listed in another version.
 *
 * @param path - Path of the file.
 * @returns The bundle, or `unreadable-file` or `malformed-bundle`.
 */
export function readBundle(path: string): Result<BundleFile, WisteriarunError> {
  return readText(path).andThen(content => {
    const signed = parseSigned(content);
    const text = signed?.payload ?? content;
    return parseBundle(text).andThen(body => {
      const fault = checkConsistency(body);
      return fault === null
        ? Result.ok<BundleFile, WisteriarunError>({text, body, signed})
        : Result.err<BundleFile, WisteriarunError>(fault);
    });
  });
}

/**
 * Writes a new file that only its owner may read.
 *
 * @param path - Path of the file; an existing file is not replaced.
 * @param content - Content of the file.
 * @returns The path, or `unreadable-file`.
 */
export function writePrivate(
  path: string,
  content: string,
): Result<string, WisteriarunError> {
  try {
    const file = openSync(path, 'wx', PRIVATE_MODE);
    try {
      writeSync(file, content);
    } finally {
      closeSync(file);
    }
    return Result.ok(path);
  } catch (error) {
    return Result.err(ERRORS.unreadableFile(path, causeOf(error)));
  }
}

function parseSigned(content: string): SignedBundle | null {
  try {
    const parsed = signedBundleSchema.safeParse(JSON.parse(content));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}

function causeOf(error: unknown): string {
  return error instanceof Error ? error.message : 'no cause';
}
