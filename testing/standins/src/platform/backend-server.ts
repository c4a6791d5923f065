/** Stand-in of a server that runs requests only for keys that it holds. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {HttpEndpoint, readJson, sendJson} from '../utils/http-endpoint.js';
import type {Address, ListenOptions} from '../utils/http-endpoint.js';

const KEY_COUNT = 65_536;

/** How the server answers a request that it has run. */
export type AnswerFault =
  | 'none'
  /** The connection is reset after the run. */
  | 'reset'
  /** The body ends early. */
  | 'truncated'
  /** Neither a length nor an end of the body; a reset ends it. */
  | 'unframed-reset'
  /** Neither a length nor an end of the body; the connection ends it. */
  | 'unframed-end'
  /** Chunks without the last one; the connection ends them. */
  | 'chunked-end'
  /** Bytes that are no answer. */
  | 'garbage'
  /** Answer to another request. */
  | 'wrong-id'
  /** No signature. */
  | 'unsigned'
  /** A status that promises that nothing ran, without the proof. */
  | 'unproven-503'
  /** No answer at all. */
  | 'silent'
  /** An encoding that nobody asked for. */
  | 'encoded'
  /** The server's own failure, with its signature. */
  | 'signed-500';

/** Options of a server. */
export interface PlatformBackendServerOptions {
  readonly id: string;
  readonly slots?: number;
  /** Requests that wait while all slots are busy. */
  readonly maxQueueLength?: number;
  readonly workMs?: number;
  /** False for a service that is not divided by key. */
  readonly checksKeys?: boolean;
  /** Whether a full server resets connections in place of an answer. */
  readonly resetsWhenFull?: boolean;
}

/** A request that the server ran. */
export interface ExecutedRequest {
  readonly id: string;
  readonly key: number | null;
  readonly deadlineMs: number;
  readonly body: string;
}

interface KeyHold {
  fence: number;
  untilMs: number;
}

/** Holds keys, runs requests and keeps a record of both. */
export class PlatformBackendServer {
  answerFault: AnswerFault = 'none';
  /** Time that a run takes. */
  workMs: number;
  /** Calls that get no answer although they take effect. */
  losesGrantAnswers = false;
  readonly executedRequests: ExecutedRequest[] = [];
  /** Ids of requests whose connection was closed before their answer. */
  readonly abandonedRequestIds: string[] = [];
  readonly #options: Required<Omit<PlatformBackendServerOptions, 'workMs'>>;
  readonly #held: KeyHold[] = Array.from({length: KEY_COUNT}, () => ({
    fence: 0,
    untilMs: 0,
  }));
  readonly #endpoint = new HttpEndpoint((request, response) =>
    this.#serve(request, response),
  );
  readonly #waiting: (() => void)[] = [];
  #running = 0;

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
      ...options,
    };
  }

  /** Starts to listen. */
  start(options: ListenOptions = {}): Promise<Address> {
    return this.#endpoint.start(options);
  }

  /** Stops. */
  close(): Promise<void> {
    return this.#endpoint.close();
  }

  /**
   * Whether the server holds a key now.
   *
   * @param key - The key.
   * @returns True while its grant lasts.
   */
  holdsKey(key: number): boolean {
    return this.#held[key]!.untilMs > performance.now();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === '/api/grant') return this.#grant(request, response);
    if (request.url === '/api/release') return this.#release(request, response);
    return this.#run(request, response);
  }

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
    const keys = this.#held.slice(from, to + 1);
    if (keys.some(held => held.fence > fence)) {
      sendJson(response, 409, {});
      return;
    }
    for (const held of keys) {
      held.fence = fence;
      held.untilMs = arrivedAtMs + Number.parseInt(hold_time, 10);
    }
    if (this.losesGrantAnswers) request.socket.resetAndDestroy();
    else sendJson(response, 200, {});
  }

  async #release(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {from, to} = (await readJson(request)) as {from: number; to: number};
    for (const held of this.#held.slice(from, to + 1)) held.untilMs = 0;
    while (this.#running > 0) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
    const token = `${this.#options.id}-${from}-${to}`;
    sendJson(response, 200, {}, {handover: token});
  }

  async #run(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {id, slots, maxQueueLength, checksKeys, resetsWhenFull} =
      this.#options;
    const requestId = String(request.headers['request-id'] ?? '');
    response.once('close', () => {
      if (!response.writableFinished) this.abandonedRequestIds.push(requestId);
    });
    const bodyChunks: Buffer[] = [];
    for await (const chunk of request) bodyChunks.push(chunk as Buffer);
    const loadHeader = () =>
      `${this.#running},${this.#waiting.length},${slots}`;
    const refuse = (status: number) =>
      response
        .writeHead(status, {
          'request-id': requestId,
          'not-executed': '1',
          'server-load': loadHeader(),
        })
        .end();
    const expectedId = request.headers['expect-instance'];
    if (expectedId !== undefined && expectedId !== id) return void refuse(421);
    const key = checksKeys ? Number(request.headers['shard-key']) : null;
    if (key !== null && !this.holdsKey(key)) return void refuse(421);
    if (this.#running >= slots) {
      if (this.#waiting.length >= maxQueueLength) {
        if (resetsWhenFull) request.socket.resetAndDestroy();
        else refuse(503);
        return;
      }
      await new Promise<void>(resolve => this.#waiting.push(resolve));
      if (request.socket.destroyed) {
        this.#waiting.shift()?.();
        return;
      }
    }
    this.#running += 1;
    this.executedRequests.push({
      id: requestId,
      key,
      deadlineMs: Number(request.headers['deadline-ms']),
      body: Buffer.concat(bodyChunks).toString('utf8'),
    });
    await new Promise(resolve => setTimeout(resolve, this.workMs));
    this.#running -= 1;
    this.#waiting.shift()?.();
    this.#answer(request, response, requestId, loadHeader());
  }

  #answer(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
    load: string,
  ): void {
    const {id} = this.#options;
    const body = `answer of ${id}`;
    const headers: Record<string, string> = {
      'request-id': requestId,
      'response-signature': `${id}.${requestId}`,
      'server-load': load,
      'content-length': String(body.length),
    };
    const {socket} = request;
    switch (this.answerFault) {
      case 'none':
        response.writeHead(200, headers).end(body);
        return;
      case 'reset':
        socket.resetAndDestroy();
        return;
      case 'truncated':
        response.writeHead(200, headers).write(body.slice(0, 5), () => {
          socket.end();
        });
        return;
      case 'unframed-reset':
        socket.write(
          'HTTP/1.1 200 OK\r\nconnection: close\r\n' +
            `request-id: ${requestId}\r\nresponse-signature: x\r\n\r\nhalf`,
          () => setTimeout(() => socket.resetAndDestroy(), 5),
        );
        return;
      case 'unframed-end':
        socket.end(
          'HTTP/1.1 200 OK\r\nconnection: close\r\n' +
            `request-id: ${requestId}\r\nresponse-signature: x\r\n\r\nhalf`,
        );
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
