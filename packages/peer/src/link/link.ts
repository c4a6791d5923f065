/** One connection to a peer, from its first byte to its close. */
import type {Socket} from 'node:net';
import {ERRORS, helloSchema, peerMessageSchema} from '@wisteriarun/core';
import type {Hello, PeerMessage, WisteriarunError} from '@wisteriarun/core';
import {encodeFrame, FrameDecoder, MAX_FRAME_BYTES} from '@wisteriarun/runtime';
import type {Clock} from '@wisteriarun/runtime';
import {Handshake} from './handshake.js';
import type {LinkRole} from './handshake.js';

/** Maximum number of unsent bytes; protects memory from a slow reader. */
export const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
/** Largest frame accepted before the peer has proven that it has the secret. */
const MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;
/** Time limit for the connection, the handshake and the hello together. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;
/** Time for messages in transit on a retired link; then it is destroyed. */
const RETIRE_TIMEOUT_MS = 1_000;

/** What a link needs from the mesh that uses it: identity, clock, callbacks. */
export interface LinkOwner {
  readonly identity: {
    readonly deployment: string;
    readonly vm: string;
    readonly secret: string;
  };
  readonly clock: Clock;
  createHello(): Hello;
  /** Called once, after the peer's hello. */
  onReady(link: Link): void;
  onMessage(link: Link, message: PeerMessage): void;
  /** Called exactly once when the link ends, for any cause. */
  onClosed(link: Link, cause: WisteriarunError): void;
}

/** The kind of frame that the link expects next, or its state after the hello. */
type Stage = 'challenge' | 'proof' | 'hello' | 'ready' | 'closed';

/** Authenticated message connection over one socket. */
export class Link {
  /** Hello of the peer; null until the peer has authenticated and sent it. */
  peerHello: Hello | null = null;
  /** Id that the peer claims; authenticated from the stage `hello` on. */
  peerVm: string | null = null;
  /** Sequence number of the connection at its connector; orders duplicates. */
  attempt: number;
  /** Monotonic time of the latest message from the peer. */
  lastHeardMs: number;
  readonly #owner: LinkOwner;
  readonly #socket: Socket;
  readonly #handshake: Handshake;
  readonly #decoder = new FrameDecoder(MAX_HANDSHAKE_FRAME_BYTES);
  #stage: Stage = 'challenge';
  #closeCause: WisteriarunError | null = null;
  #timer: NodeJS.Timeout;

