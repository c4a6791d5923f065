import {generateKeyPairSync} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describeError} from '@wisteriarun/core';
import {describe, expect, test} from 'vitest';
import {loadSettings, parseSettings} from '../src/index.js';

const publicKey = generateKeyPairSync('ed25519')
  .publicKey.export({format: 'der', type: 'spki'})
  .toString('base64');
const TOKEN = 'operator-token-0123';
const SECRET = 'deployment-secret-0123456789abcdef';

const VALID = `[vm]
id = entry-1
zone = a
deployment = ar-centro
capacity = 1.5
[caller]
host = 127.0.0.1
port = 8080
[relay]
host = 127.0.0.1
port = 8081
[peer]
host = 127.0.0.1
port = 8082
[operator]
host = 127.0.0.1
port = 8083
token = ${TOKEN}
[log]
endpoint = http://127.0.0.1:9000/
stream = ar-centro
retention_ms = 3600000
snapshot_interval_ms = 600000
[vm_list]
endpoint = http://127.0.0.1:9001
[peers]
seeds = 10.0.0.1:8082, [::1]:8082
[trust]
root_key_id = root
root_public_key = ${publicKey}
deployment_secret = ${SECRET}
[limits]
shutdown_delay_ms = 1000
`;

const problemsOf = (text: string) =>
  parseSettings(text).match({
    Ok: () => [],
    Err: problems => problems.map(describeError),
  });

describe('settings', () => {
  test('accepts a complete file and fills in the defaults', () => {
    const directory = mkdtempSync(join(tmpdir(), 'settings-'));
    const path = join(directory, 'wisteriarun.ini');
    writeFileSync(path, VALID);
    const settings = loadSettings(path).unwrapOrElse(problems => {
      throw new Error(problems.map(describeError).join('\n'));
    });
    rmSync(directory, {recursive: true});
    expect(settings.vm).toEqual({
      id: 'entry-1',
      zone: 'a',
      deployment: 'ar-centro',
      capacity: 1.5,
    });
    expect(settings.peers.seeds).toEqual([
      {host: '10.0.0.1', port: 8082},
      {host: '::1', port: 8082},
    ]);
    expect(settings.log.endpoint).toBe('http://127.0.0.1:9000');
    expect(settings.vmList.pollIntervalMs).toBe(2_000);
    expect(settings.limits).toMatchObject({
      shutdownDelayMs: 1_000,
      shutdownTimeoutMs: 0,
    });
    expect(settings.logs.level).toBe('info');
  });

  test('reports an unreadable file', () => {
    const problems = loadSettings('/nonexistent/wisteriarun.ini').match({
      Ok: () => [],
      Err: found => found.map(problem => problem.kind),
    });
    expect(problems).toEqual(['unreadable-file']);
  });

  const invalidEdits: [string, string, string, string[]][] = [
    [
      'port out of range',
      'port = 8080',
      'port = 70000',
      ['caller', 'port', '70000', '65535'],
    ],
    [
      'port not a number',
      'port = 8080',
      'port = http',
      ['"http"', 'whole number'],
    ],
    ['key without value', 'port = 8080', 'port', ['caller', 'port', 'true']],
    ['missing key', 'id = entry-1\n', '', ['vm', 'id', '(missing)']],
    ['empty id', 'id = entry-1', 'id =', ['vm', 'id']],
    [
      'zero capacity',
      'capacity = 1.5',
      'capacity = 0',
      ['capacity', '0.01 to 1000'],
    ],
    [
      'wrong scheme',
      'http://127.0.0.1:9001',
      'ftp://127.0.0.1',
      ['vm_list', 'endpoint', 'http or https'],
    ],
    [
      'mistyped key',
      'capacity =',
      'capacty =',
      ['unknown key capacty', 'did you mean capacity'],
    ],
    [
      'mistyped section',
      '[vm_list]',
      '[vm_lst]',
      ['unknown section vm_lst', 'did you mean vm_list'],
    ],
    [
      'key before a section',
      '[vm]',
      'zone = a\n[vm]',
      ['before the first section'],
    ],
    [
      'snapshot interval above a quarter of the retention',
      '= 600000',
      '= 900001',
      ['snapshot_interval_ms', '900001', 'at most 900000'],
    ],
    [
      'seed without port',
      '10.0.0.1:8082',
      '10.0.0.1',
      ['peers', 'seeds', 'host:port'],
    ],
    [
      'seed port out of range',
      '10.0.0.1:8082',
      '10.0.0.1:0',
      ['peers', 'seeds'],
    ],
    [
      'a public key that is not Ed25519',
      publicKey,
      'AAAA',
      ['root_public_key', 'Ed25519'],
    ],
    [
      'one port used twice',
      'port = 8083',
      'port = 8082',
      ['operator', 'section peer'],
    ],
    [
      'unknown log level',
      '[limits]',
      '[logs]\nlevel = loud\n[limits]',
      ['logs', 'level', 'loud', 'debug'],
    ],
    [
      'negative time',
      'shutdown_delay_ms = 1000',
      'shutdown_delay_ms = -1',
      ['shutdown_delay_ms', '-1'],
    ],
  ];
  test.each(invalidEdits)('refuses %s', (_name, from, to, expected) => {
    expect(VALID).toContain(from);
    const text = problemsOf(VALID.replace(from, to)).join('\n');
    for (const part of expected) expect(text).toContain(part);
  });

  test('reports all problems of a file together', () => {
    const text = VALID.replace('port = 8080', 'port = 0').replace(
      'id = e',
      'id = E',
    );
    expect(problemsOf(text)).toHaveLength(2);
  });

  test('never shows a secret, even one in the wrong place', () => {
    const short = problemsOf(
      VALID.replace(TOKEN, 'tooshort').replace(SECRET, 'alsoshort'),
    ).join('\n');
    expect(short).toContain('token');
    expect(short).toContain('deployment_secret');
    expect(short).not.toMatch(/tooshort|alsoshort/);
    const misplaced = problemsOf(`${VALID}\n${SECRET}\n`).join('\n');
    expect(misplaced).toContain('unknown key');
    expect(misplaced).not.toContain(SECRET);
    const inUrl = problemsOf(
      VALID.replace('http://127.0.0.1:9001', 'http://user:pass1234@h'),
    ).join('\n');
    expect(inUrl).toContain('vm_list');
    expect(inUrl).not.toContain('pass1234');
  });
});
