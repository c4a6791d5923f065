/** Raw TCP server that spoils its answers, and a source of random numbers. */
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/**
 * Pseudorandom numbers from 0 to 1 that a seed repeats.
 *
 * @param seed - The seed.
 * @returns The source.
 */
export function randomSource(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) & 0x7fffffff;
    return state / 0x7fffffff;
  };
}

/** Head of an answer, and what ends or follows it. */
type Spoiled =
  | 'whole'
  | 'whole-closed'
  | 'twice'
  | 'again-later'
  | 'unframed'
  | 'chunks-cut'
  | 'cut'
  | 'garbage'
  | 'reset'
  | 'silent'
  | 'whole-reset'
  | 'continue-first';

const SPOILED: readonly Spoiled[] = [
  'whole',
  'whole',
  'whole',
  'whole-closed',
  'twice',
  'again-later',
  'unframed',
  'chunks-cut',
  'cut',
  'garbage',
  'reset',
  'silent',
  'whole-reset',
  'continue-first',
];
const LATER_MS = 5;
const BODY_BYTES = 4_000;
const EARLY_SHARE = 0.05;

/** Answers each request in a way that a source of numbers chooses. */
export class SpoilingServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Set to answer every request in one way. */
  always: Spoiled | null = null;

  /**
   * @param random - Source of numbers.
   */
  constructor(private readonly random: () => number) {
    this.#server = createServer(socket => this.#accept(socket));
  }

  /** Open connections. */
  get connections(): number {
    return this.#sockets.size;
  }

  /** Starts to listen; returns the address, host:port. */
  async start(): Promise<string> {
    await new Promise<void>(resolve =>
      this.#server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Stops. */
  async close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await new Promise(resolve => this.#server.close(resolve));
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    // Resets by the other side are part of the test.
    socket.on('error', () => {});
    let read = '';
    socket.on('data', chunk => {
      read += chunk.toString('latin1');
      for (;;) {
        const headEnd = read.indexOf('\r\n\r\n');
        if (headEnd < 0) return;
        const head = read.slice(0, headEnd);
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        const end = headEnd + 4 + length;
        if (this.random() < EARLY_SHARE) this.#answer(socket, head);
        if (read.length < end) return;
        read = read.slice(end);
        setTimeout(() => this.#answer(socket, head), this.random() * LATER_MS);
      }
    });
  }

  #answer(socket: Socket, head: string): void {
    if (socket.destroyed) return;
    const kind =
      this.always ?? SPOILED[Math.floor(this.random() * SPOILED.length)]!;
    const id = /request-id: (\S+)/i.exec(head)?.[1] ?? '';
    const body = 'b'.repeat(Math.floor(this.random() * BODY_BYTES));
    const start = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\n`;
    const framed = (extra = '') =>
      `${start}Content-Length: ${body.length}\r\n${extra}\r\n${body}`;
    const endLater = () =>
      setTimeout(() => {
        if (this.random() < 0.5) socket.end();
        else socket.resetAndDestroy();
      }, this.random() * LATER_MS);
    switch (kind) {
      case 'whole':
        socket.write(framed());
        break;
      case 'whole-closed':
        socket.end(framed('Connection: close\r\n'));
        break;
      case 'twice':
        socket.write(framed() + framed());
        break;
      case 'again-later':
        socket.write(framed());
        setTimeout(
          () => socket.destroyed || socket.write(framed()),
          this.random() * LATER_MS,
        );
        break;
      case 'unframed':
        socket.write(`${start}\r\n${body}.`);
        if (this.always === null) endLater();
        break;
      case 'chunks-cut':
        socket.write(`${start}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n`);
        endLater();
        break;
      case 'cut':
        socket.write(framed().slice(0, Math.floor(this.random() * 200)));
        endLater();
        break;
      case 'garbage':
        socket.write(`no answer\r\n\r\n${framed()}`);
        break;
      case 'reset':
        socket.resetAndDestroy();
        break;
      case 'silent':
        break;
      case 'whole-reset':
        socket.write(framed());
        socket.resetAndDestroy();
        break;
      case 'continue-first':
        socket.write(`HTTP/1.1 100 Continue\r\n\r\n${framed()}`);
        break;
    }
  }
}
