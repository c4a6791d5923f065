/** Checks what callers, servers and processes have seen. */
import {CALL_KINDS, WHOLE_FAULTS} from './callers.js';
import type {Call} from './callers.js';
import {GRACE_MS} from './deployment.js';
import type {Deployment, Incarnation} from './deployment.js';
import type {GatewayProcess, ProcessLife} from './gateway-process.js';

/** Statuses that state that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time after the end of the grace period at which a process must have ended. */
const END_MARGIN_MS = 500;
/** Time within which a started process must be ready. */
const START_LIMIT_MS = 10_000;
/** Time after a route's timeout within which the answer must have come. */
const ANSWER_MARGIN_MS = 500;
/** A process may be slow for this long after it was resumed. */
const THAW_MS = 1_000;

/** A broken rule. */
export interface Violation {
  /** Name of the rule, as on the users' pages. */
  readonly rule:
    'FAULT' | 'LOST' | 'TWICE' | 'REFUSED' | 'MIXED' | 'CONFIG' | 'OWNER';
  readonly atMs: number;
  readonly detail: string;
}

/** All executions of one request. */
interface Runs {
  count: number;
  /** Whether a server that is up has handed its whole answer to the system. */
  isAnswered: boolean;
}

/**
 * Finds the rules that were broken in a run.
 *
 * @param deployment - Deployment after the run.
 * @param calls - All requests of the callers.
 * @returns The violations in the order of their times.
 */
export function findViolations(
  deployment: Deployment,
  calls: readonly Call[],
): Violation[] {
  const runs = collectRuns(deployment.incarnations);
  const violations = [
    ...deployment.gateways.flatMap(gateway => [...checkProcesses(gateway)]),
    ...calls.flatMap(call => [...checkCall(call, runs.get(call.id))]),
    ...checkTimeouts(calls),
  ];
  return violations.sort((one, other) => one.atMs - other.atMs);
}

function collectRuns(incarnations: readonly Incarnation[]): Map<string, Runs> {
  const runs = new Map<string, Runs>();
  for (const {server, endedAtMs} of incarnations) {
    for (const {id, isAnswered} of server.executedRequests) {
      const entry = runs.get(id) ?? {count: 0, isAnswered: false};
      entry.count += 1;
      entry.isAnswered ||= isAnswered && endedAtMs === null;
      runs.set(id, entry);
    }
  }
  return runs;
}

/** A process must start, and end only after it was told to. */
function* checkProcesses(gateway: GatewayProcess): Generator<Violation> {
  for (const life of gateway.lives) {
    const {startedAtMs, stoppedAtMs, killedAtMs, endedAtMs} = life;
    const fault = (atMs: number, text: string): Violation => ({
      rule: 'FAULT',
      atMs,
      detail: `${gateway.options.name} ${text}`,
    });
    const end = `code ${life.exitCode}, signal ${life.exitSignal}`;
    if (endedAtMs !== null && killedAtMs === null) {
      const ageMs = Math.round(endedAtMs - startedAtMs);
      if (stoppedAtMs === null) {
        yield fault(endedAtMs, `ended ${ageMs} ms after its start: ${end}`);
      } else if (life.exitCode !== 0 && life.readyAtMs !== null) {
        yield fault(endedAtMs, `stopped with ${end}`);
      }
    }
    if (stoppedAtMs !== null && killedAtMs === null && endedAtMs !== null) {
      const tookMs = endedAtMs - stoppedAtMs - frozenMs(life, stoppedAtMs);
      if (tookMs > GRACE_MS + END_MARGIN_MS) {
        yield fault(stoppedAtMs, `took ${Math.round(tookMs)} ms to stop`);
      }
    }
    const untilMs = endedAtMs ?? performance.now();
    const runsMs = untilMs - startedAtMs - frozenMs(life, startedAtMs);
    if (life.readyAtMs === null && runsMs > START_LIMIT_MS) {
      yield fault(startedAtMs, 'did not become ready');
    }
  }
}

function frozenMs(life: ProcessLife, sinceMs: number): number {
  let sumMs = 0;
  for (const {fromMs, untilMs} of life.freezes) {
    sumMs += Math.max(0, untilMs - Math.max(fromMs, sinceMs));
  }
  return sumMs;
}

