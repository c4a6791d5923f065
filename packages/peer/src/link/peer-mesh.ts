/** Links to all other entry VMs of the deployment. */
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {ERRORS, HEARTBEAT_INTERVAL_MS} from '@wisteriarun/core';
import type {Hello, PeerMessage, WisteriarunError} from '@wisteriarun/core';
import {Channel, encodeFrame} from '@wisteriarun/runtime';
import type {Clock} from '@wisteriarun/runtime';
import type {Stream} from 'most';
import {Result} from 'true-myth';
import {Dialer} from './dialer.js';
import {chooseLink} from './duplicate.js';
import {Link} from './link.js';
import type {LinkOwner} from './link.js';
import type {
  LinkEvent,
  PeerAddress,
  PeerEnvelope,
  PeerMeshOptions,
  PeerView,
} from './types.js';

/**
 * Number of heartbeat intervals without a message after which a link is closed
 * as half-open.
 */
const MAX_SILENT_HEARTBEATS = 4;
/** Maximum number of accepted connections with an unfinished handshake. */
const MAX_PENDING_HANDSHAKES = 256;
/** Time for which the view of a disconnected peer is kept. */
const VIEW_RETENTION_MS = 600_000;

type MutableView = {-readonly [Key in keyof PeerView]: PeerView[Key]};

const addressKey = (address: PeerAddress) => `${address.host}:${address.port}`;

/** Keeps one authenticated control link to each other entry VM. */
export class PeerMesh {
  readonly #options: PeerMeshOptions;
  readonly #server: Server;
  readonly #messages = new Channel<PeerEnvelope>();
  readonly #linkEvents = new Channel<LinkEvent>();
  /** The link in use to each VM. */
  readonly #links = new Map<string, Link>();
  /** Every link that is not closed, also unauthenticated and retired ones. */
  readonly #openLinks = new Set<Link>();
  /** Dialers by address, written `host:port`. */
  readonly #dialers = new Map<string, Dialer>();
  /** The dialer of each link that this VM opened. */
  readonly #dialerOf = new WeakMap<Link, Dialer>();
  /** Last known state of each peer by VM id. */
  readonly #views = new Map<string, MutableView>();
  readonly #linkOwner: LinkOwner;
  readonly #intervalMs: number;
  readonly #maxSilenceMs: number;
  #timer: NodeJS.Timeout | null = null;
  #lastTickMs = 0;
  /** Number of connections opened so far, and `attempt` of the latest one. */
  #connectionCount = 0;
  #isClosed = false;

