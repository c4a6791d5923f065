/** Pauses answers at their sockets instead of in undici's parser. */
import type {Dispatcher} from 'undici';
import {isDelimitedByClose} from './answer-framing.js';
import {listenForNextSocket} from './next-socket.js';
import type {SocketListener} from './next-socket.js';
import type {ServerSocket} from './server-socket.js';

type Dispatch = Dispatcher['dispatch'];

/** The connection was reset before the end of an answer without a length. */
class AnswerReset extends Error {}

/**
 * Interceptor for a pool whose connector is `serverConnector`: an answer that its
 * handler pauses is held at its `ServerSocket`, which explains why, and an answer
 * without a length fails if its connection is reset, which undici takes for its end.
 *
 * @param dispatch - Dispatches the requests.
 * @returns Dispatches requests whose answers may be paused.
 */
export function holdPausedAnswers(dispatch: Dispatch): Dispatch {
  return (options, handler) => dispatch(options, new HoldingHandler(handler));
}

/** Passes calls on, with a controller that holds the socket. */
class HoldingHandler implements Dispatcher.DispatchHandler {
  #controller: HoldingController | null = null;
  #isDelimitedByClose = false;

  constructor(private readonly handler: Dispatcher.DispatchHandler) {}

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.#controller = new HoldingController(controller);
    this.handler.onRequestStart?.(this.#controller, context);
    if (!controller.aborted) listenForNextSocket(this.#controller);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    ...answer: [number, Record<string, string | string[]>, string?]
  ): void {
    this.#isDelimitedByClose = isDelimitedByClose(answer[1]);
    this.handler.onResponseStart?.(this.#controller ?? controller, ...answer);
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.handler.onResponseData?.(this.#controller ?? controller, chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Record<string, string | string[]>,
  ): void {
    const isReset = this.#isDelimitedByClose && this.#controller?.isReset;
    // The connection may carry another request from now on.
    this.#controller?.detach();
    if (isReset) {
      this.handler.onResponseError?.(
        this.#controller ?? controller,
        new AnswerReset('the connection was reset'),
      );
      return;
    }
    this.handler.onResponseEnd?.(this.#controller ?? controller, trailers);
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#controller?.detach();
    this.handler.onResponseError?.(this.#controller ?? controller, error);
  }
}

/** Controls one request; pauses its answer at the socket. */
class HoldingController
  implements Dispatcher.DispatchController, SocketListener
{
  #socket: ServerSocket | null = null;
  #isPaused = false;

  constructor(private readonly controller: Dispatcher.DispatchController) {}

  get aborted(): boolean {
    return this.controller.aborted;
  }

  get paused(): boolean {
    return this.#isPaused;
  }

  get reason(): Error | null {
    return this.controller.reason;
  }

  get rawHeaders() {
    return this.controller.rawHeaders;
  }

  get rawTrailers() {
    return this.controller.rawTrailers;
  }

  onSocket(socket: ServerSocket): void {
    this.#socket = socket;
    if (this.#isPaused) socket.hold();
  }

  /** Whether the connection was reset. */
  get isReset(): boolean {
    return this.#socket?.isReset ?? false;
  }

  /** Ends the control of the socket. */
  detach(): void {
    this.#socket?.release();
    this.#socket = null;
  }

  abort(reason: Error): void {
    this.controller.abort(reason);
  }

  pause(): void {
    this.#isPaused = true;
    this.#socket?.hold();
  }

  resume(): void {
    this.#isPaused = false;
    this.#socket?.release();
  }
}
