import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TimelineEvent} from '@wisteriarun/core';
import {OperatorServer} from '@wisteriarun/operator';
import type {OperatorSource, StatusView} from '@wisteriarun/operator';
import fc from 'fast-check';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {EXIT_CODES, runCli} from '../src/index.js';
import {mergeEvents} from '../src/merge-events.js';

const TOKEN = 'operator-token-0123';

const event = (
  process: string,
  seq: number,
  wallTimeMs: number,
  offset: number | null,
  fields: TimelineEvent['fields'] = {},
): TimelineEvent => ({
  wallTimeMs,
  seq,
  process,
  zone: 'a',
  kind: 'k',
  term: null,
  epoch: null,
  offset,
  cause: null,
  fields,
});

const EVENTS: Record<string, TimelineEvent[]> = {
  'entry-1': [
    event('entry-1', 1, 1_000, 5, {key: 'k1', server: 's1'}),
    event('entry-1', 2, 3_000, 7),
  ],
  // The clock of this process is two seconds ahead.
  'entry-2': [
    event('entry-2', 1, 4_500, 6, {from: 's1', to: 's2'}),
    event('entry-2', 2, 4_600, null, {text: 'a\u001b[2Jb'}),
  ],
};

let shardsLeft = 4;
const status = (vm: string): StatusView => ({
  deployment: 'd',
  vm,
  zone: 'a',
  bootId: 'boot',
  draining: false,
  offset: 12,
  logAvailable: true,
  problem: null,
  bundle: {version: 3, offset: 10, author: 'ops', keyId: 'root'},
  terms: [],
  peers: [],
  drains: [
    {
      batch: 'b1',
      leaveAtMs: 1_000_000,
      zone: vm === 'entry-1' ? 'a' : 'b',
      servers: 2,
      shardsTotal: 16,
      shardsLeft,
      expectedFinishMs: 1_000_001,
    },
  ],
});

const row = (shard: number, server: string | null) => ({
  service: 'filing',
  shard,
  key: null,
  server,
  epoch: 9,
  zone: 'a',
  dispatcher: 'entry-1',
});

const sourceOf = (vm: string): OperatorSource => ({
  health: () => ({ok: true, problem: null}),
  status: () => status(vm),
  owners: () => ({offset: 12, rows: [row(0, 's1'), row(1, null)]}),
  explain: (service, key) =>
    service !== 'filing'
      ? null
      : {
          offset: 12,
          service,
          key,
          shard: 5,
          isolated: true,
          server: 's1',
          batch: 'b1',
          epoch: 11,
          reason: 'leaving',
          zone: 'a',
          assigner: 'entry-1',
          term: 4,
          dispatcher: 'entry-2',
          fence: '4.1',
          notes: ['isolated at offset 11'],
        },
  timeline: () => ({process: vm, events: EVENTS[vm] ?? []}),
  metrics: () => '',
});

const servers: OperatorServer[] = [];
let endpoints: string[] = [];
let closedEndpoint = '';

beforeAll(async () => {
  for (const vm of ['entry-1', 'entry-2', 'closed']) {
    const server = new OperatorServer({
      host: '127.0.0.1',
      port: 0,
      token: TOKEN,
      source: sourceOf(vm),
    });
    const port = (await server.listen()).unwrapOr(0);
    endpoints.push(`127.0.0.1:${port}`);
    servers.push(server);
  }
  closedEndpoint = endpoints[2] ?? '';
  endpoints = endpoints.slice(0, 2);
  await servers.pop()?.close();
});
afterAll(async () => {
  await Promise.all(servers.map(server => server.close()));
});

async function run(args: string[], env: Record<string, string> = {}) {
  let [out, err] = ['', ''];
  const code = await runCli(args, {
    env: {
      WISTERIARUN_OPERATOR: endpoints.join(','),
      WISTERIARUN_OPERATOR_TOKEN: TOKEN,
      ...env,
    },
    out: text => (out += text),
    err: text => (err += text),
  });
  return {code, out, err, json: () => JSON.parse(out) as unknown};
}

