import {
  mkdtempSync,
  readFileSync,
  rmSync,
  statSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  generateSigner,
  signBundle,
  type Bundle,
  type BundleRecord,
  type GeneratedSigner,
} from '@wisteriarun/core';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {FakeLog, OUTAGE, type Fault} from '../../log/test/fake-log.js';
import {EXIT_CODES, runCli} from '../src/index.js';

const root = generateSigner('root').unwrapOr(null as never);
const other = generateSigner('other').unwrapOr(null as never);

const bundle = (change: Partial<Bundle> = {}): Bundle => ({
  deployment: 'd',
  version: 1,
  zones: ['a'],
  services: [
    {
      id: 'filing',
      shards: 8,
      adoption: 'hold',
      longestDeadlineMs: 10_000,
      maxBodyBytes: 1024,
    },
  ],
  batches: [{id: 'b1', state: 'serving'}],
  servers: [
    {
      id: 's1',
      service: 'filing',
      batch: 'b1',
      zone: 'a',
      host: '192.0.2.1',
      port: 8000,
      slots: 3,
      connections: 130,
      checksGrants: true,
    },
  ],
  stopped: [],
  signers: [root.signer],
  ...change,
});

function sign(body: Bundle, {signer, privateKeyPem}: GeneratedSigner = root) {
  const signed = signBundle(JSON.stringify(body), signer.keyId, privateKeyPem);
  return signed.unwrapOr(null as never);
}

const record = (
  body: Bundle,
  author: string,
  key: GeneratedSigner = root,
): BundleRecord => ({
  kind: 'bundle',
  id: `${author}-${body.version}`,
  author,
  baseVersion: body.version - 1,
  signed: sign(body, key),
});

let directory = '';
let log: FakeLog;
beforeEach(async () => {
  directory = mkdtempSync(join(tmpdir(), 'ctl-bundle-'));
  log = await FakeLog.start();
});
afterEach(async () => {
  rmSync(directory, {recursive: true});
  await log.close();
});

function file(name: string, content: unknown): string {
  const path = join(directory, name);
  const text = typeof content === 'string' ? content : JSON.stringify(content);
  writeFileSync(path, text);
  return path;
}

async function run(...args: string[]) {
  let [out, err] = ['', ''];
  const code = await runCli(args, {
    env: {},
    out: text => (out += text),
    err: text => (err += text),
  });
  return {code, out, err};
}

function publish(path: string, ...more: string[]) {
  return run(
    ...['bundle', 'publish', path, '--log', log.endpoint, '--stream', 's'],
    ...['--root-key-id', 'root', '--timeout-ms', '3000'],
    ...['--root-public-key', root.signer.publicKey, ...more],
  );
}

/** Runs an action when the first read after an append arrives. */
function atReadAfterAppend(action: () => void): void {
  let appended = false;
  let done = false;
  const push = log.calls.push.bind(log.calls);
  log.calls.push = (...calls) => {
    for (const {method} of calls) {
      appended ||= method === 'POST';
      if (done || !appended || method !== 'GET') continue;
      done = true;
      action();
    }
    return push(...calls);
  };
}

const bundlesOnLog = () =>
  log.records.filter(stored => (stored as BundleRecord).kind === 'bundle');

