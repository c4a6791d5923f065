/** Typed failures other than those of requests, which are in `outcome.ts`. */

/** Constructors of all failures; each returns a plain object with a `kind`. */
export const ERRORS = {
  malformedRecord: (detail: string) =>
    ({kind: 'malformed-record', detail}) as const,
  /** The record does not belong to `term`, the current one of the zone. */
  staleTerm: (zone: string, holder: string | null, term: number) =>
    ({kind: 'stale-term', zone, holder, term}) as const,
  /** The record was decided from a state that has changed since. */
  staleBase: (detail: string, currentOffset: number) =>
    ({kind: 'stale-base', detail, currentOffset}) as const,
  /** Another bundle is in force than the one that the record replaces. */
  staleVersion: (
    versionInForce: number,
    winnerAuthor: string,
    winnerOffset: number,
  ) =>
    ({
      kind: 'stale-version',
      versionInForce,
      winnerAuthor,
      winnerOffset,
    }) as const,
  /** Only the assigner of `zone` may change the shard. */
  noAuthority: (zone: string, service: string, shard: number) =>
    ({kind: 'no-authority', zone, service, shard}) as const,
  serverNotEligible: (server: string, detail: string) =>
    ({kind: 'server-not-eligible', server, detail}) as const,
  unknownShard: (service: string, shard: number) =>
    ({kind: 'unknown-shard', service, shard}) as const,
  tooManyIsolatedKeys: (service: string, limit: number) =>
    ({kind: 'too-many-isolated-keys', service, limit}) as const,
  malformedBundle: (path: string, detail: string) =>
    ({kind: 'malformed-bundle', path, detail}) as const,
  unknownSigner: (keyId: string) => ({kind: 'unknown-signer', keyId}) as const,
  wrongSignature: (keyId: string) =>
    ({kind: 'wrong-signature', keyId}) as const,
  shardCountChanged: (service: string, from: number, to: number) =>
    ({kind: 'shard-count-changed', service, from, to}) as const,
  /** No snapshot covers the records before `firstOffset`, which are deleted. */
  snapshotMissing: (firstOffset: number) =>
    ({kind: 'snapshot-missing', firstOffset}) as const,
  logUnavailable: (detail: string) =>
    ({kind: 'log-unavailable', detail}) as const,
  /** The log keeps only records from `firstOffset` on. */
  logExpired: (firstOffset: number) =>
    ({kind: 'log-expired', firstOffset}) as const,
  /** The record may have been appended; no answer tells. */
  appendUncertain: (id: string, detail: string) =>
    ({kind: 'append-uncertain', id, detail}) as const,
  vmListUnavailable: (detail: string) =>
    ({kind: 'vm-list-unavailable', detail}) as const,
  /** The call got no valid answer; the server may have received it. */
  serverUnreachable: (server: string, detail: string) =>
    ({kind: 'server-unreachable', server, detail}) as const,
  /** The call was not sent, so it cannot take effect. */
  callNotSent: (server: string, detail: string) =>
    ({kind: 'call-not-sent', server, detail}) as const,
  leaseRefused: (server: string, term: number) =>
    ({kind: 'lease-refused', server, term}) as const,
  peerProtocol: (detail: string) => ({kind: 'peer-protocol', detail}) as const,
  peerUnreachable: (detail: string) =>
    ({kind: 'peer-unreachable', detail}) as const,
  peerUnauthenticated: (detail: string) =>
    ({kind: 'peer-unauthenticated', detail}) as const,
  invalidSetting: (
    section: string,
    key: string,
    found: string,
    allowed: string,
  ) => ({kind: 'invalid-setting', section, key, found, allowed}) as const,
  unreadableFile: (path: string, detail: string) =>
    ({kind: 'unreadable-file', path, detail}) as const,
  operatorUnavailable: (endpoint: string, detail: string) =>
    ({kind: 'operator-unavailable', endpoint, detail}) as const,
  operatorRefused: (endpoint: string, status: number, detail: string) =>
    ({kind: 'operator-refused', endpoint, status, detail}) as const,
} as const;

/** Any failure that a constructor in `ERRORS` returns. */
export type WisteriarunError = ReturnType<(typeof ERRORS)[keyof typeof ERRORS]>;

/**
 * Formats a failure as one line: its `kind`, followed by key=value pairs.
 *
 * @param error - The failure.
 * @returns Text for logs and terminals.
 */
export function describeError(error: WisteriarunError): string {
  const pairs = Object.entries(error)
    .filter(([name]) => name !== 'kind')
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return [error.kind, ...pairs].join(' ');
}
