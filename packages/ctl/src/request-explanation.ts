/** Finds the events in the logs of all VMs that explain a request's outcome. */
import type {LogLine} from './log-lines.js';

/** Events up to this long before a request's end may explain its outcome. */
const LOOK_BACK_MS = 6_000;

/** Events of a VM that can affect the requests it handles. */
const VM_EVENTS: ReadonlySet<string> = new Set([
  'log-lost',
  'log-regained',
  'loop-stalled',
  'pause-detected',
  'started',
  'signal',
  'stopped',
  'bundle-adopted',
  'bundle-warning',
]);
/** Events of the assigner, which can affect requests at every VM. */
const ASSIGNMENT_EVENTS: ReadonlySet<string> = new Set([
  'assigner-elected',
  'assigner-resigned',
  'assigner-superseded',
  'ownership-append-failed',
]);

/** Explanations of the `cause` values of request log lines, for operators. */
const CAUSE_EXPLANATIONS: Readonly<Record<string, string>> = {
  overload:
    'the owner of the key already had its maximum number of requests; refused before it was sent',
  thinned:
    'the key receives more requests than its server can serve; refused before it was sent',
  'too-late':
    'the expected wait exceeded the remaining time; refused before it was sent',
  moving: 'the key was moving to another server; refused before it was sent',
  'no-owner': 'no server could hold the key; refused before it was sent',
  'no-server':
    'no server of the service was usable; refused before it was sent',
  'no-service': 'the bundle in force has no such service',
  'no-route': 'the bundle in force has no such route',
  'no-bundle': 'the VM had no bundle yet',
  misdirected:
    'the server did not hold the key, and no other owner was known in time',
  'not-sent': 'no connection to the server; the request was never sent',
  withdrawn:
    'the server had been draining for too long when a connection was free; the request was never sent',
  paused:
    'the server had asked this VM for a pause with a refusal; refused before it was sent',
  refused: 'the server was full and stated that it did not run the request',
  'connection-lost':
    'the server ended the connection before its answer; the request may have run',
  'wrong-answer':
    'the server sent the answer of another request, or used an encoding that was not requested; the request may have run',
  'unsigned-answer':
    'the answer had no signature of the server; the request may have run',
  timeout:
    'the server did not answer within the deadline or the route timeout; the request may have run',
  'caller-gone': 'the caller closed its connection first',
  'crashes-servers': 'the request had crashed three servers',
  'body-too-large': 'the body exceeds the limit of the bundle',
  'invalid-key': 'the key header is missing or malformed',
  'refused-by-server': 'the server found the request malformed',
};

/** A request's log line, its explanation and the related earlier events. */
export interface RequestExplanation {
  readonly request: LogLine;
  /** How the request ended, in words. */
  readonly meaning: string;
  /**
   * Moves of the key, changes of the tried servers, events of assigners and
   * events of the VM that handled the request.
   */
  readonly before: readonly LogLine[];
}

/** Whether a line reports a move of the range that contains the request's key. */
function movesKey({event, fields}: LogLine, request: LogLine): boolean {
  const {key = '', service} = request.fields;
  if (!event.startsWith('range-mov') || !/^\d+$/.test(key)) return false;
  if (fields['service'] !== service) return false;
  const {from_key: fromKey, to_key: toKey} = fields;
  return Number(fromKey) <= Number(key) && Number(key) <= Number(toKey);
}

/**
 * Explains the outcome of every request that was logged with the given id.
 *
 * @param lines - Log lines of all VMs in order.
 * @param id - Id of the request.
 * @returns One explanation for each log line of the request. Empty when there
 * is none: requests that succeeded in time have no line.
 */
export function explainOutcomes(
  lines: readonly LogLine[],
  id: string,
): RequestExplanation[] {
  return lines
    .filter(({event, fields}) => event === 'request' && fields['id'] === id)
    .map(request => {
      const {cause = '', attempts = ''} = request.fields;
      const servers = new Set(
        attempts.split(',').map(attempt => attempt.split(':')[0] ?? ''),
      );
      const isRelated = (line: LogLine) =>
        movesKey(line, request) ||
        ASSIGNMENT_EVENTS.has(line.event) ||
        (line.event.startsWith('server-') &&
          servers.has(line.fields['server'] ?? '')) ||
        (line.process === request.process && VM_EVENTS.has(line.event));
      const before = lines.filter(
        line =>
          line.timeMs <= request.timeMs &&
          request.timeMs - line.timeMs <= LOOK_BACK_MS &&
          isRelated(line),
      );
      return {
        request,
        meaning: CAUSE_EXPLANATIONS[cause] ?? describeAnswer(request),
        before: withoutRepeats(before),
      };
    });
}

/**
 * Describes the outcome of an answered request. Answers are logged only when
 * they have a status of 500 or above, or are late.
 */
function describeAnswer({fields}: LogLine): string {
  const {
    status = '',
    held_ms: heldMs = '',
    took_ms: tookMs = '',
    objective_ms: objectiveMs = '',
  } = fields;
  const isLate = Number(tookMs) > Number(objectiveMs);
  const outcome = isLate
    ? `answered ${tookMs} ms after it was read, objective ${objectiveMs} ms`
    : 'answered by the server';
  return `${outcome}, status ${status}; held for ${heldMs} ms before it was sent`;
}

/**
 * Keeps the first of several lines with equal content: every VM logs the same
 * change of a server, and a VM logs each of its failed appends.
 */
function withoutRepeats(lines: readonly LogLine[]): LogLine[] {
  const seen = new Set<string>();
  return lines.filter(line => {
    const fields = JSON.stringify({...line.fields, zone: ''});
    const process = line.event.startsWith('server-') ? '' : line.process;
    const identity = `${line.event} ${process} ${fields}`;
    if (seen.has(identity)) return false;
    seen.add(identity);
    return true;
  });
}
