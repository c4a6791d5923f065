/**
 * Stand-in for a backend server of the platform, which executes requests only
 * for keys that the gateway has granted to it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {HttpEndpoint, readJson, sendJson} from '../utils/http-endpoint.js';
import type {Address, ListenOptions} from '../utils/http-endpoint.js';

/** Size of the key space. */
const KEY_COUNT = 65_536;

/** Faults in the answer to a request that has been executed. */
export type AnswerFault =
  | 'none'
  /** The connection is reset without an answer. */
  | 'reset'
  /** The connection ends in the middle of the body. */
  | 'truncated'
  /** The body has neither length nor chunks and is cut off by a reset. */
  | 'unframed-reset'
  /** The body has neither length nor chunks and ends with the connection. */
  | 'unframed-end'
  /** The connection ends before the last chunk. */
  | 'chunked-end'
  /** Bytes that are not an HTTP response. */
  | 'garbage'
  /** The answer carries the id of another request. */
  | 'wrong-id'
  /** The answer has no signature. */
  | 'unsigned'
  /** A 503 without the `not-executed` header, although the request ran. */
  | 'unproven-503'
  /** The server does not answer and keeps the connection open. */
  | 'silent'
  /** The answer has a content encoding that was not requested. */
  | 'encoded'
  /** A signed answer with status 500. */
  | 'signed-500'
  /** A whole answer that has neither length nor chunks. */
  | 'unframed'
  /** A whole answer with a length, after which the connection ends. */
  | 'closing'
  /** A whole answer, and a copy of it in the same write. */
  | 'doubled'
  /** A whole answer before the body of the request has been read. */
  | 'early';

/**
 * Headers with which a caller chooses how a server answers its request; the gateway
 * forwards them.
 */
export const STAND_IN_HEADERS = {
  /** An `AnswerFault`, in place of the server's `answerFault`. */
  fault: 'stand-in-fault',
  /** Size of the answer's body, in place of the option `answerBytes`. */
  answerBytes: 'stand-in-answer-bytes',
  /** Execution time in milliseconds, in place of the server's `workMs`. */
  workMs: 'stand-in-work-ms',
} as const;

/**
 * When a server that refuses the first try of each request writes that refusal
 * once more: in the same write (`at-once`), shortly after it (`late`), or when the
 * next request on the connection arrives (`before-next`) or runs (`while-running`).
 * `never` refuses without a repetition.
 */
export type RefusalRepetition =
  'never' | 'at-once' | 'late' | 'before-next' | 'while-running';

/** Time after a refusal or the start of a request at which a copy is written. */
const REPETITION_DELAY_MS = 4;

/** Time after an early answer at which the body of the request is read. */
const EARLY_ANSWER_READ_DELAY_MS = 100;

/** Options of a `PlatformBackendServer`. */
export interface PlatformBackendServerOptions {
  /** Instance id, compared with the `expect-instance` header. */
  readonly id: string;
  /** Number of requests executed at the same time. Default 3. */
  readonly slots?: number;
  /** Maximum number of requests that wait for a slot. Default 12. */
  readonly maxQueueLength?: number;
  /** Execution time of a request. Default 1. */
  readonly workMs?: number;
  /** False for a service that is not sharded by key. Default true. */
  readonly checksKeys?: boolean;
  /**
   * Whether a full server resets connections instead of answering 503. Default
   * false.
   */
  readonly resetsWhenFull?: boolean;
  /** Size of an answer's body; 0 for a short text. Default 0. */
  readonly answerBytes?: number;
}

/** A request that the server executed. */
export interface ExecutedRequest {
  readonly id: string;
  /** Key of the request; null when the server does not check keys. */
  readonly key: number | null;
  /** Value of the `deadline-ms` header. */
  readonly deadlineMs: number;
  /** Empty if the server does not keep bodies. */
  readonly body: string;
  readonly bodyBytes: number;
  /** Whether the whole answer was handed to the system. */
  isAnswered: boolean;
}

/** Last grant of one key. */
interface KeyHold {
  /** A grant call with a lower fence is refused. */
  fence: number;
  /** Expiry on the clock of `performance.now()`; 0 after a release. */
  untilMs: number;
  /** Expiry of the last grant, whether or not the key was released. */
  grantEndMs: number;
}

