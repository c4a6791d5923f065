/** Callers that keep connections open, read slowly, upload slowly and leave early. */
import {Agent, request} from 'node:http';
import type {ClientRequest, IncomingMessage} from 'node:http';
import {isDelimitedByClose} from '@wisteriarun/runtime';
import {seededRandom, sleep, STAND_IN_HEADERS} from '@wisteriarun/standins';
import type {AnswerFault, Random} from '@wisteriarun/standins';
import type {GatewayProcess} from './gateway-process.js';

/** Host of all routes. */
export const HOST = 'court.example';
/** Longest time between two requests of a caller. */
const MAX_PAUSE_MS = 250;
/** Time after the deadline for which a caller waits for an answer. */
const PATIENCE_MS = 1_500;
/** A caller asks for a new gateway after this share of its requests. */
const SWITCH_PROBABILITY = 0.05;
const LEAVE_PROBABILITY = 0.04;
const FAULT_PROBABILITY = 0.15;
const SLOW_PROBABILITY = 0.3;
const KEY_COUNT = 65_536;
/** Keys that get half of the requests. */
const HOT_KEYS = 200;
/** Longest time for which a slow caller stops reading. */
const MAX_READ_PAUSE_MS = 400;
/** Largest answer; more than the buffers of the connections hold. */
const MAX_DOWNLOAD_BYTES = 12_000_000;

/** Kind of request; each has a route. */
export type CallKind = 'read' | 'file' | 'upload' | 'download';

/** Routes of the kinds of requests. */
export const CALL_KINDS: Readonly<
  Record<
    CallKind,
    {
      readonly method: 'GET' | 'POST';
      readonly prefix: string;
      readonly routeKind: string;
      readonly service: 'records' | 'audio';
      readonly timeoutMs: number;
      readonly mayRepeat: boolean;
    }
  >
> = {
  read: {
    method: 'GET',
    prefix: '/read/',
    routeKind: 'safe',
    service: 'records',
    timeoutMs: 1_200,
    mayRepeat: true,
  },
  file: {
    method: 'POST',
    prefix: '/file/',
    routeKind: 'unsafe',
    service: 'records',
    timeoutMs: 1_500,
    mayRepeat: false,
  },
  upload: {
    method: 'POST',
    prefix: '/audio/',
    routeKind: 'upload',
    service: 'audio',
    timeoutMs: 2_500,
    mayRepeat: false,
  },
  download: {
    method: 'GET',
    prefix: '/docs/',
    routeKind: 'download',
    service: 'audio',
    timeoutMs: 2_500,
    mayRepeat: true,
  },
};

/** Ends of large answers; the gateway forwards these while they arrive. */
const DOWNLOAD_FAULTS: readonly AnswerFault[] = [
  'unframed',
  'closing',
  'unframed-reset',
  'truncated',
];
/** Faults that callers ask servers for. */
const FAULTS: readonly AnswerFault[] = [
  'unframed',
  'closing',
  'doubled',
  'early',
  'reset',
  'truncated',
  'unframed-reset',
  'chunked-end',
  'garbage',
  'wrong-id',
  'unsigned',
  'unproven-503',
  'silent',
  'encoded',
  'signed-500',
];

/** Faults whose answers are whole. */
export const WHOLE_FAULTS: ReadonlySet<AnswerFault> = new Set([
  'none',
  'unframed',
  'closing',
]);

/** A request, and what its caller saw; times as of `performance.now()`. */
export interface Call {
  readonly id: string;
  readonly kind: CallKind;
  readonly gateway: GatewayProcess;
  readonly fault: AnswerFault;
  /** Size of the answer's body; 0 for the server's short text. */
  readonly answerBytes: number;
  readonly bodyBytes: number;
  readonly isSlow: boolean;
  readonly startedAtMs: number;
  endedAtMs: number;
  /** Status of the answer; 0 without one. */
  status: number;
  headers: IncomingMessage['headers'];
  receivedBytes: number;
  /**
   * `complete` for a whole answer, `broken` for one that breaks off, `none` for a
   * connection that ends without an answer, `left` when the caller gave up.
   */
  outcome: 'complete' | 'broken' | 'none' | 'left';
  /** Whether the request went over a connection that had served others. */
  isReused: boolean;
}

/** Sends requests one after the other until it is closed. */
export class Caller {
  readonly calls: Call[] = [];
  readonly #random: Random;
  #gateway: GatewayProcess | null = null;
  #agent = newAgent();
  #isClosed = false;

  /**
   * @param name - Prefix of the request ids.
   * @param seed - Seed of the caller's choices.
   * @param gateways - Gateways to choose from.
   */
  constructor(
    private readonly name: string,
    seed: number,
    private readonly gateways: readonly GatewayProcess[],
  ) {
    this.#random = seededRandom(seed);
  }

