/** Decides when a VM claims the term of a zone as a candidate. */
import type {RouterState, TermRecord} from '../../types/index.js';
import {
  ELECTION_STAGGER_MS,
  PEER_SILENT_MS,
  ZONE_SILENT_MS,
} from '../../types/index.js';
import {rankByRendezvous} from './hash.js';

/** What this VM knows about another entry VM of the deployment. */
export interface ElectionPeer {
  readonly vm: string;
  readonly zone: string;
  /** Arrival of its last heartbeat, on this VM's monotonic clock. */
  readonly lastHeardAtMs: number;
  /** When it was first seen draining, on this VM's clock; null if it is not. */
  readonly drainingSinceMs: number | null;
}

/** Inputs of one election decision. */
export interface ElectionInput {
  readonly self: {
    readonly vm: string;
    readonly zone: string;
    readonly draining: boolean;
  };
  /** Zone whose term this VM may claim. */
  readonly zone: string;
  readonly nowMs: number;
  /** Other entry VMs of all zones. */
  readonly peers: readonly ElectionPeer[];
  readonly state: RouterState;
  readonly logAvailable: boolean;
  /** Time since which this VM has received heartbeats and followed the log. */
  readonly observedSinceMs: number;
  /** Time at which this VM folded the zone's current term. */
  readonly termSeenAtMs: number;
  /** Time at which this VM last read a record by a VM of the zone. */
  readonly lastZoneRecordAtMs: number | null;
}

/** Term record to append, without the id that the caller adds. */
export type TermDraft = Omit<TermRecord, 'id'>;

/**
 * Decides whether this VM appends a term record for a zone now.
 *
 * @param input - State of the peers and the log; all times are on this VM's
 * monotonic clock.
 * @returns The record to append, or null.
 */
export function decideElection(input: ElectionInput): TermDraft | null {
  const {self, zone, state} = input;
  if (self.draining || !input.logAvailable) return null;
  if (!state.bundle?.body.zones.includes(zone)) return null;
  if (state.terms.get(zone)?.holder === self.vm) return null;
  const startMs =
    self.zone === zone ? startInOwnZoneMs(input) : startInOtherZoneMs(input);
  if (startMs === null) return null;
  if (input.nowMs < startMs + ownRank(input) * ELECTION_STAGGER_MS) return null;
  return {
    kind: 'term',
    author: self.vm,
    zone,
    authorZone: self.zone,
    baseTerm: state.terms.get(zone)?.term ?? 0,
  };
}

/**
 * Rank of this VM among the live candidates, 0 for the first to claim. VMs of
 * the zone and VMs of other zones are ranked separately.
 */
function ownRank(input: ElectionInput): number {
  const {self, zone, nowMs} = input;
  const holder = input.state.terms.get(zone)?.holder;
  const isOwnZone = self.zone === zone;
  const others = input.peers
    .filter(p => (p.zone === zone) === isOwnZone && p.vm !== holder)
    .filter(p => p.drainingSinceMs === null)
    .filter(p => nowMs - p.lastHeardAtMs < PEER_SILENT_MS)
    .map(p => p.vm);
  return rankByRendezvous(`term/${zone}`, [self.vm, ...others]).indexOf(
    self.vm,
  );
}

/**
 * Time from which a VM of the zone may claim its term. A term held by a VM of
 * another zone is reclaimed as soon as it is seen.
 */
function startInOwnZoneMs(input: ElectionInput): number | null {
  const term = input.state.terms.get(input.zone);
  if (!term) return input.observedSinceMs;
  if (term.holderZone !== input.zone) return input.termSeenAtMs;
  return holderLostAtMs(input, term.holder);
}

/**
 * Time from which a VM of another zone may claim the term: only once the whole
 * zone has sent no heartbeats and written nothing to the log for
 * `ZONE_SILENT_MS`, and a holder in another zone counts as lost.
 */
function startInOtherZoneMs(input: ElectionInput): number | null {
  const lastHeardMs = input.peers
    .filter(p => p.zone === input.zone)
    .map(p => p.lastHeardAtMs);
  const silentSinceMs = Math.max(
    input.observedSinceMs,
    input.lastZoneRecordAtMs ?? -Infinity,
    ...lastHeardMs,
  );
  const startMs = silentSinceMs + ZONE_SILENT_MS;
  const term = input.state.terms.get(input.zone);
  if (!term || term.holderZone === input.zone) return startMs;
  return Math.max(startMs, holderLostAtMs(input, term.holder));
}

/**
 * Time from which the holder of the term counts as lost: after its silence, or
 * as soon as it is seen draining.
 */
function holderLostAtMs(input: ElectionInput, holder: string): number {
  const peer = input.peers.find(p => p.vm === holder);
  const silentAtMs =
    Math.max(
      input.observedSinceMs,
      input.termSeenAtMs,
      peer?.lastHeardAtMs ?? -Infinity,
    ) + PEER_SILENT_MS;
  if (peer?.drainingSinceMs === null || peer === undefined) return silentAtMs;
  return Math.min(silentAtMs, peer.drainingSinceMs);
}