/**
 * Accepts grants of keys, executes requests for granted keys and records the
 * requests that it executed.
 */
export class PlatformBackendServer {
  /** Fault of all answers from now on. */
  answerFault: AnswerFault = 'none';
  /** Execution time of a request. */
  workMs: number;
  /** Whether grant calls take effect, but get a reset and no answer. */
  losesGrantAnswers = false;
  /**
   * Refuses the first try of each request with this status, and repeats the
   * refusal; null to refuse none.
   */
  firstTryRefusal: {status: number; repetition: RefusalRepetition} | null =
    null;
  readonly #refusedIds = new Set<string>();
  /** Refusals that are still to be repeated on a connection. */
  readonly #pendingCopies = new Map<Socket, string>();
  /** Whether all answers say that the server is leaving. */
  isLeaving = false;
  /**
   * Pause in seconds that the server asks for in refusals of all requests, as the
   * text of the header; null to refuse none.
   */
  requestedPause: string | null = null;
  /** Whether `executedRequests` holds the bodies. */
  keepsBodies = true;
  /** Called when a grant has taken effect. */
  onGranted: ((fromKey: number, toKey: number) => void) | null = null;
  /** Arrival times of all requests, on the clock of `performance.now()`. */
  readonly arrivalTimesMs: number[] = [];
  /** All executed requests in the order of their starts. */
  readonly executedRequests: ExecutedRequest[] = [];
  /** Ids of requests whose connection was closed before the whole answer. */
  readonly abandonedRequestIds: string[] = [];
  readonly #options: Required<Omit<PlatformBackendServerOptions, 'workMs'>>;
  readonly #keyHolds: KeyHold[] = Array.from({length: KEY_COUNT}, () => ({
    fence: 0,
    untilMs: 0,
    grantEndMs: 0,
  }));
  readonly #runningRequests = new Set<ExecutedRequest>();
  readonly #endpoint = new HttpEndpoint((request, response) =>
    this.#serve(request, response),
  );
  readonly #slotWaiters: (() => void)[] = [];
  #busySlots = 0;

  /**
   * @param options - Options of the server.
   */
  constructor({workMs = 1, ...options}: PlatformBackendServerOptions) {
    this.workMs = workMs;
    this.#options = {
      slots: 3,
      maxQueueLength: 12,
      checksKeys: true,
      resetsWhenFull: false,
      answerBytes: 0,
      ...options,
    };
  }

  /**
   * Starts to listen.
   *
   * @param options - Address to listen on.
   * @returns The address in use.
   */
  start(options: ListenOptions = {}): Promise<Address> {
    return this.#endpoint.start(options);
  }

  /** Stops listening and destroys every connection. */
  close(): Promise<void> {
    return this.#endpoint.close();
  }

  /**
   * Tells whether the server holds a key now.
   *
   * @param key - The key.
   * @returns True until its grant expires or is released.
   */
  holdsKey(key: number): boolean {
    return this.#keyHolds[key]!.untilMs > performance.now();
  }

  /**
   * Finds a request that is running for one of some keys, while the grant under which
   * it was started has not lapsed, even if the key was released since.
   *
   * @param fromKey - First key.
   * @param toKey - Last key.
   * @returns The request, or null when there is none.
   */
  findWork(fromKey: number, toKey: number): ExecutedRequest | null {
    const nowMs = performance.now();
    for (const request of this.#runningRequests) {
      const {key} = request;
      if (key === null || key < fromKey || key > toKey) continue;
      if (this.#keyHolds[key]!.grantEndMs > nowMs) return request;
    }
    return null;
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === '/api/grant') return this.#grant(request, response);
    if (request.url === '/api/release') return this.#release(request, response);
    return this.#serveRequest(request, response);
  }

  /**
   * Grants a range of keys. The hold time counts from the arrival of the call.
   * A call whose fence is lower than that of one of the keys is answered with
   * 409.
   */
  async #grant(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAtMs = performance.now();
    const expectedId = request.headers['expect-instance'];
    if (expectedId !== undefined && expectedId !== this.#options.id) {
      sendJson(response, 421, {});
      return;
    }
    const {from, to, fence, hold_time} = (await readJson(request)) as {
      from: number;
      to: number;
      fence: number;
      hold_time: string;
    };
    const keys = this.#keyHolds.slice(from, to + 1);
    if (keys.some(held => held.fence > fence)) {
      sendJson(response, 409, {});
      return;
    }
    for (const held of keys) {
      held.fence = fence;
      // The hold time is written in milliseconds, such as `500ms`.
      held.untilMs = arrivedAtMs + Number.parseInt(hold_time, 10);
      held.grantEndMs = held.untilMs;
    }
    this.onGranted?.(from, to);
    if (this.losesGrantAnswers) request.socket.resetAndDestroy();
    else sendJson(response, 200, {});
  }

  /**
   * Ends the grants of a range of keys. The answer carries a handover token and
   * is sent when no request is running any more.
   */
  async #release(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {from, to} = (await readJson(request)) as {from: number; to: number};
    for (const held of this.#keyHolds.slice(from, to + 1)) held.untilMs = 0;
    while (this.#busySlots > 0) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
    const token = `${this.#options.id}-${from}-${to}`;
    sendJson(response, 200, {}, {handover: token});
  }

  async #serveRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {id, slots, maxQueueLength, checksKeys, resetsWhenFull} =
      this.#options;
    const requestId = String(request.headers['request-id'] ?? '');
    this.arrivalTimesMs.push(performance.now());
    if (this.isLeaving) response.setHeader('server-leaving', '1');
    response.once('close', () => {
      if (!response.writableFinished) this.abandonedRequestIds.push(requestId);
    });
    const bodyChunks: Buffer[] = [];
    const fault = this.#faultOf(request);
    let bodyBytes = 0;
    if (fault === 'early') {
      // Read on later, so that the connection can be used again.
      setTimeout(() => request.resume(), EARLY_ANSWER_READ_DELAY_MS);
    } else {
      for await (const chunk of request) {
        bodyBytes += (chunk as Buffer).length;
        if (this.keepsBodies) bodyChunks.push(chunk as Buffer);
      }
    }
    const loadHeader = () =>
      `${this.#busySlots},${this.#slotWaiters.length},${slots}`;
    const refuse = (status: number) =>
      response
        .writeHead(status, {
          'request-id': requestId,
          'not-executed': '1',
          'server-load': loadHeader(),
        })
        .end();
    if (this.requestedPause !== null) {
      response.setHeader('retry-after', this.requestedPause);
      return void refuse(503);
    }
    if (this.#refuseFirstTry(request, response, requestId)) return;
    const expectedId = request.headers['expect-instance'];
    if (expectedId !== undefined && expectedId !== id) return void refuse(421);
    const key = checksKeys ? Number(request.headers['shard-key']) : null;
    if (key !== null && !this.holdsKey(key)) return void refuse(421);
    if (this.#busySlots >= slots) {
      if (this.#slotWaiters.length >= maxQueueLength) {
        if (resetsWhenFull) request.socket.resetAndDestroy();
        else refuse(503);
        return;
      }
      await new Promise<void>(resolve => this.#slotWaiters.push(resolve));
      // The caller is gone, so the next waiting request gets the slot.
      if (request.socket.destroyed) {
        this.#slotWaiters.shift()?.();
        return;
      }
    }
    this.#busySlots += 1;
    const executed: ExecutedRequest = {
      id: requestId,
      key,
      deadlineMs: Number(request.headers['deadline-ms']),
      body: Buffer.concat(bodyChunks).toString('utf8'),
      bodyBytes,
      isAnswered: false,
    };
    this.executedRequests.push(executed);
    this.#runningRequests.add(executed);
    const workMs = Number(
      request.headers[STAND_IN_HEADERS.workMs] ?? this.workMs,
    );
    await new Promise(resolve => setTimeout(resolve, workMs));
    this.#runningRequests.delete(executed);
    this.#busySlots -= 1;
    this.#slotWaiters.shift()?.();
    response.once('finish', () => (executed.isAnswered = true));
    this.#sendAnswer(request, response, requestId, loadHeader(), fault);
  }

  #faultOf(request: IncomingMessage): AnswerFault {
    const chosen = request.headers[STAND_IN_HEADERS.fault];
    return (chosen as AnswerFault | undefined) ?? this.answerFault;
  }

  /** Returns true when the request was refused as a first try. */
  #refuseFirstTry(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ): boolean {
    const {socket} = request;
    if (this.firstTryRefusal === null) return false;
    const {status, repetition} = this.firstTryRefusal;
    const copy = this.#pendingCopies.get(socket);
    if (copy !== undefined) {
      this.#pendingCopies.delete(socket);
      if (repetition === 'before-next') socket.write(copy);
      else setTimeout(() => socket.write(copy), REPETITION_DELAY_MS);
    }
    if (this.#refusedIds.has(requestId)) return false;
    this.#refusedIds.add(requestId);
    const refusal =
      `HTTP/1.1 ${status} Refused\r\nrequest-id: ${requestId}\r\n` +
      'not-executed: 1\r\ncontent-length: 0\r\n\r\n';
    response
      .writeHead(status, {
        'request-id': requestId,
        'not-executed': '1',
        'content-length': 0,
      })
      .end();
    if (repetition === 'at-once') socket.write(refusal);
    if (repetition === 'late') {
      setTimeout(() => socket.write(refusal), REPETITION_DELAY_MS);
    } else if (repetition !== 'at-once' && repetition !== 'never') {
      this.#pendingCopies.set(socket, refusal);
    }
    return true;
  }

  #sendAnswer(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
    load: string,
    fault: AnswerFault,
  ): void {
    const {id} = this.#options;
    const answerBytes = Number(
      request.headers[STAND_IN_HEADERS.answerBytes] ??
        this.#options.answerBytes,
    );
    const body = `answer of ${id}`.padEnd(answerBytes, '.');
    const half = answerBytes === 0 ? 'half' : body.slice(0, answerBytes / 2);
    const headers: Record<string, string> = {
      'request-id': requestId,
      'response-signature': `${id}.${requestId}`,
      'server-load': load,
      'content-length': String(body.length),
    };
    const {socket} = request;
    const startOfUnframed =
      'HTTP/1.1 200 OK\r\nconnection: close\r\n' +
      `request-id: ${requestId}\r\nresponse-signature: x\r\n\r\n`;
    switch (fault) {
      case 'none':
      case 'early':
        response.writeHead(200, headers).end(body);
        return;
      case 'closing':
        response.writeHead(200, {...headers, connection: 'close'}).end(body);
        return;
      case 'unframed':
        socket.end(startOfUnframed + body);
        return;
      case 'doubled':
        response.writeHead(200, headers).end(body);
        socket.write(
          `HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\n` +
            'response-signature: x\r\ncontent-length: 4\r\n\r\ncopy',
        );
        return;
      case 'reset':
        socket.resetAndDestroy();
        return;
      case 'truncated':
        response.writeHead(200, headers).write(half, () => {
          socket.end();
        });
        return;
      case 'unframed-reset':
        socket.write(
          startOfUnframed + half,
          // The client must read the bytes first, because a reset discards
          // those that it has not read.
          () => setTimeout(() => socket.resetAndDestroy(), 5),
        );
        return;
      case 'unframed-end':
        socket.end(startOfUnframed + half);
        return;
      case 'chunked-end':
        socket.end(
          'HTTP/1.1 200 OK\r\nconnection: close\r\n' +
            'transfer-encoding: chunked\r\n' +
            `request-id: ${requestId}\r\nresponse-signature: x\r\n\r\n` +
            '4\r\nhalf\r\n',
        );
        return;
      case 'garbage':
        socket.end('\x00\x01 this is no answer\r\n\r\n');
        return;
      case 'wrong-id':
        response.writeHead(200, {...headers, 'request-id': 'other'}).end(body);
        return;
      case 'unsigned':
        delete headers['response-signature'];
        response.writeHead(200, headers).end(body);
        return;
      case 'unproven-503':
        response.writeHead(503, headers).end(body);
        return;
      case 'silent':
        return;
      case 'encoded':
        response
          .writeHead(200, {...headers, 'content-encoding': 'gzip'})
          .end(body);
        return;
      case 'signed-500':
        response.writeHead(500, headers).end(body);
        return;
    }
  }
}
