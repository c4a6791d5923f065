/** Reads and writes the files of the `bundle` commands. */
import {openSync, closeSync, readFileSync, writeSync} from 'node:fs';
import {
  ERRORS,
  checkConsistency,
  parseBundle,
  signedBundleSchema,
} from '@wisteriarun/core';
import type {Bundle, SignedBundle, WisteriarunError} from '@wisteriarun/core';
import {Result} from 'true-myth';

/** Only the file's owner may read or write a private key. */
const PRIVATE_MODE = 0o600;

/** Content of a bundle file: the bundle and, if signed, its signature. */
export interface BundleFile {
  /** Exact text of the bundle, over which a signature is computed. */
  readonly text: string;
  readonly body: Bundle;
  /** Null for an unsigned bundle. */
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
 * Reads a signed or unsigned bundle and checks that it is consistent in
 * itself. It does not verify the signature, because the signers that may sign
 * a bundle are listed in the version before it.
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
 * @returns The path, or `unreadable-file`, which failed writes give too.
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
  return error instanceof Error ? error.message : 'unknown cause';
}
