/** Mutual authentication of the two ends of a link. */
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {ERRORS} from '@wisteriarun/core';
import type {WisteriarunError} from '@wisteriarun/core';
import {Result} from 'true-myth';
import * as z from 'zod';

/** Name and version of the handshake; included in every proof. */
const PROTOCOL = 'wisteriarun-link-1';
const NONCE_BYTES = 32;
const MAC_BYTES = 32;
const MAX_NAME_LENGTH = 64;

/** The connector opened the connection, the acceptor accepted it. */
export type LinkRole = 'connector' | 'acceptor';

const bytesSchema = (length: number) =>
  z
    .custom<Uint8Array>(value => value instanceof Uint8Array)
    .refine(value => value.length === length, `${length} bytes`);

const challengeSchema = z.strictObject({
  kind: z.literal('challenge'),
  protocol: z.literal(PROTOCOL),
  deployment: z.string().min(1).max(MAX_NAME_LENGTH),
  vm: z.string().min(1).max(MAX_NAME_LENGTH),
  nonce: bytesSchema(NONCE_BYTES),
  /** Grows with each connection that the sender opens; 0 at an acceptor. */
  attempt: z.int().min(0),
});

/** First frame of each end. */
export type Challenge = z.infer<typeof challengeSchema>;

const proofSchema = z.strictObject({
  kind: z.literal('proof'),
  mac: bytesSchema(MAC_BYTES),
});

/** Second frame of each end. */
export type Proof = z.infer<typeof proofSchema>;

/** State of one handshake at one of its two ends. */
export class Handshake {
  readonly challenge: Challenge;
  readonly #secret: string;
  readonly #role: LinkRole;
  #peerChallenge: Challenge | null = null;

  /**
   * @param identity - Own deployment, VM and secret.
   * @param role - Role of this end.
   * @param attempt - Sequence number of the connection at a connector, else 0.
   */
  constructor(
    identity: {
      readonly deployment: string;
      readonly vm: string;
      readonly secret: string;
    },
    role: LinkRole,
    attempt: number,
  ) {
    this.#secret = identity.secret;
    this.#role = role;
    this.challenge = {
      kind: 'challenge',
      protocol: PROTOCOL,
      deployment: identity.deployment,
      vm: identity.vm,
      nonce: randomBytes(NONCE_BYTES),
      attempt,
    };
  }

  /**
   * Validates and stores the peer's challenge.
   *
   * @param frame - Decoded frame.
   * @returns The challenge, or `peer-protocol` or `peer-unauthenticated`.
   */
  receiveChallenge(frame: unknown): Result<Challenge, WisteriarunError> {
    const parsed = challengeSchema.safeParse(frame);
    if (!parsed.success) {
      return Result.err(ERRORS.peerProtocol('malformed challenge'));
    }
    if (parsed.data.deployment !== this.challenge.deployment) {
      return Result.err(
        ERRORS.peerUnauthenticated(
          `peer belongs to deployment ${parsed.data.deployment}`,
        ),
      );
    }
    this.#peerChallenge = parsed.data;
    return Result.ok(parsed.data);
  }

  /**
   * Builds the own proof; call it after `receiveChallenge`.
   *
   * @returns The proof to send.
   */
  createProof(): Proof {
    return {kind: 'proof', mac: this.#mac(this.#role)};
  }

  /**
   * Checks the peer's proof.
   *
   * @param frame - Decoded frame.
   * @returns Nothing, or `peer-protocol` or `peer-unauthenticated`.
   */
  checkProof(frame: unknown): Result<void, WisteriarunError> {
    const parsed = proofSchema.safeParse(frame);
    if (!parsed.success) {
      return Result.err(ERRORS.peerProtocol('malformed proof'));
    }
    const peerRole = this.#role === 'connector' ? 'acceptor' : 'connector';
    if (timingSafeEqual(parsed.data.mac, this.#mac(peerRole))) {
      return Result.ok(undefined);
    }
    return Result.err(ERRORS.peerUnauthenticated('wrong proof'));
  }

  /**
   * Computes the MAC of a proof. It includes the prover's role, so that a peer
   * without the secret cannot send our own proof back to us.
   */
  #mac(prover: LinkRole): Buffer {
    const own = this.challenge;
    const peer = this.#peerChallenge;
    if (peer === null)
      throw new Error(
        'the peer challenge must arrive before a proof is computed',
      );
    const [connector, acceptor] =
      this.#role === 'connector' ? [own, peer] : [peer, own];
    const text = JSON.stringify([
      PROTOCOL,
      prover,
      own.deployment,
      connector.vm,
      acceptor.vm,
      Buffer.from(connector.nonce).toString('hex'),
      Buffer.from(acceptor.nonce).toString('hex'),
      connector.attempt,
    ]);
    return createHmac('sha256', this.#secret).update(text).digest();
  }
}