describe('files', () => {
  test('a bundle signed with a generated key is accepted when published', async () => {
    const keyPath = join(directory, 'key.pem');
    const key = await run(
      ...['bundle', 'keygen', '--key-id', 'ops', '--out', keyPath],
    );
    expect(key.code).toBe(EXIT_CODES.ok);
    const signer = JSON.parse(key.out) as GeneratedSigner['signer'];
    expect(signer.keyId).toBe('ops');
    const path = file('b.json', bundle({signers: [signer]}));
    const signed = await run(
      ...['bundle', 'sign', path, '--key', keyPath, '--key-id', 'ops'],
    );
    expect(signed.code).toBe(EXIT_CODES.ok);
    const signedPath = file('signed.json', signed.out);
    const published = await run(
      ...['bundle', 'publish', signedPath, '--log', log.endpoint],
      ...['--stream', 's', '--root-key-id', 'ops'],
      ...['--root-public-key', signer.publicKey],
    );
    expect(published).toEqual({
      code: EXIT_CODES.ok,
      out: 'accepted offset=1 version=1\n',
      err: '',
    });
  });

  // Guards against a private key that others can read, or that is printed.
  test('the private key is only in its file, which is not overwritten', async () => {
    const path = join(directory, 'key.pem');
    const args = ['bundle', 'keygen', '--key-id', 'ops', '--out', path];
    const {out, err} = await run(...args);
    expect(statSync(path).mode & 0o777).toBe(0o600);
    const pem = readFileSync(path, 'utf8');
    const secret = pem.split('\n')[1] ?? '';
    expect(secret.length).toBeGreaterThan(20);
    expect(out + err).not.toContain(secret);
    // Guards against overwriting a key that is in use.
    expect((await run(...args)).code).toBe(EXIT_CODES.invalid);
    expect(readFileSync(path, 'utf8')).toBe(pem);
  });

  // Guards against printing key material in the message about a bad key.
  test('a file without a key is refused and its content not printed', async () => {
    const path = file('b.json', bundle());
    const key = file('key.pem', 'SECRET-MATERIAL');
    const {code, out, err} = await run(
      ...['bundle', 'sign', path, '--key', key, '--key-id', 'root'],
    );
    expect(code).toBe(EXIT_CODES.invalid);
    expect(out + err).not.toContain('SECRET-MATERIAL');
  });

  test.each<[string, unknown, string]>([
    ['text that is not JSON', '{', 'not JSON'],
    ['an unknown property', {...bundle(), extra: 1}, 'malformed-bundle'],
    ['an unknown zone', bundle({zones: ['z']}), 'unknown zone a'],
    ['a zone twice', bundle({zones: ['a', 'a']}), 'duplicate id a'],
    [
      'a signer with a malformed key',
      bundle({signers: [{keyId: 'x', publicKey: 'eA=='}]}),
      'not an Ed25519 public key',
    ],
  ])('check refuses %s', async (_name, content, expected) => {
    const path = file('b.json', content);
    const {code, err} = await run('bundle', 'check', path);
    expect(code).toBe(EXIT_CODES.invalid);
    expect(err).toContain(expected);
  });

  test('check accepts bundles with and without a signature', async () => {
    const plain = await run('bundle', 'check', file('b.json', bundle()));
    expect(plain.code).toBe(EXIT_CODES.ok);
    expect(plain.out).toContain('version=1');
    const signed = file('s.json', sign(bundle()));
    expect((await run('bundle', 'check', signed)).code).toBe(EXIT_CODES.ok);
  });

  // Guards against a changed shard count that is detected only after the
  // bundle is published.
  test('check compares a bundle with the version that it follows', async () => {
    const base = file('b1.json', bundle());
    const [service] = bundle().services;
    const next = bundle({version: 2, services: [{...service!, shards: 9}]});
    const args = ['bundle', 'check', file('b2.json', next)];
    expect((await run(...args)).code).toBe(EXIT_CODES.ok);
    const {code, err} = await run(...args, '--base', base);
    expect(code).toBe(EXIT_CODES.invalid);
    expect(err).toContain('shard-count-changed');
  });

  test('diff names the entries and fields that differ', async () => {
    const a = file('a.json', bundle());
    const leaving = {id: 'b1', state: 'leaving', leaveAtMs: 1} as const;
    const b = file('b.json', sign(bundle({version: 2, batches: [leaving]})));
    const {code, out} = await run('bundle', 'diff', a, b);
    expect(code).toBe(EXIT_CODES.ok);
    expect(out).toContain('version 1 -> 2');
    expect(out).toMatch(/^batches +changed +b1 +state, leaveAtMs$/m);
    const same = await run('bundle', 'diff', a, a);
    expect(same.out).toContain('No entry differs.');
    const missing = await run('bundle', 'diff', a, join(directory, 'none'));
    expect(missing.code).toBe(EXIT_CODES.invalid);
  });
});

