/** Interfaces between the gateway and the platform. */
import type {Result} from 'true-myth';
import type {WisteriarunError} from './errors.js';
import type {GatewayServer, ReportedLoad} from './gateway.js';
import type {GatewayBundle} from './gateway-bundle.js';

/** Logs of the platform that the gateway reads. */
export type LogName = 'bundles' | 'servers' | 'ownership';

/** A record of a log that keeps the newest value of each key. */
export interface KeyedRecord {
  readonly key: string;
  /** Null when the key was deleted. */
  readonly value: Buffer | null;
  readonly offset: number;
}

/** The newest record of each key in a log. */
export interface KeyedImage {
  readonly records: readonly KeyedRecord[];
  /** Offset of the next record after the image. */
  readonly endOffset: number;
}

/** Consecutive records of a log. */
export interface KeyedBatch {
  readonly records: readonly KeyedRecord[];
  readonly nextOffset: number;
  /** End of the log at the time of the answer; above `nextOffset` if there is more. */
  readonly endOffset: number;
}

/**
 * Outcome of a conditional append: `superseded` when the log does not end at
 * the expected offset any more.
 */
export type AppendOutcome =
  | {readonly kind: 'appended'; readonly offset: number}
  | {readonly kind: 'superseded'; readonly endOffset: number};

/** Logs of the platform. Every call ends within a time limit. */
export interface KeyedLog {
  /**
   * Reads the newest record of each key.
   *
   * @param log - The log.
   * @returns The image, or `log-unavailable`.
   */
  newest(log: LogName): Promise<Result<KeyedImage, WisteriarunError>>;

  /**
   * Reads records from an offset on; waits up to `waitMs` for the first one.
   *
   * @param log - The log.
   * @param offset - First offset to read.
   * @param waitMs - Longest wait for a record; 0 not to wait.
   * @returns The records, which may be none; `log-expired` when the log does
   * not keep the offset any more, or `log-unavailable`.
   */
  read(
    log: LogName,
    offset: number,
    waitMs: number,
  ): Promise<Result<KeyedBatch, WisteriarunError>>;

  /**
   * Appends one record if the log ends at an offset.
   *
   * @param log - The log.
   * @param key - Key of the record.
   * @param value - Value of the record.
   * @param endOffset - Expected end of the log.
   * @returns The outcome; `append-uncertain` when no answer came or the answer
   * does not tell whether or where the record was appended, after which the record
   * may be in the log; or `log-unavailable` when the store refused the append.
   */
  appendAt(
    log: LogName,
    key: string,
    value: Buffer,
    endOffset: number,
  ): Promise<Result<AppendOutcome, WisteriarunError>>;

  /** Closes all connections. */
  close(): void;
}

/** Permission for a server to hold keys for some time. */
export interface KeyGrant {
  /** Id of the server; any other server at the address refuses the grant. */
  readonly server: string;
  readonly fromKey: number;
  readonly toKey: number;
  /** The server refuses a grant with a lower fence than it has accepted. */
  readonly fence: number;
  /**
   * Time for which the server may hold the keys, on its own clock, from the
   * arrival of the grant.
   */
  readonly holdMs: number;
  /** Token that the former owner returned on release; null without one. */
  readonly handover: string | null;
}

/**
 * Outcome of a grant that was answered: accepted, refused because of its fence,
 * or refused for another reason.
 */
export type GrantOutcome = 'granted' | 'fenced' | 'rejected';

/** Keys that a server should stop serving. */
export interface KeyRelease {
  readonly fromKey: number;
  readonly toKey: number;
  readonly fence: number;
}

/** Client for the calls that grant keys to servers and release them. */
export interface KeyGranter {
  /**
   * Grants keys to a server or renews a grant.
   *
   * @param address - Address of the server, host:port.
   * @param grant - The grant.
   * @param timeoutMs - Longest wait for the answer, from the moment at which
   * the call has a connection.
   * @param maySend - Called when the call has a connection; the grant is not
   * sent when it returns false.
   * @returns The outcome; `call-not-sent` when it was not sent, or
   * `server-unreachable`, after which the grant may still take effect.
   */
  grant(
    address: string,
    grant: KeyGrant,
    timeoutMs: number,
    maySend: () => boolean,
  ): Promise<Result<GrantOutcome, WisteriarunError>>;

  /**
   * Asks a server to release keys. It answers when its work on them has ended.
   *
   * @param address - Address of the server, host:port.
   * @param release - The keys.
   * @param timeoutMs - Longest wait for the answer.
   * @returns The handover token, null when the server gave none, or an error
   * as for `grant`.
   */
  release(
    address: string,
    release: KeyRelease,
    timeoutMs: number,
  ): Promise<Result<string | null, WisteriarunError>>;

  /** Closes all connections. */
  close(): void;
}

/** Decoders of the records that operators and servers append to the logs. */
export interface GatewayCodec {
  /**
   * Decodes a record of the bundle log.
   *
   * @param key - Key of the record.
   * @param value - Value of the record.
   * @returns The bundle, null for a record that holds none, or
   * `malformed-bundle`.
   */
  bundle(
    key: string,
    value: Buffer,
  ): Result<GatewayBundle | null, WisteriarunError>;

  /**
   * Decodes a record of the server log.
   *
   * @param key - Key of the record.
   * @param value - Value of the record.
   * @returns The server or `malformed-record`.
   */
  server(key: string, value: Buffer): Result<GatewayServer, WisteriarunError>;
}

/** Headers that callers, servers and the gateway exchange. */
export interface GatewayHeaders {
  readonly requestId: string;
  /** Time for which the caller waits, in milliseconds. */
  readonly deadline: string;
  readonly key: string;
  /** Id of the only server that may run the request. */
  readonly expectedServer: string;
  /** Signature of an answer; the gateway checks only that it is present. */
  readonly signature: string;
  /** Tells that the server did not run the request. */
  readonly notRun: string;
  readonly load: string;
  /** Tells that the server is leaving and should get no new requests. */
  readonly leaving: string;
  /**
   * Parses the load header.
   *
   * @param text - Value of the header.
   * @returns The load, or null when the value is malformed.
   */
  parseLoad(text: string): ReportedLoad | null;
}