  /**
   * @param owner - Mesh that uses the link.
   * @param socket - Connecting or connected socket.
   * @param role - Role of this end.
   * @param attempt - Sequence number of the connection at a connector, else 0.
   */
  constructor(
    owner: LinkOwner,
    socket: Socket,
    readonly role: LinkRole,
    attempt: number,
  ) {
    this.#owner = owner;
    this.#socket = socket;
    this.attempt = attempt;
    this.lastHeardMs = owner.clock.monotonicMs();
    this.#handshake = new Handshake(owner.identity, role, attempt);
    this.#timer = setTimeout(() => {
      this.close(ERRORS.peerUnreachable('handshake timed out'));
    }, HANDSHAKE_TIMEOUT_MS);
    socket.setNoDelay(true);
    socket.on('error', error => {
      this.#closeCause ??= ERRORS.peerUnreachable(error.message);
    });
    socket.on('close', () => this.#onSocketClosed());
    socket.on('end', () => {
      const end = this.#decoder.end();
      if (end.isErr) this.#closeCause ??= end.error;
    });
    socket.on('data', chunk => this.#receive(chunk));
    // The socket queues the frame until it is connected.
    this.#write(this.#handshake.challenge);
  }

  /** Whether messages can be sent and received. */
  get isReady(): boolean {
    return this.#stage === 'ready';
  }

  /**
   * Queues a message.
   *
   * @param frame - Encoded frame.
   * @returns False when the link is not usable or was closed because its
   * buffer is full.
   */
  sendFrame(frame: Buffer): boolean {
    if (this.#stage !== 'ready') return false;
    return this.#writeFrame(frame);
  }

  /**
   * Ends the link after the queued messages are sent. Messages that the peer
   * sends before it notices the end are still delivered, for at most
   * `RETIRE_TIMEOUT_MS`.
   *
   * @param cause - Why the link ends.
   */
  retire(cause: WisteriarunError): void {
    if (this.#stage === 'closed') return;
    this.#closeCause ??= cause;
    this.#socket.end();
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.#socket.destroy(), RETIRE_TIMEOUT_MS);
  }

  /**
   * Closes the link at once.
   *
   * @param cause - Why the link ends.
   */
  close(cause: WisteriarunError): void {
    this.#closeCause ??= cause;
    this.#socket.destroy();
  }

  #onSocketClosed(): void {
    clearTimeout(this.#timer);
    this.#stage = 'closed';
    const cause =
      this.#closeCause ?? ERRORS.peerUnreachable('closed by the peer');
    this.#owner.onClosed(this, cause);
  }

  #write(value: unknown): void {
    const frame = encodeFrame(value);
    if (frame.isErr) return this.close(frame.error);
    this.#writeFrame(frame.value);
  }

  #writeFrame(frame: Buffer): boolean {
    if (this.#socket.destroyed || this.#socket.writableEnded) return false;
    if (this.#socket.writableLength + frame.length > MAX_BUFFERED_BYTES) {
      this.close(ERRORS.peerUnreachable('outgoing buffer is full'));
      return false;
    }
    this.#socket.write(frame);
    return true;
  }

  #receive(chunk: Buffer): void {
    for (const result of this.#decoder.decode(chunk)) {
      if (this.#socket.destroyed) return;
      if (result.isErr) return this.close(result.error);
      const error = this.#handle(result.value);
      if (error !== null) return this.close(error);
    }
  }

  #handle(frame: unknown): WisteriarunError | null {
    switch (this.#stage) {
      case 'challenge':
        return this.#handleChallenge(frame);
      case 'proof':
        return this.#handleProof(frame);
      case 'hello':
        return this.#handleHello(frame);
      case 'ready':
        return this.#handleMessage(frame);
      case 'closed':
        return null;
    }
  }

  #handleChallenge(frame: unknown): WisteriarunError | null {
    const received = this.#handshake.receiveChallenge(frame);
    if (received.isErr) return received.error;
    const {vm, attempt} = received.value;
    this.peerVm = vm;
    if (this.role === 'acceptor') this.attempt = attempt;
    this.#stage = 'proof';
    // The acceptor sends its proof only after it has checked the connector's.
    if (this.role === 'connector') this.#write(this.#handshake.createProof());
    return null;
  }

  #handleProof(frame: unknown): WisteriarunError | null {
    const checked = this.#handshake.checkProof(frame);
    if (checked.isErr) return checked.error;
    this.#stage = 'hello';
    this.#decoder.maxFrameBytes = MAX_FRAME_BYTES;
    if (this.role === 'acceptor') this.#write(this.#handshake.createProof());
    this.#write(this.#owner.createHello());
    return null;
  }

  #handleHello(frame: unknown): WisteriarunError | null {
    const parsed = helloSchema.safeParse(frame);
    if (!parsed.success) return ERRORS.peerProtocol('malformed hello');
    const hello = parsed.data;
    if (
      hello.vm !== this.peerVm ||
      hello.deployment !== this.#owner.identity.deployment
    ) {
      return ERRORS.peerUnauthenticated(
        'VM or deployment in the hello differs from the authenticated one',
      );
    }
    clearTimeout(this.#timer);
    this.#updateLastHeard();
    this.peerHello = hello;
    this.#stage = 'ready';
    this.#owner.onReady(this);
    return null;
  }

  #handleMessage(frame: unknown): WisteriarunError | null {
    const parsed = peerMessageSchema.safeParse(frame);
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      const path = issue?.path.join('.') ?? '';
      return ERRORS.peerProtocol(`malformed message at "${path}"`);
    }
    const message = parsed.data;
    if (message.kind === 'hello')
      return ERRORS.peerProtocol('unexpected second hello');
    if (message.kind === 'heartbeat' && message.vm !== this.peerVm) {
      return ERRORS.peerProtocol('heartbeat names another VM');
    }
    this.#updateLastHeard();
    this.#owner.onMessage(this, message);
    return null;
  }

  #updateLastHeard(): void {
    this.lastHeardMs = this.#owner.clock.monotonicMs();
  }
}
