/** Interfaces through which the gateway uses the platform. */
import type {Result} from 'true-myth';
import type {WisteriarunError} from './errors.js';
import type {GatewayBundle, GatewayServer, ReportedLoad} from './gateway.js';

/** Logs of the platform that the gateway reads. */
export type LogName = 'bundles' | 'servers' | 'ownership';

/** A record of a log that keeps the newest value of each key. */
export interface KeyedRecord {
  readonly key: string;
  /** Null when the key was deleted. */
  readonly value: Buffer | null;
  readonly offset: number;
}

/** Newest records of all keys. */
export interface KeyedImage {
  readonly records: readonly KeyedRecord[];
  /** Offset from which later records are read. */
  readonly endOffset: number;
}

/** Records read from an offset on. */
export interface KeyedBatch {
  readonly records: readonly KeyedRecord[];
  readonly nextOffset: number;
}

/** Outcome of an append on the condition that the log has not grown. */
export type AppendOutcome =
  | {readonly kind: 'appended'; readonly offset: number}
  | {readonly kind: 'superseded'; readonly endOffset: number};

/** Log of the platform. Every call ends within its time limit. */
export interface KeyedLog {
  /**
   * Reads the newest record of each key.
   *
   * @param log - The log.
   * @returns The image, or `log-unavailable`.
   */
  newest(log: LogName): Promise<Result<KeyedImage, WisteriarunError>>;

  /**
   * Reads records, waiting for the first one.
   *
   * @param log - The log.
   * @param offset - First offset to read.
   * @param waitMs - Longest wait; 0 answers at once.
   * @returns The records, `log-expired` when the offset is no longer kept, or
   * `log-unavailable`.
   */
  read(
    log: LogName,
    offset: number,
    waitMs: number,
  ): Promise<Result<KeyedBatch, WisteriarunError>>;

  /**
   * Appends one record if the log still ends at an offset.
   *
   * @param log - The log.
   * @param key - Key of the record.
   * @param value - Value of the record.
   * @param endOffset - Expected end of the log.
   * @returns The outcome; `append-uncertain` when no answer came, after which
   * the record may still be appended, or `log-unavailable` when it was not.
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

/** A grant of keys to a server. */
export interface KeyGrant {
  /** Id of the server; another one that uses the address now refuses. */
  readonly server: string;
  readonly fromKey: number;
  readonly toKey: number;
  readonly fence: number;
  /** Time for which the server may hold the keys, on its own clock. */
  readonly holdMs: number;
  /** Token of the server that held the keys before; null without one. */
  readonly handover: string | null;
}

/** Outcome of a grant that was answered. */
export type GrantOutcome = 'granted' | 'fenced' | 'rejected';

/** Keys that a server stopped serving. */
export interface KeyRelease {
  readonly fromKey: number;
  readonly toKey: number;
  readonly fence: number;
}

/** Calls that change which keys a server holds. */
export interface KeyGranter {
  /**
   * Grants or renews keys.
   *
   * @param address - Address of the server, host:port.
   * @param grant - The grant.
   * @param timeoutMs - Longest wait for the answer, from the moment at which
   * the call has a connection.
   * @param maySend - Asked at that moment whether the grant may still be sent.
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
   * Takes keys back; answered when the work on them has ended.
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

/** Decoders of what operators and servers write into the logs. */
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

/** Names of the headers that callers, servers and the gateway exchange. */
export interface GatewayHeaders {
  readonly requestId: string;
  /** How long the caller waits, in milliseconds. */
  readonly deadline: string;
  readonly key: string;
  readonly expectedServer: string;
  /** Proves that an answer is the server's. */
  readonly signature: string;
  /** States that a server did not run the request. */
  readonly notRun: string;
  readonly load: string;
  /**
   * Parses the load header.
   *
   * @param text - Value of the header.
   * @returns The load, or null when the value is malformed.
   */
  parseLoad(text: string): ReportedLoad | null;
}