function* checkCall(call: Call, runs: Runs | undefined): Generator<Violation> {
  const {id, kind, status, outcome, fault} = call;
  const violation = (rule: Violation['rule'], text: string): Violation => ({
    rule,
    atMs: call.endedAtMs,
    detail: `${id} (${kind}, ${fault}) at ${call.gateway.options.name}: ${text}`,
  });
  const {mayRepeat} = CALL_KINDS[kind];
  if (!mayRepeat && runs !== undefined && runs.count > 1) {
    yield violation('TWICE', `ran ${runs.count} times`);
  }
  if (!mayRepeat && NOT_RUN_STATUSES.has(status) && runs !== undefined) {
    yield violation('REFUSED', `answered ${status}, and ran`);
  }
  const isSuccess = status >= 200 && status < 300 && outcome === 'complete';
  if (isSuccess) yield* checkAnswer(call, violation);
  const isUnanswered = outcome === 'none' || outcome === 'broken';
  const isSound = WHOLE_FAULTS.has(fault) && runs?.isAnswered;
  // At its route's timeout, an answer is broken off.
  const isInTime =
    call.endedAtMs - call.startedAtMs < CALL_KINDS[kind].timeoutMs;
  if (isUnanswered && isSound && isInTime && isCalm(call)) {
    const sinceStopMs =
      call.endedAtMs - (lifeOf(call)?.stoppedAtMs ?? Infinity);
    const stop =
      sinceStopMs > 0 ? `, ${Math.round(sinceStopMs)} ms after SIGTERM` : '';
    yield violation(
      'LOST',
      `${outcome} after ${Math.round(call.endedAtMs - call.startedAtMs)} ms${stop}`,
    );
  }
}

function* checkAnswer(
  {id, fault, headers, answerBytes, receivedBytes}: Call,
  violation: (rule: Violation['rule'], text: string) => Violation,
): Generator<Violation> {
  if (headers['request-id'] !== id) {
    yield violation('MIXED', 'got the answer to another request');
  }
  if (headers['response-signature'] === undefined) {
    yield violation('MIXED', 'got a success without a signature');
  }
  // The body of a server's short text is not compared.
  const isShort = answerBytes > 0 && receivedBytes !== answerBytes;
  if (isShort) {
    yield violation('MIXED', `got ${receivedBytes} of ${answerBytes} bytes`);
  }
  if (fault === 'unframed-reset') {
    yield violation('MIXED', 'a reset answer looks complete');
  }
}

/** The process that took a request. */
function lifeOf({gateway, startedAtMs}: Call): ProcessLife | undefined {
  return gateway.lives.findLast(life => life.startedAtMs <= startedAtMs);
}

/** Whether nothing but planned work happened to the process during a request. */
function isCalm(call: Call): boolean {
  const life = lifeOf(call);
  if (life === undefined) return false;
  const {killedAtMs, stoppedAtMs, freezes} = life;
  if (killedAtMs !== null && killedAtMs <= call.endedAtMs) return false;
  // Requests of the last sixth of the grace period may be cut.
  if (
    stoppedAtMs !== null &&
    call.endedAtMs > stoppedAtMs + (GRACE_MS * 5) / 6
  ) {
    return false;
  }
  return freezes.every(
    ({fromMs, untilMs}) =>
      untilMs + THAW_MS < call.startedAtMs || fromMs > call.endedAtMs,
  );
}

/**
 * Of the requests without an answer at their route's timeout, no more than half may
 * have none half a second later.
 */
function* checkTimeouts(calls: readonly Call[]): Generator<Violation> {
  const pending = calls.filter(call => {
    const tookMs = call.endedAtMs - call.startedAtMs;
    return (
      isCalm(call) && !call.isSlow && tookMs > CALL_KINDS[call.kind].timeoutMs
    );
  });
  const late = pending.filter(
    call =>
      call.endedAtMs - call.startedAtMs >
      CALL_KINDS[call.kind].timeoutMs + ANSWER_MARGIN_MS,
  );
  if (late.length < 8 || late.length * 2 <= pending.length) return;
  const kinds = late.map(({kind, fault, id}) => `${id} (${kind}, ${fault})`);
  yield {
    rule: 'CONFIG',
    atMs: late[0]!.endedAtMs,
    detail: `${late.length} of ${pending.length} requests had no answer 0.5 s after their timeout: ${kinds.slice(0, 5).join(', ')}`,
  };
}
