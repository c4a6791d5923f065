import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {runCli} from '../src/cli.js';
import {parseLogLine} from '../src/log-lines.js';

const LINES = [
  'time=2026-03-01T10:00:00.000Z event=assigner-elected level=info process=vm-1 zone=a term=7',
  'time=2026-03-01T10:00:01.000Z event=server-changed level=info process=vm-1 zone=a server=i-9 draining=true',
  'time=2026-03-01T10:00:01.100Z event=server-changed level=info process=vm-2 zone=b server=i-9 draining=true',
  'time=2026-03-01T10:00:02.000Z event=range-moved level=info process=vm-1 zone=a service=records from_key=10 to_key=20 from=i-9 to=i-8 reason=leaving handover=true took_ms=500',
  '   2.2000 vm-2 time=2026-03-01T10:00:02.100Z event=request level=info process=vm-2 zone=b id=abc route=r-1 service=records key=15 outcome=refused status=503 cause=moving took_ms=300 attempts=""',
  'time=2026-03-01T10:00:02.200Z event=request level=info process=vm-2 zone=b id=def route=r-1 service=audio key=15 outcome=refused status=502 cause=connection-lost took_ms=80 attempts=i-9:unknown:connection-lost',
  'time=2026-03-01T10:00:02.150Z event=log-lost level=warn process=vm-1 zone=a log=servers cause="down \\"now\\""',
  'time=2026-03-01T10:00:02.210Z event=request level=info process=vm-2 zone=b id=ghi route=r-1 service=records key=12 outcome=answered status=200 cause=null took_ms=450 objective_ms=250 held_ms=290 attempts=i-8:answered',
  'not a line of the logger',
];

describe('log commands', () => {
  let folder: string;
  let files: string[];
  let out = '';
  let err = '';

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'wisteriactl-'));
    files = [join(folder, 'one.log'), join(folder, 'two.log')];
    writeFileSync(files[0]!, LINES.slice(0, 4).join('\n'));
    writeFileSync(files[1]!, LINES.slice(4).join('\n'));
    out = '';
    err = '';
  });

  afterEach(() => rmSync(folder, {recursive: true}));

  const run = (...args: string[]) =>
    runCli(args, {
      env: {},
      out: text => (out += text),
      err: text => (err += text),
    });

  it('parse quoted values and skip the prefix of a log collector', () => {
    expect(parseLogLine(LINES[6]!)?.fields['cause']).toBe('down "now"');
    expect(parseLogLine(LINES[4]!)?.process).toBe('vm-2');
    expect(parseLogLine(LINES.at(-1)!)).toBeNull();
  });

  it('merge the events of all files by time, without requests', async () => {
    expect(await run('logs', 'timeline', ...files)).toBe(0);
    const events = out
      .trim()
      .split('\n')
      .slice(1)
      .map(line => line.split(/\s{2,}/)[2]);
    expect(events).toEqual([
      'assigner-elected',
      'server-changed',
      'server-changed',
      'range-moved',
      'log-lost',
    ]);
  });

  it.each([
    [['--event', 'request'], 3],
    [['--server', 'i-8'], 1],
    [['--key', '15'], 1],
    [['--key', '15', '--event', 'request'], 2],
    [['--server', 'i-9', '--event', 'request'], 1],
    [['--from', '2026-03-01T10:00:02Z'], 2],
    [['--to', '2026-03-01T10:00:01Z'], 2],
  ])('filter by %j', async (options, count) => {
    expect(await run('logs', 'timeline', ...files, ...options)).toBe(0);
    expect(out.trim().split('\n').length - 1).toBe(count);
  });

  it('explain a refusal by the move of its key', async () => {
    expect(await run('logs', 'explain', 'abc', ...files)).toBe(0);
    expect(out).toContain('the key was moving to another server');
    expect(out).toContain('range-moved');
    expect(out).not.toContain('server-changed');
  });

  it('explain a late answer by the time that it was held', async () => {
    expect(await run('logs', 'explain', 'ghi', ...files)).toBe(0);
    expect(out).toContain('answered 450 ms after it was read, objective 250');
    expect(out).toContain('held for 290 ms');
    expect(out).toContain('range-moved');
  });

  it('explain a lost answer by its server, with equal events shown once', async () => {
    expect(await run('logs', 'explain', 'def', ...files)).toBe(0);
    expect(out).toContain('the request may have run');
    expect(out.match(/server-changed/g)).toHaveLength(1);
    expect(out).not.toContain('range-moved');
  });

  it('report that no line names a request', async () => {
    expect(await run('logs', 'explain', 'xyz', ...files)).toBe(1);
    expect(err).toContain('no line names request xyz');
  });

  it('refuse unreadable files and keys out of range', async () => {
    expect(await run('logs', 'timeline', join(folder, 'none'))).toBe(5);
    expect(await run('logs', 'timeline', ...files, '--key', '65536')).toBe(2);
  });
});
