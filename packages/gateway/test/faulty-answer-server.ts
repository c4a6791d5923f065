/** Raw TCP server that sends faulty HTTP answers, and a seeded random source. */
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/**
 * Creates a source of pseudorandom numbers from 0 to 1; the same seed gives the
 * same numbers.
 *
 * @param seed - Seed of the source.
 * @returns Returns the next number at each call.
 */
export function randomSource(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) & 0x7fffffff;
    return state / 0x7fffffff;
  };
}

/**
 * Kinds of answers: complete, faulty or missing. An `unframed` answer has neither
 * a length nor chunks; the end of the connection ends it.
 */
type AnswerKind =
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

/** Kinds to choose from; `whole` is repeated so that it is more frequent. */
const ANSWER_KINDS: readonly AnswerKind[] = [
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
const MAX_DELAY_MS = 5;
const MAX_BODY_BYTES = 4_000;
/**
 * Probability of an additional answer that does not wait for the rest of the body;
 * drawn each time bytes of a request are handled.
 */
const EARLY_ANSWER_PROBABILITY = 0.05;

/** Answers each request with a kind of answer that is chosen at random. */
export class FaultyAnswerServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Kind of every answer; null to choose each one at random. */
  fixedKind: AnswerKind | null = null;

  /**
   * @param random - Source of random numbers.
   */
  constructor(private readonly random: () => number) {
    this.#server = createServer(socket => this.#accept(socket));
  }

  /** Number of open connections. */
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

  /** Closes all connections and stops the server. */
  async close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await new Promise(resolve => this.#server.close(resolve));
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    // The test makes the client reset connections.
    socket.on('error', () => {});
    let received = '';
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
      for (;;) {
        const headEnd = received.indexOf('\r\n\r\n');
        if (headEnd < 0) return;
        const head = received.slice(0, headEnd);
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        const end = headEnd + 4 + length;
        if (this.random() < EARLY_ANSWER_PROBABILITY)
          this.#answer(socket, head);
        if (received.length < end) return;
        received = received.slice(end);
        setTimeout(
          () => this.#answer(socket, head),
          this.random() * MAX_DELAY_MS,
        );
      }
    });
  }

  #answer(socket: Socket, head: string): void {
    if (socket.destroyed) return;
    const kind =
      this.fixedKind ??
      ANSWER_KINDS[Math.floor(this.random() * ANSWER_KINDS.length)]!;
    const id = /request-id: (\S+)/i.exec(head)?.[1] ?? '';
    const body = 'b'.repeat(Math.floor(this.random() * MAX_BODY_BYTES));
    const startOfAnswer = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\n`;
    const answerWithLength = (extra = '') =>
      `${startOfAnswer}Content-Length: ${body.length}\r\n${extra}\r\n${body}`;
    const closeLater = () =>
      setTimeout(() => {
        if (this.random() < 0.5) socket.end();
        else socket.resetAndDestroy();
      }, this.random() * MAX_DELAY_MS);
    switch (kind) {
      case 'whole':
        socket.write(answerWithLength());
        break;
      case 'whole-closed':
        socket.end(answerWithLength('Connection: close\r\n'));
        break;
      case 'twice':
        socket.write(answerWithLength() + answerWithLength());
        break;
      case 'again-later':
        socket.write(answerWithLength());
        setTimeout(
          () => socket.destroyed || socket.write(answerWithLength()),
          this.random() * MAX_DELAY_MS,
        );
        break;
      case 'unframed':
        socket.write(`${startOfAnswer}\r\n${body}.`);
        if (this.fixedKind === null) closeLater();
        break;
      case 'chunks-cut':
        socket.write(
          `${startOfAnswer}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n`,
        );
        closeLater();
        break;
      case 'cut':
        socket.write(
          answerWithLength().slice(0, Math.floor(this.random() * 200)),
        );
        closeLater();
        break;
      case 'garbage':
        socket.write(`no answer\r\n\r\n${answerWithLength()}`);
        break;
      case 'reset':
        socket.resetAndDestroy();
        break;
      case 'silent':
        break;
      case 'whole-reset':
        socket.write(answerWithLength());
        socket.resetAndDestroy();
        break;
      case 'continue-first':
        socket.write(`HTTP/1.1 100 Continue\r\n\r\n${answerWithLength()}`);
        break;
    }
  }
}