  /**
   * @param options - Identity, address and callbacks of this VM.
   */
  constructor(options: PeerMeshOptions) {
    this.#options = options;
    this.#intervalMs = options.heartbeatIntervalMs ?? HEARTBEAT_INTERVAL_MS;
    this.#maxSilenceMs =
      options.linkSilentMs ?? MAX_SILENT_HEARTBEATS * this.#intervalMs;
    this.#linkOwner = {
      identity: options,
      clock: options.clock,
      createHello: () => this.#createHello(),
      onReady: link => this.#onReady(link),
      onMessage: (link, message) => this.#onMessage(link, message),
      onClosed: (link, cause) => this.#onClosed(link, cause),
    };
    this.#server = createServer(socket => this.#accept(socket));
  }

  /** Messages of all peers, heartbeats included. */
  get messages(): Stream<PeerEnvelope> {
    return this.#messages.stream;
  }

  /** Emits when a link becomes usable, ends, or fails before it is usable. */
  get linkEvents(): Stream<LinkEvent> {
    return this.#linkEvents.stream;
  }

  /**
   * Listens for peers and starts sending heartbeats.
   *
   * @returns The port, or `peer-unreachable` when the address is not usable.
   */
  listen(): Promise<Result<number, WisteriarunError>> {
    const {host, port} = this.#options;
    return new Promise(resolve => {
      this.#server.once('error', error => {
        resolve(Result.err(ERRORS.peerUnreachable(error.message)));
      });
      this.#server.listen(port, host, () => {
        // Errors of accept, such as a lack of file descriptors, are not fatal.
        this.#server.on('error', error => {
          this.#emitLinkFailed(
            'listener',
            ERRORS.peerUnreachable(error.message),
          );
        });
        this.#lastTickMs = this.#clock.monotonicMs();
        this.#timer = setInterval(() => this.#tick(), this.#intervalMs);
        resolve(Result.ok((this.#server.address() as AddressInfo).port));
      });
    });
  }

  /**
   * Replaces the addresses to connect to. Links in use to addresses that are
   * no longer listed stay until they fail.
   *
   * @param peers - Addresses; the own one is ignored.
   */
  setPeers(peers: readonly PeerAddress[]): void {
    if (this.#isClosed) return;
    const addressesByKey = new Map(peers.map(peer => [addressKey(peer), peer]));
    for (const [key, dialer] of this.#dialers) {
      if (addressesByKey.has(key)) continue;
      dialer.close();
      this.#dialers.delete(key);
    }
    for (const [key, address] of addressesByKey) {
      if (address.vm === this.#options.vm) continue;
      const existing = this.#dialers.get(key);
      if (existing !== undefined) {
        existing.vm = address.vm ?? existing.vm;
        continue;
      }
      const dialer = new Dialer(
        address,
        this.#options.random ?? Math.random,
        next => this.#connect(next),
      );
      this.#dialers.set(key, dialer);
      dialer.dial();
    }
  }

  /**
   * Queues a message for one VM. Delivery is not guaranteed.
   *
   * @param vm - Receiver.
   * @param message - Message to send.
   * @returns False when there is no usable link, the message is too large, or
   * the link was closed because its buffer is full.
   */
  send(vm: string, message: PeerMessage): boolean {
    const link = this.#links.get(vm);
    if (link === undefined) return false;
    return encodeFrame(message).match({
      Ok: frame => link.sendFrame(frame),
      Err: () => false,
    });
  }

  /**
   * Queues a message for every VM with a usable link.
   *
   * @param message - Message to send.
   * @returns Number of links on which the message was queued.
   */
  broadcast(message: PeerMessage): number {
    const frame = encodeFrame(message);
    if (frame.isErr) return 0;
    let count = 0;
    for (const link of [...this.#links.values()]) {
      if (link.sendFrame(frame.value)) count += 1;
    }
    return count;
  }

  /**
   * Returns every known peer, connected or recently disconnected.
   *
   * @returns Copies, in no particular order.
   */
  peers(): PeerView[] {
    return [...this.#views.values()].map(view => ({...view}));
  }

  /**
   * Returns one peer.
   *
   * @param vm - Id of the VM.
   * @returns A copy, or null when the peer is not known.
   */
  peer(vm: string): PeerView | null {
    const view = this.#views.get(vm);
    return view === undefined ? null : {...view};
  }

  /** Closes every link and the listener. */
  async close(): Promise<void> {
    if (this.#isClosed) return;
    this.#isClosed = true;
    if (this.#timer !== null) clearInterval(this.#timer);
    for (const dialer of this.#dialers.values()) dialer.close();
    const listenerClosed = new Promise<void>(resolve => {
      this.#server.close(() => resolve());
    });
    for (const link of [...this.#openLinks]) {
      link.close(ERRORS.peerProtocol('closed by this VM'));
    }
    await listenerClosed;
    this.#messages.close();
    this.#linkEvents.close();
  }

  get #clock(): Clock {
    return this.#options.clock;
  }

  #createHello(): Hello {
    const {deployment, vm, zone, bootId, capacity, relayHost, relayPort} =
      this.#options;
    return {
      kind: 'hello',
      deployment,
      vm,
      zone,
      bootId,
      capacity,
      relayHost,
      relayPort,
    };
  }

  #accept(socket: Socket): void {
    const pending = [...this.#openLinks].filter(
      link => link.role === 'acceptor' && link.peerHello === null,
    );
    if (this.#isClosed || pending.length >= MAX_PENDING_HANDSHAKES) {
      socket.on('error', () => undefined);
      socket.destroy();
      return;
    }
    this.#openLinks.add(new Link(this.#linkOwner, socket, 'acceptor', 0));
  }

  #connect(dialer: Dialer): void {
    if (dialer.vm !== null && this.#links.has(dialer.vm)) {
      dialer.onConnectionEnded(false);
      return;
    }
    const {host, port} = dialer.address;
    this.#connectionCount += 1;
    const socket = connect({host, port});
    const link = new Link(
      this.#linkOwner,
      socket,
      'connector',
      this.#connectionCount,
    );
    this.#dialerOf.set(link, dialer);
    this.#openLinks.add(link);
  }

  #onReady(link: Link): void {
    const hello = link.peerHello;
    if (hello === null) return;
    if (hello.vm === this.#options.vm) {
      // A seed list may contain the address of this VM.
      link.close(ERRORS.peerProtocol('connected to this VM itself'));
      return;
    }
    const dialer = this.#dialerOf.get(link);
    if (dialer !== undefined) {
      dialer.vm = hello.vm;
      dialer.resetBackoff();
    }
    const current = this.#links.get(hello.vm);
    if (current !== undefined) {
      const kept = chooseLink(this.#options.vm, current, link);
      const dropped = kept === link ? current : link;
      dropped.retire(ERRORS.peerProtocol('duplicate link'));
      if (kept === current) return;
    }
    this.#links.set(hello.vm, link);
    this.#updateView(link, hello);
    this.#sendHeartbeat(link);
    const {vm, bootId} = hello;
    // Replacing a link to the same incarnation of the peer is not a change for
    // observers.
    if (current?.peerHello?.bootId === bootId) return;
    this.#linkEvents.emit({kind: 'link-up', vm, bootId});
  }

  #updateView(link: Link, hello: Hello): void {
    const known = this.#views.get(hello.vm);
    const isSameIncarnation = known?.bootId === hello.bootId;
    this.#views.set(hello.vm, {
      vm: hello.vm,
      zone: hello.zone,
      capacity: hello.capacity,
      relayHost: hello.relayHost,
      relayPort: hello.relayPort,
      draining: isSameIncarnation ? known.draining : false,
      offset: isSameIncarnation ? known.offset : 0,
      lastHeardMs: link.lastHeardMs,
      bootId: hello.bootId,
      connected: true,
    });
  }

  #onMessage(link: Link, message: PeerMessage): void {
    const vm = link.peerVm;
    if (vm === null || this.#isClosed) return;
    const view = this.#views.get(vm);
    // A retired link of an earlier incarnation must not refresh the view.
    if (view !== undefined && view.bootId === link.peerHello?.bootId) {
      view.lastHeardMs = link.lastHeardMs;
      if (message.kind === 'heartbeat') {
        view.offset = message.offset;
        view.draining = message.draining;
        view.capacity = message.capacity;
      }
    }
    this.#messages.emit({from: vm, message});
  }

  #onClosed(link: Link, cause: WisteriarunError): void {
    this.#openLinks.delete(link);
    const dialer = this.#dialerOf.get(link);
    const vm = link.peerHello?.vm ?? null;
    const isOwnVm = vm === this.#options.vm;
    if (vm !== null && this.#links.get(vm) === link) {
      this.#links.delete(vm);
      const view = this.#views.get(vm);
      if (view !== undefined) view.connected = false;
      if (!this.#isClosed)
        this.#linkEvents.emit({kind: 'link-down', vm, cause});
    } else if (link.peerHello === null && !this.#isClosed) {
      const address =
        dialer === undefined ? 'inbound' : addressKey(dialer.address);
      this.#emitLinkFailed(address, cause);
    }
    if (this.#isClosed) return;
    const hasLink = vm !== null && this.#links.has(vm);
    dialer?.onConnectionEnded(!isOwnVm && !hasLink);
    if (vm !== null && !hasLink) this.#redial(vm);
  }

  #redial(vm: string): void {
    for (const dialer of this.#dialers.values()) {
      if (dialer.vm === vm) dialer.scheduleRetry();
    }
  }

  #emitLinkFailed(address: string, cause: WisteriarunError): void {
    this.#linkEvents.emit({kind: 'link-failed', address, cause});
  }

  #sendHeartbeat(link: Link): void {
    encodeFrame(this.#options.heartbeat()).match({
      Ok: frame => link.sendFrame(frame),
      Err: () => false,
    });
  }

  #tick(): void {
    const nowMs = this.#clock.monotonicMs();
    const elapsedMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    if (this.#links.size > 0) this.broadcast(this.#options.heartbeat());
    // After a pause of this process, unread messages may still be queued, so
    // silence does not yet mean that a peer has gone.
    if (elapsedMs < 2 * this.#intervalMs) this.#closeSilentLinks(nowMs);
    for (const [vm, view] of this.#views) {
      const isExpired = nowMs - view.lastHeardMs > VIEW_RETENTION_MS;
      if (isExpired && !view.connected) this.#views.delete(vm);
    }
  }

  #closeSilentLinks(nowMs: number): void {
    for (const link of [...this.#links.values()]) {
      const silentMs = Math.round(nowMs - link.lastHeardMs);
      if (silentMs > this.#maxSilenceMs) {
        link.close(ERRORS.peerUnreachable(`silent for ${silentMs} ms`));
      }
    }
  }
}