describe('views', () => {
  test('bundle status shows each VM', async () => {
    const table = await run(['bundle', 'status']);
    expect(table.code).toBe(EXIT_CODES.ok);
    expect(table.out).toMatch(/^VM +ZONE +VERSION/);
    expect(table.out).toMatch(
      /^entry-1 +a +3 +10 +ops +root +12 +available +-$/m,
    );
    expect(table.out).toMatch(/^entry-2 /m);
    const json = await run(['bundle', 'status', '--json']);
    expect(json.json()).toHaveLength(2);
  });

  test('owners shows only the rows that match its filters', async () => {
    const all = await run(['owners']);
    expect(all.out.trimEnd().split('\n')).toHaveLength(3);
    const one = await run(['owners', '--server', 's1', '--json']);
    expect(one.json()).toEqual({offset: 12, rows: [row(0, 's1')]});
  });

  test('drain status marks a batch that finishes late', async () => {
    const table = await run(['drain', 'status']);
    expect(table.out).toMatch(/^b1 +a .* 16 +4 +75% .* NO$/m);
    const json = await run(['drain', 'status', '--json']);
    // Guards against showing only the drains of one zone.
    expect(json.json()).toEqual([
      ...status('entry-1').drains,
      ...status('entry-2').drains,
    ]);
  });

  // Guards against showing a batch as late after it has left in time.
  test('drain status shows a finished batch as finished', async () => {
    shardsLeft = 0;
    const table = await run(['drain', 'status']);
    shardsLeft = 4;
    expect(table.out).toMatch(/^b1 +a .* 16 +0 +100% +finished +-$/m);
  });

  test('explain shows the route and the reason for each step', async () => {
    const table = await run(['explain', 'filing', 'case/1']);
    expect(table.code).toBe(EXIT_CODES.ok);
    expect(table.out).toContain('5 (isolated key)');
    expect(table.out).toContain('isolated at offset 11\n');
    expect(table.out).toMatch(/^reason +leaving$/m);
    const json = await run(['explain', 'filing', 'case/1', '--json']);
    expect(json.json()).toMatchObject({key: 'case/1', fence: '4.1'});
  });

  test('timeline merges processes by offset and filters', async () => {
    const seqs = async (...args: string[]) => {
      const {json} = await run(['timeline', '--json', ...args]);
      const events = json() as TimelineEvent[];
      return events.map(({process, seq}) => `${process}/${seq}`);
    };
    expect(await seqs()).toEqual([
      'entry-1/1',
      'entry-2/1',
      'entry-1/2',
      'entry-2/2',
    ]);
    expect(await seqs('--key', 'k1')).toEqual(['entry-1/1']);
    expect(await seqs('--server', 's1')).toEqual(['entry-1/1', 'entry-2/1']);
    const from = ['--from', '1970-01-01T00:00:02Z'];
    expect(await seqs(...from, '--to', '1970-01-01T00:00:04Z')).toEqual([
      'entry-1/2',
    ]);
  });

  // Guards against request text with escape sequences that the operator's
  // terminal would execute.
  test('control characters are escaped in tables', async () => {
    const {out} = await run(['timeline']);
    expect(out).toContain('text=a\\u{1b}[2Jb');
    expect(out).not.toContain('\u001b');
  });
});

describe('merge order', () => {
  // Guards against a comparison function that is not transitive: the order of
  // offsets would then depend on the order of the input.
  test('keeps the order of offsets and is independent of the input', () => {
    const events = fc.uniqueArray(
      fc.record({
        seq: fc.nat({max: 50}),
        wall: fc.nat({max: 20}),
        offset: fc.option(fc.nat({max: 10})),
      }),
      {selector: item => item.seq, maxLength: 20},
    );
    fc.assert(
      fc.property(events, items => {
        const input = items.map(i => event('p', i.seq, i.wall, i.offset));
        const merged = mergeEvents(input);
        const offsets = merged.flatMap(e => e.offset ?? []);
        expect(offsets).toEqual([...offsets].sort((a, b) => a - b));
        const walls = merged
          .filter(e => e.offset === null)
          .map(e => e.wallTimeMs);
        expect(walls).toEqual([...walls].sort((a, b) => a - b));
        expect(mergeEvents([...input].reverse())).toEqual(merged);
        expect(merged).toHaveLength(input.length);
      }),
    );
  });
});

