/** Finds what decided the end of a request in the logs of all VMs. */
import type {LogLine} from './log-lines.js';

/** Time before a request in which a change of the system may explain it. */
const LOOK_BACK_MS = 6_000;

/** Events that say that a VM missed or could not do something. */
const VM_EVENTS: ReadonlySet<string> = new Set([
  'log-lost',
  'log-regained',
  'loop-stalled',
  'pause-detected',
  'started',
  'signal',
  'stopped',
  'bundle-adopted',
]);
/** Events of the assignment that concern every VM. */
const ASSIGNMENT_EVENTS: ReadonlySet<string> = new Set([
  'assigner-elected',
  'assigner-resigned',
  'assigner-superseded',
  'ownership-append-failed',
]);

/** What each cause of a log line means, for the person on call. */
const CAUSES: Readonly<Record<string, string>> = {
  overload:
    'the owner of the key had as many requests as it is given; refused before it was sent',
  thinned:
    'the key is asked for more than its server can serve; refused before it was sent',
  'too-late':
    'the expected wait did not fit the time that was left; refused before it was sent',
  moving: 'the key was changing hands; refused before it was sent',
  'no-owner': 'no server could hold the key; refused before it was sent',
  'no-server':
    'no server of the service was usable; refused before it was sent',
  'no-service': 'the bundle in force has no such service',
  'no-route': 'the bundle in force has no such route',
  'no-bundle': 'the VM had no bundle yet',
  misdirected:
    'the server did not hold the key, and no other owner was known in time',
  'not-sent': 'no connection to the server; the request was never sent',
  refused: 'the server was full and stated that it did not run the request',
  'connection-lost':
    'the server ended the connection before its answer; the request may have run',
  'wrong-answer':
    'the server answered another request, or in an encoding that nobody asked for; the request may have run',
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

/** A request with what led to its end. */
export interface RequestStory {
  readonly request: LogLine;
  readonly meaning: string;
  /** Moves of the key, changes of the tried servers and events of the VM. */
  readonly before: readonly LogLine[];
}

function movesKey({event, fields}: LogLine, request: LogLine): boolean {
  const {key = '', service} = request.fields;
  if (!event.startsWith('range-mov') || !/^\d+$/.test(key)) return false;
  if (fields['service'] !== service) return false;
  const {from_key: fromKey, to_key: toKey} = fields;
  return Number(fromKey) <= Number(key) && Number(key) <= Number(toKey);
}

/**
 * Tells the story of each attempt with an id.
 *
 * @param lines - Log lines of all VMs in order.
 * @param id - Id of the request.
 * @returns One story for each line about the request; empty when the logs have
 * none, as for requests that were answered.
 */
export function tellStories(
  lines: readonly LogLine[],
  id: string,
): RequestStory[] {
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
        meaning: CAUSES[cause] ?? describeAnswer(request),
        before: withoutRepeats(before),
      };
    });
}

/** An answered request has a line when it failed or was late. */
function describeAnswer({fields}: LogLine): string {
  const {
    status = '',
    held_ms: heldMs = '',
    took_ms: tookMs = '',
    objective_ms: objectiveMs = '',
  } = fields;
  const isLate = Number(tookMs) > Number(objectiveMs);
  const what = isLate
    ? `answered ${tookMs} ms after it was read, objective ${objectiveMs} ms`
    : 'answered by the server';
  return `${what}, status ${status}; held for ${heldMs} ms before it was sent`;
}

/**
 * Every VM logs a change of a server, and a VM logs each failed append; the
 * first of several equal lines is enough.
 */
function withoutRepeats(lines: readonly LogLine[]): LogLine[] {
  const seen = new Set<string>();
  return lines.filter(line => {
    const fields = JSON.stringify({...line.fields, zone: ''});
    const process = line.event.startsWith('server-') ? '' : line.process;
    const what = `${line.event} ${process} ${fields}`;
    if (seen.has(what)) return false;
    seen.add(what);
    return true;
  });
}