  /** Sends requests until `close`; resolves when the last one has ended. */
  async run(): Promise<void> {
    while (!this.#isClosed) {
      await sleep(this.#random() * MAX_PAUSE_MS);
      const gateway = this.#chooseGateway();
      if (gateway === null) continue;
      const call = await this.#send(gateway);
      this.calls.push(call);
      // A retry goes to another gateway, over a new connection.
      if (call.outcome !== 'complete') this.#leaveGateway();
    }
    this.#agent.destroy();
  }

  /** Sends no more requests. */
  close(): void {
    this.#isClosed = true;
  }

  /** An open connection stays with its gateway, also while that one stops. */
  #chooseGateway(): GatewayProcess | null {
    if (this.#random() < SWITCH_PROBABILITY) this.#leaveGateway();
    if (this.#gateway?.isRunning) return this.#gateway;
    const inRotation = this.gateways.filter(
      ({isInRotation, isRunning}) => isInRotation && isRunning,
    );
    const index = Math.floor(this.#random() * inRotation.length);
    this.#gateway = inRotation[index] ?? null;
    return this.#gateway;
  }

  #leaveGateway(): void {
    this.#gateway = null;
    this.#agent.destroy();
    this.#agent = newAgent();
  }

  async #send(gateway: GatewayProcess): Promise<Call> {
    const random = this.#random;
    const below = (limit: number) => Math.floor(random() * limit);
    const kind = drawKind(random);
    const {method, prefix, service, timeoutMs} = CALL_KINDS[kind];
    const faults = kind === 'download' ? DOWNLOAD_FAULTS : FAULTS;
    const hasFault = random() < FAULT_PROBABILITY;
    const call: Call = {
      id: `${this.name}-${this.calls.length}`,
      kind,
      gateway,
      fault: hasFault ? faults[below(faults.length)]! : 'none',
      answerBytes: drawAnswerBytes(kind, random),
      bodyBytes: drawBodyBytes(kind, random),
      isSlow: random() < SLOW_PROBABILITY,
      startedAtMs: performance.now(),
      endedAtMs: 0,
      status: 0,
      headers: {},
      receivedBytes: 0,
      outcome: 'none',
      isReused: false,
    };
    const key = random() < 0.5 ? below(HOT_KEYS) : below(KEY_COUNT);
    const isChunked = random() < 0.5;
    const headers = {
      host: HOST,
      'request-id': call.id,
      'deadline-ms': String(timeoutMs),
      ...(service === 'records' ? {'shard-key': String(key)} : {}),
      ...(call.fault === 'none' ? {} : {[STAND_IN_HEADERS.fault]: call.fault}),
      ...(call.answerBytes === 0
        ? {}
        : {[STAND_IN_HEADERS.answerBytes]: String(call.answerBytes)}),
      ...(method === 'GET' || isChunked
        ? {}
        : {'content-length': String(call.bodyBytes)}),
    };
    const leavesAfterMs =
      random() < LEAVE_PROBABILITY ? random() * 300 : timeoutMs + PATIENCE_MS;
    const {host, ports} = gateway.options;
    await new Promise<void>(resolve => {
      const sent = request({
        host,
        port: ports.callers,
        method,
        path: `${prefix}x`,
        headers,
        agent: this.#agent,
      });
      let hasEnded = false;
      const finish = (outcome: Call['outcome']) => {
        if (hasEnded) return;
        hasEnded = true;
        clearTimeout(timer);
        call.outcome = outcome;
        call.endedAtMs = performance.now();
        call.isReused = sent.reusedSocket;
        resolve();
      };
      const timer = setTimeout(() => {
        finish('left');
        sent.destroy();
      }, leavesAfterMs);
      sent.on('error', () => finish('none'));
      sent.on('response', answer => this.#read(call, answer, finish));
      void writeBody(sent, call, random);
    });
    return call;
  }

  #read(
    call: Call,
    answer: IncomingMessage,
    finish: (outcome: Call['outcome']) => void,
  ): void {
    call.status = answer.statusCode ?? 0;
    call.headers = answer.headers;
    answer.on('data', (chunk: Buffer) => {
      call.receivedBytes += chunk.length;
      if (!call.isSlow) return;
      if (this.#random() > SLOW_PROBABILITY) return;
      answer.pause();
      const pauseMs = this.#random() * MAX_READ_PAUSE_MS;
      setTimeout(() => answer.resume(), pauseMs);
    });
    // libuv reports a reset that arrives with the last bytes as a regular end; the system
    // does not know the peer any more then.
    let isReset = false;
    const {socket, headers} = answer;
    if (isDelimitedByClose(headers)) {
      socket.once('end', () => (isReset = socket.remoteAddress === undefined));
    }
    answer.on('end', () => finish(isReset ? 'broken' : 'complete'));
    answer.on('error', () => finish('broken'));
    answer.on('close', () => finish('broken'));
  }
}

function newAgent(): Agent {
  return new Agent({keepAlive: true, maxSockets: 1});
}

function drawKind(random: Random): CallKind {
  const number = random();
  if (number < 0.45) return 'read';
  if (number < 0.75) return 'file';
  return number < 0.88 ? 'upload' : 'download';
}

function drawAnswerBytes(kind: CallKind, random: Random): number {
  if (kind !== 'download') return 0;
  return 1_000 + Math.floor(random() ** 4 * MAX_DOWNLOAD_BYTES);
}

function drawBodyBytes(kind: CallKind, random: Random): number {
  if (kind === 'file') return 1 + Math.floor(random() * 2_000);
  if (kind !== 'upload') return 0;
  // A part is larger than what the gateway holds in memory.
  return 1_000 + Math.floor(random() ** 3 * 1_500_000);
}

/** Size of the pieces in which a slow caller writes its body. */
const PIECE_BYTES = 65_536;

async function writeBody(
  sent: ClientRequest,
  {bodyBytes, isSlow}: Call,
  random: Random,
): Promise<void> {
  if (!isSlow || bodyBytes < PIECE_BYTES) {
    sent.end(Buffer.alloc(bodyBytes, 'b'));
    return;
  }
  for (let left = bodyBytes; left > 0; left -= PIECE_BYTES) {
    if (sent.destroyed) return;
    sent.write(Buffer.alloc(Math.min(left, PIECE_BYTES), 'b'));
    await sleep(random() * 40);
  }
  sent.end();
}