describe('publish', () => {
  test('appends the next version on top of the one in force', async () => {
    log.append(record(bundle(), 'ana'));
    const path = file('s.json', sign(bundle({version: 2})));
    const {code, out} = await publish(path, '--author', 'ben');
    expect(code).toBe(EXIT_CODES.ok);
    expect(out).toBe('accepted offset=2 version=2\n');
    expect(log.records[1]).toMatchObject({author: 'ben', baseVersion: 1});
  });

  // Guards against a second record when the command is run again.
  test('does not append a bundle that is already in force', async () => {
    const path = file('s.json', sign(bundle()));
    expect((await publish(path)).code).toBe(EXIT_CODES.ok);
    const again = await publish(path);
    expect(again.code).toBe(EXIT_CODES.ok);
    expect(again.out).toContain('accepted offset=1 version=1 (in force');
    expect(log.records).toHaveLength(1);
  });

  // The exit codes are 5 (`EXIT_CODES.invalid`) and 6 (`EXIT_CODES.rejected`).
  test.each<[string, () => unknown, number, string]>([
    ['an unsigned bundle', () => bundle({version: 2}), 5, 'not signed'],
    [
      'an unknown signer',
      () => sign(bundle({version: 2}), other),
      5,
      'unknown-signer',
    ],
    [
      'a wrong signature',
      () => ({...sign(bundle({version: 2})), signature: 'AAAA'}),
      5,
      'wrong-signature',
    ],
    [
      'another deployment',
      () => sign(bundle({version: 2, deployment: 'e'})),
      5,
      'must be d',
    ],
    [
      'a version that is taken',
      () => sign(bundle({zones: ['a', 'b']})),
      6,
      'stale-version versionInForce=1 winnerAuthor="ana" winnerOffset=1',
    ],
    [
      'a version that skips one',
      () => sign(bundle({version: 3})),
      6,
      'stale-version',
    ],
  ])('appends nothing for %s', async (_name, content, exit, expected) => {
    log.append(record(bundle(), 'ana'));
    const {code, out, err} = await publish(file('s.json', content()));
    expect(code).toBe(exit);
    expect(err).toContain(expected);
    expect(out).toBe('');
    expect(log.records).toHaveLength(1);
  });

  // Guards against reporting to both operators that their version is in force.
  test('of two concurrent publishers one is rejected and reports the winner', async () => {
    log.append(record(bundle(), 'ana'));
    const paths = ['a', 'b'].map(zone => {
      const body = bundle({version: 2, zones: ['a', `x${zone}`]});
      return file(`${zone}.json`, sign(body));
    });
    // Delays both appends until both publishers have read the stream.
    log.queuedFaults.POST.push(
      {kind: 'slow', delayMs: 300},
      {kind: 'slow', delayMs: 300},
    );
    const results = await Promise.all(
      paths.map((path, index) => publish(path, '--author', `op${index}`)),
    );
    expect(bundlesOnLog()).toHaveLength(3);
    const winner = (log.records[1] as BundleRecord).author;
    const [won, lost] = winner === 'op0' ? results : [results[1]!, results[0]!];
    expect(won!.code).toBe(EXIT_CODES.ok);
    expect(won!.out).toBe('accepted offset=2 version=2\n');
    expect(lost!.code).toBe(EXIT_CODES.rejected);
    expect(lost!.err).toContain(
      `stale-version versionInForce=2 winnerAuthor="${winner}" winnerOffset=2`,
    );
    expect(lost!.out).toBe('');
  });

  test('a log outage before the append exits as unreachable', async () => {
    log.persistentFault = OUTAGE;
    const {code, err} = await publish(file('s.json', sign(bundle())));
    expect(code).toBe(EXIT_CODES.unreachable);
    expect(err).toContain('log-unavailable');
    expect(log.records).toHaveLength(0);
  });

  test.each<[string, Fault[], Fault[]]>([
    ['refused appends', [OUTAGE, OUTAGE], []],
    ['an answer lost after the effect', [{kind: 'reset', applies: true}], []],
    ['an answer lost without effect', [{kind: 'reset', applies: false}], []],
    [
      'a lost answer and failed reads',
      [{kind: 'reset', applies: true}],
      [OUTAGE, OUTAGE],
    ],
  ])('%s: published exactly once', async (_name, posts, gets) => {
    log.append(record(bundle(), 'ana'));
    log.queuedFaults.POST.push(...posts);
    const path = file('s.json', sign(bundle({version: 2})));
    atReadAfterAppend(() => log.queuedFaults.GET.push(...gets));
    const {code, out} = await publish(path);
    expect(code).toBe(EXIT_CODES.ok);
    expect(out).toBe('accepted offset=2 version=2\n');
    expect(bundlesOnLog()).toHaveLength(2);
  });

  // Guards against a retry of the append after another version was accepted.
  test('does not append again after a lost answer if another version was accepted first', async () => {
    log.append(record(bundle(), 'ana'));
    log.queuedFaults.POST.push({kind: 'reset', applies: false});
    const path = file('s.json', sign(bundle({version: 2})));
    const winner = record(bundle({version: 2, zones: ['a', 'b']}), 'cat');
    atReadAfterAppend(() => log.append(winner));
    const {code, err} = await publish(path);
    expect(code).toBe(EXIT_CODES.rejected);
    expect(err).toContain('winnerAuthor="cat" winnerOffset=2');
    expect(log.records).toHaveLength(2);
  });

  // Guards against reporting "not published" for a record that may be stored.
  test('a lost answer and an outage until the timeout exit as uncertain', async () => {
    log.append(record(bundle(), 'ana'));
    log.queuedFaults.POST.push({kind: 'reset', applies: true});
    const path = file('s.json', sign(bundle({version: 2})));
    atReadAfterAppend(() => (log.persistentFault = OUTAGE));
    const {code, err} = await publish(path, '--timeout-ms', '600');
    expect(code).toBe(EXIT_CODES.uncertain);
    expect(err).toContain('append-uncertain');
    log.persistentFault = null;
    const again = await publish(path);
    expect(again.out).toContain('accepted offset=2 version=2 (in force');
  });

  // Guards against reporting a verdict while the log cannot be read.
  test('an outage between append and verdict exits as uncertain', async () => {
    log.append(record(bundle(), 'ana'));
    const path = file('s.json', sign(bundle({version: 2})));
    atReadAfterAppend(() => (log.persistentFault = OUTAGE));
    const {code, err} = await publish(path, '--timeout-ms', '600');
    expect(code).toBe(EXIT_CODES.uncertain);
    expect(err).toContain('no verdict');
  });

  test('fails without a snapshot when the oldest records have expired', async () => {
    log.append(record(bundle(), 'ana'));
    log.append({});
    log.expireBefore(2);
    const path = file('s.json', sign(bundle({version: 2})));
    const {code, err} = await publish(path);
    expect(code).toBe(EXIT_CODES.unreachable);
    expect(err).toContain('snapshot-missing');
  });

  test.each<[string, string[]]>([
    ['URL', ['--log', 'ftp://192.0.2.1']],
    ['timeout', ['--timeout-ms', '0']],
  ])('a bad %s is a usage error', async (_name, args) => {
    const path = file('s.json', sign(bundle()));
    expect((await publish(path, ...args)).code).toBe(EXIT_CODES.usage);
  });
});
