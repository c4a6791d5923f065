/** A TCP link with a delay and a limited rate, between a client and a stand-in. */
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/** Interval at which a link passes bytes on. */
const STEP_MS = 10;
const MS_PER_S = 1_000;

/** How slow a link is. */
export interface SlowLinkOptions {
  /** Bytes that each connection carries a second to the client. Default unlimited. */
  readonly bytesPerS?: number;
}

/** Forwards connections to an address, slowly. */
export class SlowLink {
  /** Time that bytes which come from now on spend on the link, in each direction. */
  delayMs = 0;
  readonly #sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    /** Address of the near end, host:port. */
    readonly address: string,
  ) {}

  /**
   * Opens a link.
   *
   * @param target - Address of the far end, host:port.
   * @param options - How slow the link is.
   * @returns The link, which listens on a free port.
   */
  static async open(
    target: string,
    {bytesPerS = Infinity}: SlowLinkOptions = {},
  ): Promise<SlowLink> {
    const [host = '', port = ''] = target.split(':');
    const server = createServer({noDelay: true}, near => {
      const far = connect({host, port: Number(port), noDelay: true});
      link.#forward(near, far, Infinity);
      link.#forward(far, near, bytesPerS);
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const nearPort = (server.address() as AddressInfo).port;
    const link = new SlowLink(server, `127.0.0.1:${nearPort}`);
    return link;
  }

  /** Closes the link and its connections. */
  close(): void {
    this.server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #forward(from: Socket, to: Socket, bytesPerS: number): void {
    this.#sockets.add(from);
    const waiting: {dueAtMs: number; bytes: Buffer}[] = [];
    const timer = setInterval(() => {
      let leftBytes = Math.ceil((bytesPerS * STEP_MS) / MS_PER_S);
      const nowMs = performance.now();
      while (waiting.length > 0 && leftBytes > 0) {
        const first = waiting[0]!;
        if (first.dueAtMs > nowMs) return;
        const passed = first.bytes.subarray(0, leftBytes);
        to.write(passed);
        first.bytes = first.bytes.subarray(passed.length);
        if (first.bytes.length === 0) waiting.shift();
        leftBytes -= passed.length;
      }
    }, STEP_MS);
    from.on('data', bytes =>
      waiting.push({dueAtMs: performance.now() + this.delayMs, bytes}),
    );
    from.on('error', () => {});
    from.on('close', () => {
      clearInterval(timer);
      this.#sockets.delete(from);
      to.destroy();
    });
  }
}
