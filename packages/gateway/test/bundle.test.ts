import {spawn, spawnSync} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {PlatformStore} from '@wisteriarun/standins';
import {request} from 'undici';
import {
  afterEach,
  beforeAll,
  beforeEach,
  describe,
  expect,
  it,
  vi,
} from 'vitest';
import {freePorts, resources} from './harness.js';

const root = fileURLToPath(new URL('../../..', import.meta.url));

/** The bundled program with a store that it can reach. */
class BundledProgram {
  readonly #store = new PlatformStore();
  readonly #folder = mkdtempSync(join(tmpdir(), 'wisteriarun-'));
  readonly #settings = join(this.#folder, 'node.ini');
  #readinessPort = 0;
  callersAddress = '';
  metricsAddress = '';

  /** Starts the store and writes the settings. */
  async prepare(): Promise<void> {
    const {host, port} = await this.#store.start();
    // Without the keyed service, readiness does not depend on a table of owners.
    const items = resources().filter(
      item => !JSON.stringify(item).includes('records'),
    );
    // The topic of the log of bundles.
    this.#store.put(
      'keyed.op',
      'config',
      JSON.stringify({version: 'r1', resources: items}),
    );
    const [callers, readiness, peers, metrics] = await freePorts(4);
    this.#readinessPort = readiness!;
    this.callersAddress = `127.0.0.1:${callers}`;
    this.metricsAddress = `127.0.0.1:${metrics}`;
    writeFileSync(
      this.#settings,
      `[vm]\nid=vm-1\nzone=a\nhost=127.0.0.1
[listen]\ncallers=127.0.0.1:${callers}\nreadiness=127.0.0.1:${readiness}
peer_port=${peers}\nmetrics_port=${metrics}
[store]\naddress=${host}:${port}\n[bounds]\ngrace=6s\nheartbeat=\n`,
    );
  }

  /** Starts a process; its standard output is piped. */
  start(nodeArgs: readonly string[] = []): ChildProcess {
    return spawn('node', [...nodeArgs, 'target/wisteriarun.mjs'], {
      cwd: root,
      env: {...process.env, WISTERIARUN_BOOT: this.#settings},
      stdio: ['ignore', 'pipe', 'ignore'],
    });
  }

  /** Status of the readiness check; 0 while the process does not listen. */
  async readinessStatus(): Promise<number> {
    try {
      const url = `http://127.0.0.1:${this.#readinessPort}/api/ready`;
      const answer = await request(url);
      await answer.body.dump();
      return answer.statusCode;
    } catch {
      return 0;
    }
  }

  /** Waits until the process is ready; fails when that takes too long. */
  async waitUntilReady(): Promise<void> {
    await vi.waitFor(
      async () => expect(await this.readinessStatus()).toBe(200),
      {timeout: 10_000, interval: 20},
    );
  }

  async close(): Promise<void> {
    await this.#store.close();
    rmSync(this.#folder, {recursive: true});
  }
}

describe('the bundled program', () => {
  let program: BundledProgram;
  const children: ChildProcess[] = [];

  const start = (nodeArgs: readonly string[] = []) => {
    const child = program.start(nodeArgs);
    child.stdout!.resume();
    children.push(child);
    return child;
  };

  beforeAll(() => {
    const built = spawnSync('node', ['deploy/build.mjs'], {cwd: root});
    expect(built.status).toBe(0);
  });

  beforeEach(async () => {
    program = new BundledProgram();
    await program.prepare();
  });

  afterEach(async () => {
    for (const child of children.splice(0)) child.kill('SIGKILL');
    await program.close();
  });

  // Guards against a build without a required part of the histogram library.
  it('measures the time of its answers', async () => {
    start();
    await program.waitUntilReady();
    // Times are recorded from 8 s after the start on.
    await vi.waitFor(
      async () => {
        const answer = await request(`http://${program.callersAddress}/none/`);
        await answer.body.dump();
        const scraped = await request(
          `http://${program.metricsAddress}/metrics`,
        );
        expect(await scraped.body.text()).toMatch(
          /wisteriarun_request_milliseconds\{.*quantile="0.99".*\} \d/,
        );
      },
      {timeout: 15_000, interval: 200},
    );
  });

  // Guards against a build without a required part of a library: the bundler leaves
  // unused parts out, and without a required one the process started but never
  // reached the store.
  it('starts, reaches the store and ends on SIGTERM', async () => {
    const child = start();
    const exit = once(child, 'exit');
    await program.waitUntilReady();
    child.kill('SIGTERM');
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(await program.readinessStatus()).toBe(503);
    expect(await exit).toEqual([0, null]);
  });

  // Guards against a start that fails because the former process has not ended yet
  // (FAULT): it uses its ports until it has answered its requests.
  it('starts while the former process is still stopping', async () => {
    const former = start();
    const end = once(former, 'exit');
    await program.waitUntilReady();
    former.kill('SIGTERM');
    const child = start();
    expect(await end).toEqual([0, null]);
    await program.waitUntilReady();
    expect(child.exitCode).toBeNull();
  });

  it('logs why it ends by itself', async () => {
    const code = 'setTimeout(() => { throw new Error("probe"); }, 1000)';
    const child = start(['--import', `data:text/javascript,${code}`]);
    let output = '';
    child.stdout!.on('data', chunk => (output += chunk));
    expect(await once(child, 'exit')).toEqual([1, null]);
    expect(output).toMatch(/event=process-failed .*Error: probe/);
  });

  // Guards against the end of the process by a signal that only says that the settings
  // have changed (FAULT): the listener was added when the program was loaded, which
  // takes most of the time of a start.
  it('goes on starting when SIGHUP arrives while it is loaded', async () => {
    const startedAtMs = performance.now();
    const first = start();
    await program.waitUntilReady();
    const startMs = performance.now() - startedAtMs;
    first.kill('SIGKILL');
    await once(first, 'exit');
    for (const share of [0.6, 0.75, 0.9]) {
      const child = start();
      await new Promise(resolve => setTimeout(resolve, share * startMs));
      child.kill('SIGHUP');
      await program.waitUntilReady();
      child.kill('SIGKILL');
      expect(await once(child, 'exit')).toEqual([null, 'SIGKILL']);
    }
  });
});
