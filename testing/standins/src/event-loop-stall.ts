/** What tests of a held up event loop need: an outside that goes on. */
import {startScript} from './utils/script-process.js';
import type {ScriptProcess} from './utils/script-process.js';

/**
 * Keeps the event loop of this process busy.
 *
 * @param durationMs - Milliseconds.
 */
export function stallEventLoop(durationMs: number): void {
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < durationMs);
}

/**
 * Keeps the event loop busy so that timers run next, before pending reads.
 *
 * @param durationMs - Milliseconds.
 */
export async function stallEventLoopBeforeTimers(
  durationMs: number,
): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
  stallEventLoop(durationMs);
}

/** A server in a process of its own, which answers every request with 200. */
export class FixedAnswerServer {
  private constructor(
    private readonly child: ScriptProcess,
    /** Address as host:port. */
    readonly address: string,
  ) {}

  /**
   * Starts the process.
   *
   * @param answerMs - Time from a request to its answer.
   * @param body - Body of all answers.
   * @returns The process, which listens.
   */
  static async start(answerMs: number, body = ''): Promise<FixedAnswerServer> {
    const script = `
      const server = require('node:http').createServer((request, response) => {
        request.resume();
        const id = request.headers['request-id'];
        if (id) response.setHeader('request-id', id);
        response.setHeader('response-signature', 'x');
        setTimeout(() => response.end(${JSON.stringify(body)}), ${answerMs});
      });
      server.listen(0, '127.0.0.1', () =>
        process.stdout.write(String(server.address().port)));
    `;
    const {child, firstOutput: port} = await startScript(script);
    return new FixedAnswerServer(child, `127.0.0.1:${port}`);
  }

  /** Ends the process. */
  close(): void {
    this.child.kill();
  }
}

/** How a caller leaves: it closes its connection, or resets it. */
export type DisconnectMethod = 'close' | 'reset';

/** Method of a socket for each way to leave. */
const SOCKET_METHODS: Readonly<Record<DisconnectMethod, string>> = {
  close: 'destroy',
  reset: 'resetAndDestroy',
};
/** Time until the callers connect, in which the loop can be held up. */
const CONNECT_DELAY_MS = 100;

/** Callers that leave. */
export interface DisconnectingCallers {
  readonly port: number;
  readonly count: number;
  readonly disconnectMethod: DisconnectMethod;
  /** Head of the request that each of them sends. */
  readonly requestHead: readonly string[];
  /** Time in which the callers send their requests and leave. */
  readonly connectedMs: number;
}

/**
 * Starts a process that sends requests at once and leaves before they are
 * answered.
 *
 * @param callers - The callers.
 * @returns The process, which is ready and connects a moment later.
 */
export async function startDisconnectingCallers({
  port,
  count,
  disconnectMethod,
  requestHead,
  connectedMs,
}: DisconnectingCallers): Promise<ScriptProcess> {
  const requestText = [...requestHead, '', ''].join('\r\n');
  const script = `
    const {connect} = require('node:net');
    process.stdout.write('ready');
    setTimeout(() => {
      for (let started = 0; started < ${count}; started += 1) {
        const socket = connect(${port}, '127.0.0.1', () => {
          socket.write(${JSON.stringify(requestText)});
          setTimeout(() => socket.${SOCKET_METHODS[disconnectMethod]}(), ${connectedMs});
        });
        socket.on('error', () => {});
      }
    }, ${CONNECT_DELAY_MS});
  `;
  const {child} = await startScript(script);
  return child;
}
