/**
 * Helpers for tests that stall the event loop: functions that block it, and a
 * server and callers that keep running because they are processes of their own.
 */
import {startScript} from './utils/script-process.js';
import type {ScriptProcess} from './utils/script-process.js';

/**
 * Blocks the event loop of this process.
 *
 * @param durationMs - Time for which the loop is blocked.
 */
export function stallEventLoop(durationMs: number): void {
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < durationMs);
}

/**
 * Blocks the event loop from its check phase, so that timers that are due run
 * before data that has arrived is read.
 *
 * @param durationMs - Time for which the loop is blocked.
 */
export async function stallEventLoopBeforeTimers(
  durationMs: number,
): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
  stallEventLoop(durationMs);
}

/** Time from the last byte of an answer to the end of its connection. */
const CONNECTION_END_DELAY_MS = 5;

/**
 * What ends an answer: its length, or the regular end or a reset of the connection
 * shortly after an answer without a length.
 */
export type AnswerEnd = 'length' | 'close' | 'reset';

/**
 * An HTTP server in a process of its own that answers every request with 200
 * and the same body, also while the event loop of the test is blocked. Answers
 * carry the request id, if any, and a signature, which the gateway requires.
 */
export class FixedAnswerServer {
  private constructor(
    private readonly child: ScriptProcess,
    /** Address in the form `host:port`. */
    readonly address: string,
  ) {}

  /**
   * Starts the process.
   *
   * @param answerMs - Time from a request to its answer.
   * @param body - Body of all answers.
   * @param end - What ends the answers.
   * @returns The server, which is listening.
   */
  static async start(
    answerMs: number,
    body = '',
    end: AnswerEnd = 'length',
  ): Promise<FixedAnswerServer> {
    const script = `
      const body = ${JSON.stringify(body)};
      const end = ${JSON.stringify(end)};
      const endConnection = socket =>
        end === 'reset' ? socket.resetAndDestroy() : socket.end();
      const server = require('node:http').createServer((request, response) => {
        request.resume();
        const id = request.headers['request-id'];
        if (id) response.setHeader('request-id', id);
        response.setHeader('response-signature', 'x');
        if (end !== 'length') {
          response.useChunkedEncodingByDefault = false;
          response.removeHeader('content-length');
          response.shouldKeepAlive = false;
        }
        setTimeout(() => {
          if (end === 'length') response.end(body);
          else response.write(body, () =>
            setTimeout(endConnection, ${CONNECTION_END_DELAY_MS}, request.socket));
        }, ${answerMs});
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

/** How a caller disconnects: by closing its connection or by resetting it. */
export type DisconnectMethod = 'close' | 'reset';

/** Method of `net.Socket` that disconnects in each way. */
const SOCKET_METHODS: Readonly<Record<DisconnectMethod, string>> = {
  close: 'destroy',
  reset: 'resetAndDestroy',
};
/** Leaves the test time to block its event loop before the callers connect. */
const CONNECT_DELAY_MS = 100;

/** Callers that disconnect before they are answered. */
export interface DisconnectingCallers {
  /** Port on 127.0.0.1 to which the callers connect. */
  readonly port: number;
  /** Number of callers, each with a connection of its own. */
  readonly count: number;
  readonly disconnectMethod: DisconnectMethod;
  /** Request line and headers that each caller sends, one per element. */
  readonly requestHead: readonly string[];
  /** Time from sending a request to disconnecting. */
  readonly connectedMs: number;
}

/**
 * Starts a process with callers that send their requests at the same time and
 * disconnect without waiting for answers. The process exits afterwards.
 *
 * @param callers - Number of callers, port, request and kind of disconnect.
 * @returns The process; its callers connect after `CONNECT_DELAY_MS`.
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
