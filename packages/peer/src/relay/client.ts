/** Sends requests to the dispatchers on other entry VMs. */
import {
  Agent,
  request as httpRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import {Readable} from 'node:stream';
import {
  HEADERS,
  REASONS,
  forwardableHeaders,
  isReason,
  parseCount,
  requestFailure,
  singleHeader,
  type HeaderMap,
  type Reason,
} from '@wisteriarun/core';
import {AnswerTimer} from '@wisteriarun/runtime';
import type {RelayRequest, RelayResult} from './types.js';
import {SERVER_HEADER, SERVER_TIME_HEADER} from './wire.js';

const CONNECT_TIMEOUT_MS = 500;
/**
 * Shorter than the keep-alive of `RelayServer`, so that the client closes an
 * idle connection first.
 */
const IDLE_SOCKET_TIMEOUT_MS = 20_000;
/** Extra wait after the deadline, so that the dispatcher can report it. */
const DEADLINE_GRACE_MS = 250;
/** A body stream above this size or of unknown size waits for 100 Continue. */
export const EXPECT_ABOVE_BYTES = 64 * 1024;

/** Address of a relay server. */
export interface RelayAddress {
  readonly host: string;
  readonly port: number;
}

/** Sends requests to relay servers, with one HTTP agent per server. */
export class RelayClient {
  private readonly agents = new Map<string, Agent>();

  /**
   * @param secret - Deployment secret.
   */
  constructor(private readonly secret: string) {}

  /**
   * Relays a request.
   *
   * @param address - Relay server of the dispatcher.
   * @param request - The request.
   * @returns The answer or the failure. Never rejects.
   */
  send(address: RelayAddress, request: RelayRequest): Promise<RelayResult> {
    return new Promise(resolve => {
      if (request.signal.aborted) {
        resolve(failed('caller-gone'));
        return;
      }
      try {
        new Exchange(this.agentFor(address), address, this.secret, request).run(
          resolve,
        );
      } catch {
        // Node refused a header before it sent anything.
        resolve(failed('malformed-request'));
      }
    });
  }

  /** Closes idle and active connections. */
  close(): void {
    for (const agent of this.agents.values()) agent.destroy();
    this.agents.clear();
  }

  /**
   * Closes the connections to a VM that has left.
   *
   * @param address - Relay server of the VM.
   */
  closeConnections(address: RelayAddress): void {
    const agentKey = `${address.host}:${address.port}`;
    this.agents.get(agentKey)?.destroy();
    this.agents.delete(agentKey);
  }

  private agentFor(address: RelayAddress): Agent {
    const agentKey = `${address.host}:${address.port}`;
    let agent = this.agents.get(agentKey);
    if (!agent) {
      agent = new Agent({keepAlive: true, timeout: IDLE_SOCKET_TIMEOUT_MS});
      this.agents.set(agentKey, agent);
    }
    return agent;
  }
}

/** One relayed request and its answer. */
class Exchange {
  private readonly out: ClientRequest;
  /** True once a connection exists: the dispatcher may get the request. */
  private mayBeSent = false;
  private hasTimedOut = false;
  private isResolved = false;
  private readonly timers: AnswerTimer[] = [];

  constructor(
    agent: Agent,
    address: RelayAddress,
    secret: string,
    private readonly request: RelayRequest,
  ) {
    this.out = httpRequest({
      agent,
      host: address.host,
      port: address.port,
      method: request.method,
      path: request.path,
      headers: relayHeaders(request, secret),
      setHost: true,
    });
  }

  /** Sends the request and calls `resolve` exactly once. */
  run(resolve: (result: RelayResult) => void): void {
    const {out, request} = this;
    const onAbort = () => out.destroy();
    const resolveOnce = (result: RelayResult) => {
      if (this.isResolved) return;
      this.isResolved = true;
      resolve(result);
    };
    request.signal.addEventListener('abort', onAbort, {once: true});
    out.once('close', () => {
      request.signal.removeEventListener('abort', onAbort);
      for (const timer of this.timers) timer.close();
      resolveOnce(this.connectionFailure());
    });
    out.on('error', () => resolveOnce(this.connectionFailure()));
    out.once('socket', socket => {
      // The agent's timeout is for idle sockets and must not end this request.
      socket.setTimeout(0);
      if (!socket.connecting) {
        this.mayBeSent = true;
        return;
      }
      const timer = new AnswerTimer(CONNECT_TIMEOUT_MS, () => out.destroy());
      this.timers.push(timer);
      socket.once('connect', () => {
        timer.close();
        this.mayBeSent = true;
      });
    });
    this.timers.push(
      new AnswerTimer(request.remainingMs + DEADLINE_GRACE_MS, () => {
        this.hasTimedOut = true;
        out.destroy();
      }),
    );
    out.once('response', answer => resolveOnce(this.toResult(answer)));
    this.sendBody();
  }

  /** Sends the body, if needed only after 100 Continue has arrived. */
  private sendBody(): void {
    const {out, request} = this;
    const {body} = request;
    if (!(body instanceof Readable)) {
      request.onAdmitted?.();
      out.end(body ?? undefined);
      return;
    }
    if (!expectsContinue(request)) {
      request.onAdmitted?.();
      this.pipeBody(body);
      return;
    }
    out.once('continue', () => {
      request.onAdmitted?.();
      this.pipeBody(body);
    });
    out.flushHeaders();
  }

  private pipeBody(body: Readable): void {
    const {out} = this;
    const onError = () => out.destroy();
    body.once('error', onError);
    body.once('aborted', onError);
    out.once('close', () => {
      body.off('error', onError);
      body.off('aborted', onError);
      body.unpipe(out);
    });
    body.pipe(out);
  }

  private toResult(answer: IncomingMessage): RelayResult {
    const {headers} = answer;
    const outcome = headers[HEADERS.outcome];
    if (outcome === 'answered') {
      const serverUs = parseCount(singleHeader(headers, SERVER_TIME_HEADER));
      return {
        kind: 'answered',
        status: answer.statusCode ?? 502,
        headers: forwardableHeaders(headers),
        ...(serverUs === null ? {} : {serverMs: serverUs / 1_000}),
        body: answer,
      };
    }
    answer.resume();
    const reason = headers[HEADERS.reason];
    // The relay server answers 401 to a wrong secret before it reads the
    // request, so the request was not dispatched.
    if (answer.statusCode === 401) return failed('dispatcher-unreachable');
    if (!isReason(reason) || REASONS[reason].outcome !== outcome) {
      return failed('dispatcher-connection-lost');
    }
    const retryAfterMs = parseCount(
      singleHeader(headers, HEADERS.retryAfterMs),
    );
    const crashCount = parseCount(singleHeader(headers, HEADERS.crashCount));
    return {
      kind: 'failed',
      failure: requestFailure(reason, retryAfterMs),
      crashCount: crashCount ?? 0,
    };
  }

  /**
   * Returns the failure for a request without an answer. Its outcome is not-run
   * only when no connection existed; otherwise the request may have run.
   */
  private connectionFailure(): RelayResult {
    const isCallerGone = this.request.signal.aborted;
    if (!this.mayBeSent) {
      if (isCallerGone) return failed('caller-gone');
      return failed(
        this.hasTimedOut ? 'deadline-expired' : 'dispatcher-unreachable',
      );
    }
    return failed(
      this.hasTimedOut ? 'answer-timeout' : 'dispatcher-connection-lost',
    );
  }
}

/** Whether the body waits for 100 Continue; see `EXPECT_ABOVE_BYTES`. */
function expectsContinue(request: RelayRequest): boolean {
  const {lengthBytes, body} = request;
  if (!(body instanceof Readable)) return false;
  return lengthBytes === null || lengthBytes > EXPECT_ABOVE_BYTES;
}

function relayHeaders(request: RelayRequest, secret: string): HeaderMap {
  const {fence, lengthBytes} = request;
  const headers: HeaderMap = {
    ...forwardableHeaders(request.headers),
    [HEADERS.secret]: secret,
    [HEADERS.requestId]: request.id,
    [HEADERS.service]: request.service,
    [HEADERS.key]: encodeURIComponent(request.key),
    [SERVER_HEADER]: request.server,
    [HEADERS.shard]: String(request.shard),
    [HEADERS.epoch]: String(request.epoch),
    [HEADERS.fence]: `${fence.term}.${fence.seq}`,
    [HEADERS.deadlineMs]: String(Math.max(0, Math.floor(request.remainingMs))),
    [HEADERS.crashCount]: String(request.crashCount),
  };
  delete headers['content-length'];
  if (request.body === null) headers['content-length'] = '0';
  else if (lengthBytes !== null)
    headers['content-length'] = String(lengthBytes);
  else headers['transfer-encoding'] = 'chunked';
  if (expectsContinue(request)) headers['expect'] = '100-continue';
  return headers;
}

function failed(reason: Reason): RelayResult {
  return {kind: 'failed', failure: requestFailure(reason), crashCount: 0};
}