describe('failures', () => {
  test.each<[string, string[], string]>([
    ['unknown command', ['ownrs'], 'Did you mean owners?'],
    ['unknown subcommand', ['bundle', 'statsu'], 'Did you mean status?'],
    ['unknown option', ['owners', '--servr', 's1'], 'Did you mean --server?'],
    ['missing argument', ['explain', 'filing'], 'key'],
    ['excess argument', ['owners', 'x'], 'too many arguments'],
    ['bad endpoint', ['owners', '-e', 'x'], 'Expected host:port'],
    ['bad port', ['owners', '-e', 'x:70000'], 'Expected host:port'],
    ['bad time', ['timeline', '--from', 'noon'], 'ISO 8601'],
    ['no token file', ['owners', '--token-file', '/nonexistent'], 'token file'],
    ['no command', [], 'Usage:'],
  ])('%s is a usage error', async (_name, args, expected) => {
    const {code, out, err} = await run(args);
    expect(code).toBe(EXIT_CODES.usage);
    expect(err).toContain(expected);
    expect(out).toBe('');
  });

  test.each([
    ['endpoint', {WISTERIARUN_OPERATOR: ''}],
    ['valid endpoint', {WISTERIARUN_OPERATOR: 'x:y'}],
    ['token', {WISTERIARUN_OPERATOR_TOKEN: ''}],
  ])('no %s is a usage error', async (_name, env) => {
    expect((await run(['owners'], env)).code).toBe(EXIT_CODES.usage);
  });

  test('help succeeds and lists the exit codes', async () => {
    const {code, out} = await run(['--help']);
    expect(code).toBe(EXIT_CODES.ok);
    expect(out).toContain('Exit codes:');
  });

  test('a wrong token is refused and not shown', async () => {
    const env = {WISTERIARUN_OPERATOR_TOKEN: 'wrong-token'};
    for (const args of [['owners'], ['timeline'], ['bundle', 'status']]) {
      const {code, err} = await run(args, env);
      expect(code).toBe(EXIT_CODES.refused);
      expect(err).toContain('status=401');
      expect(err).not.toContain('wrong-token');
    }
  });

  test('an unknown service is refused', async () => {
    const {code, err} = await run(['explain', 'other', 'k']);
    expect(code).toBe(EXIT_CODES.refused);
    expect(err).toContain('status=404');
  });

  test('commands fail when none of their ports is reachable', async () => {
    for (const args of [['owners'], ['timeline'], ['drain', 'status']]) {
      const {code, out} = await run([...args, '-e', closedEndpoint]);
      expect(code).toBe(EXIT_CODES.unreachable);
      expect(out).toBe('');
    }
  });

  test('after a failed port, a command uses the next or exits as partial', async () => {
    const both = ['-e', closedEndpoint, '-e', endpoints[0] ?? ''];
    expect((await run(['owners', ...both])).code).toBe(EXIT_CODES.ok);
    const merged = await run(['timeline', '--json', ...both]);
    expect(merged.code).toBe(EXIT_CODES.partial);
    expect(merged.json()).toHaveLength(2);
    expect(merged.err).toContain('operator-unavailable');
  });

  test('the token may come from a file', async () => {
    const directory = mkdtempSync(join(tmpdir(), 'ctl-'));
    const file = join(directory, 'token');
    writeFileSync(file, `${TOKEN}\n`);
    const env = {WISTERIARUN_OPERATOR_TOKEN: ''};
    const {code} = await run(['owners', '--token-file', file], env);
    rmSync(directory, {recursive: true});
    expect(code).toBe(EXIT_CODES.ok);
  });
});
