/**
 * `bundle publish`: appends a signed bundle and reports whether it is accepted or
 * rejected.
 */
import {randomUUID} from 'node:crypto';
import {
  ERRORS,
  describeError,
  fold,
  type BundleRecord,
  type RouterState,
  type SignedBundle,
  type Signer,
  type WisteriarunError,
} from '@wisteriarun/core';
import {LogAppender, LogClient} from '@wisteriarun/log';
import {readBundle} from '../bundle-files.js';
import {UsageError} from '../connection.js';
import type {CliEnvironment} from '../environment.js';
import {EXIT_CODES} from '../exit-codes.js';
import {StreamReader} from '../stream-reader.js';
import {escapeText} from '../table.js';
import {reportInvalid} from './bundle-files.js';

/**
 * Default time limit. It applies to the append with its retries and then, in
 * full again, to the wait until the bundle is accepted or rejected.
 */
export const PUBLISH_TIMEOUT_MS = 30_000;

/** Options of `bundle publish`. */
export interface PublishOptions {
  /** Base URL of the log service. */
  readonly log: string;
  readonly stream: string;
  readonly rootKeyId: string;
  readonly rootPublicKey: string;
  /** Operator's name in the bundle record; the key id by default. */
  readonly author?: string;
  readonly timeoutMs: number;
}

/** Inputs and clients of one run of `bundle publish`. */
interface Publication {
  readonly signed: SignedBundle;
  readonly version: number;
  readonly record: BundleRecord;
  readonly reader: StreamReader;
  readonly client: LogClient;
  readonly rootSigners: readonly Signer[];
  readonly timeoutMs: number;
  readonly environment: CliEnvironment;
}

/**
 * Publishes a signed bundle.
 *
 * @param path - File with the signed bundle.
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 * @throws UsageError when the log's URL is malformed.
 */
export async function publishBundle(
  path: string,
  options: PublishOptions,
  environment: CliEnvironment,
): Promise<number> {
  const file = readBundle(path);
  if (file.isErr) return reportInvalid(file.error, environment);
  const {signed, body} = file.value;
  if (signed === null) {
    const error = ERRORS.malformedBundle('signature', 'the file is not signed');
    return reportInvalid(error, environment);
  }
  const client = openClient(options);
  const rootSigners = [
    {keyId: options.rootKeyId, publicKey: options.rootPublicKey},
  ];
  try {
    return await publish({
      signed,
      version: body.version,
      record: {
        kind: 'bundle',
        id: randomUUID(),
        author: options.author ?? signed.keyId,
        baseVersion: body.version - 1,
        signed,
      },
      reader: new StreamReader(client, rootSigners),
      client,
      rootSigners,
      timeoutMs: options.timeoutMs,
      environment,
    });
  } finally {
    await client.close();
  }
}

function openClient({log, stream}: PublishOptions): LogClient {
  try {
    const {protocol, origin} = new URL(log);
    if (!/^https?:$/.test(protocol)) throw new TypeError('not HTTP');
    return new LogClient({endpoint: origin, stream});
  } catch {
    throw new UsageError('--log is not an http or https URL');
  }
}

/** Appends the bundle unless it is in force or would be rejected. */
async function publish(publication: Publication): Promise<number> {
  const {reader, record, client, timeoutMs, environment} = publication;
  const caughtUp = await reader.catchUp();
  if (caughtUp.isErr) {
    environment.err(`error: ${escapeText(describeError(caughtUp.error))}\n`);
    return EXIT_CODES.unreachable;
  }
  const inForce = reader.state.bundle;
  if (inForce !== null && isSameBundle(inForce.signed, publication.signed)) {
    return reportAccepted(publication, inForce.offset, true);
  }
  const offset = reader.state.offset + 1;
  // Applies the record locally first, so that a bundle that would be rejected is
  // not appended.
  const dryRun = fold(reader.state, {offset, record}, publication.rootSigners);
  if (dryRun.verdict.kind === 'rejected') {
    const {error} = dryRun.verdict;
    return error.kind === 'stale-version'
      ? reportRejected(error, publication)
      : reportInvalid(error, environment);
  }
  reader.trackDecision(record.id);
  const appender = new LogAppender({client});
  const appended = await appender.append(record, {
    from: offset,
    timeoutMs,
    isStaleAfter: stored => {
      // Applies the stored record to the state, so that the report can name a
      // version that was accepted first. The appender does not call this for the
      // bundle's own record.
      reader.apply(stored);
      return (reader.state.bundle?.body.version ?? 0) >= publication.version;
    },
  });
  if (appended.isOk) return awaitVerdict(publication);
  const {error} = appended;
  if (error.kind === 'stale-base') {
    return reportRejected(staleVersionError(reader.state), publication);
  }
  environment.err(`error: ${escapeText(describeError(error))}\n`);
  return error.kind === 'append-uncertain'
    ? EXIT_CODES.uncertain
    : EXIT_CODES.unreachable;
}

/** Waits until the appended record is accepted or rejected, and reports it. */
async function awaitVerdict(publication: Publication): Promise<number> {
  const {reader, record, timeoutMs, environment} = publication;
  const decision = await reader.decisionOn(record.id, timeoutMs);
  if (decision.isErr) {
    const {id} = record;
    const detail = describeError(decision.error);
    const error = ERRORS.appendUncertain(id, `no verdict: ${detail}`);
    environment.err(`error: ${escapeText(describeError(error))}\n`);
    return EXIT_CODES.uncertain;
  }
  const {verdict} = decision.value;
  if (verdict.kind === 'rejected') {
    return reportRejected(verdict.error, publication);
  }
  return reportAccepted(publication, decision.value.offset, false);
}

/**
 * Returns whether two signed bundles are equal. They are when an operator runs
 * the command again after the answer of the first run was lost.
 */
function isSameBundle(a: SignedBundle, b: SignedBundle): boolean {
  return a.payload === b.payload && a.signature === b.signature;
}

function staleVersionError({bundle}: RouterState): WisteriarunError {
  return ERRORS.staleVersion(
    bundle?.body.version ?? 0,
    bundle?.author ?? '',
    bundle?.offset ?? 0,
  );
}

function reportAccepted(
  {version, environment}: Publication,
  offset: number,
  wasInForce: boolean,
): number {
  const note = wasInForce ? ' (in force already, nothing was appended)' : '';
  environment.out(`accepted offset=${offset} version=${version}${note}\n`);
  return EXIT_CODES.ok;
}

function reportRejected(
  error: WisteriarunError,
  {environment}: Publication,
): number {
  environment.err(`rejected: ${escapeText(describeError(error))}\n`);
  return EXIT_CODES.rejected;
}
