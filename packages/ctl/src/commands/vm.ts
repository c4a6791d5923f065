/** `vm`: the state of the gateways on entry VMs, as each one reports it. */
import {FENCES_PER_TERM, vmStateSchema} from '@wisteriarun/core';
import type {RangeOwner, VmState} from '@wisteriarun/core';
import {request} from 'undici';
import type {CliEnvironment} from '../environment.js';
import {EXIT_CODES} from '../exit-codes.js';
import {escapeText, formatTable} from '../table.js';
import type {Cell} from '../table.js';

/**
 * Longest wait for the headers of an answer, and for each part of its body. A VM
 * that exceeds it is reported as failed.
 */
const TIMEOUT_MS = 3_000;

/** Options of all `vm` commands. */
export interface VmOptions {
  /** Metrics addresses of the VMs, as `host:port`. */
  readonly at: readonly string[];
  readonly json?: boolean;
}

/** States of the VMs that answered, and the resulting exit code. */
interface VmStates {
  readonly states: readonly VmState[];
  readonly exitCode: number;
}

async function fetchState(address: string): Promise<VmState> {
  const answer = await request(`http://${address}/state`, {
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
  });
  return vmStateSchema.parse(await answer.body.json());
}

async function fetchStates(
  {at}: VmOptions,
  environment: CliEnvironment,
): Promise<VmStates> {
  const answers = await Promise.allSettled(at.map(fetchState));
  const states: VmState[] = [];
  for (const [index, answer] of answers.entries()) {
    if (answer.status === 'fulfilled') {
      states.push(answer.value);
      continue;
    }
    const {reason} = answer as {reason: unknown};
    const cause = reason instanceof Error ? reason.message : 'unknown cause';
    environment.err(`${escapeText(at[index] ?? '')}: ${escapeText(cause)}\n`);
  }
  if (states.length === 0) return {states, exitCode: EXIT_CODES.unreachable};
  const isComplete = states.length === at.length;
  return {states, exitCode: isComplete ? EXIT_CODES.ok : EXIT_CODES.partial};
}

/**
 * Prints rows as a table, or as JSON objects whose property names are the
 * headings in lower case with underscores.
 */
function printRows(
  headings: readonly string[],
  rows: readonly (readonly Cell[])[],
  {json}: VmOptions,
  environment: CliEnvironment,
): void {
  if (json !== true) {
    environment.out(formatTable(headings, rows));
    return;
  }
  const names = headings.map(heading =>
    heading.toLowerCase().replaceAll(' ', '_'),
  );
  const items = rows.map(row =>
    Object.fromEntries(row.map((cell, column) => [names[column], cell])),
  );
  environment.out(`${JSON.stringify(items, null, 2)}\n`);
}

/**
 * Shows the bundle in force at each VM, the assigner, and the age of the VM's
 * data.
 *
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export async function showVmStatus(
  options: VmOptions,
  environment: CliEnvironment,
): Promise<number> {
  const {states, exitCode} = await fetchStates(options, environment);
  printRows(
    [
      'VM',
      'ZONE',
      'READY',
      'BUNDLE',
      'ASSIGNER',
      'TERM',
      'REVISION',
      'SERVERS',
      'SERVERS AGE MS',
      'BUNDLES AGE MS',
      'IN FLIGHT',
    ],
    states.map(state => [
      state.vm,
      state.zone,
      state.isReady,
      state.bundle,
      state.isAssigner ? `${state.vm} (itself)` : state.assigner,
      state.term,
      state.revision,
      state.servers.length,
      state.serversAgeMs,
      state.bundlesAgeMs,
      state.requestsInFlight,
    ]),
    options,
    environment,
  );
  return exitCode;
}

/** Describes what would change a range's owner, as far as the VM knows. */
function describeMoveCause(
  {ranges, servers}: VmState,
  range: RangeOwner,
): string {
  if (range.moving) return 'is moving to another server now';
  const server = servers.find(({id}) => id === range.server);
  if (range.server === null) return 'waits for a server that may hold it';
  if (server === undefined) return 'moves: the server is not listed any more';
  if (server.isDraining) return 'moves: the server leaves';
  if (server.bornMs !== range.bornMs) return 'new grant: server restarted';
  const owned = ranges.filter(other => other.server === range.server).length;
  return `a loss of the server, or a load above its share (${owned} ranges)`;
}

/**
 * Shows the owner of a key, the grant that made it the owner, and what would
 * move the key.
 *
 * @param service - Name of the service.
 * @param key - The key.
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export async function showVmOwner(
  service: string,
  key: number,
  options: VmOptions,
  environment: CliEnvironment,
): Promise<number> {
  const {states, exitCode} = await fetchStates(options, environment);
  const rows = states.map((state): Cell[] => {
    const range = state.ranges.find(
      ({service: name, fromKey, toKey}) =>
        name === service && fromKey <= key && key <= toKey,
    );
    if (range === undefined) {
      return [state.vm, null, null, null, null, 'no owner is known'];
    }
    return [
      state.vm,
      `${range.fromKey}-${range.toKey}`,
      range.server,
      // A fence is the term times `FENCES_PER_TERM` plus the number of the grant.
      Math.floor(range.fence / FENCES_PER_TERM),
      range.fence % FENCES_PER_TERM,
      describeMoveCause(state, range),
    ];
  });
  printRows(
    ['VM', 'KEYS', 'SERVER', 'SINCE TERM', 'GRANT', 'WHAT MOVES IT'],
    rows,
    options,
    environment,
  );
  return exitCode;
}

/**
 * Shows the draining servers and how many keys they still own.
 *
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export async function showVmDrains(
  options: VmOptions,
  environment: CliEnvironment,
): Promise<number> {
  const {states, exitCode} = await fetchStates(options, environment);
  const rows = states.flatMap(({vm, servers, ranges}) =>
    servers
      .filter(({isDraining}) => isDraining)
      .map((server): Cell[] => {
        // A former owner may still hold the keys of a range.
        const held = ranges.filter(
          range => range.server === server.id || range.former === server.id,
        );
        const keys = held.reduce(
          (sum, {fromKey, toKey}) => sum + toKey - fromKey + 1,
          0,
        );
        return [vm, server.id, server.service, server.zone, held.length, keys];
      }),
  );
  printRows(
    ['VM', 'SERVER', 'SERVICE', 'ZONE', 'RANGES LEFT', 'KEYS LEFT'],
    rows,
    options,
    environment,
  );
  return exitCode;
}
