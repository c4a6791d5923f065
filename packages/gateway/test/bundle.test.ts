import {spawn, spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {PlatformStore} from '@wisteriarun/standins';
import {request} from 'undici';
import {expect, it} from 'vitest';
import {freePorts, resources} from './harness.js';

const root = fileURLToPath(new URL('../../..', import.meta.url));

// Guards against a build without a required part of a library: the bundler leaves
// unused parts out, and without a required one the process started but never
// reached the store.
it('the bundled program starts, reaches the store and ends on SIGTERM', async () => {
  const built = spawnSync('node', ['deploy/build.mjs'], {cwd: root});
  expect(built.status).toBe(0);
  const store = new PlatformStore();
  const {host, port} = await store.start();
  // Without the keyed service, readiness does not depend on a table of owners.
  const items = resources().filter(
    item => !JSON.stringify(item).includes('records'),
  );
  // The topic of the log of bundles.
  store.put(
    'keyed.op',
    'config',
    JSON.stringify({version: 'r1', resources: items}),
  );
  const [callers, readiness, peers, metrics] = await freePorts(4);
  const folder = mkdtempSync(join(tmpdir(), 'wisteriarun-'));
  const settings = join(folder, 'node.ini');
  writeFileSync(
    settings,
    `[vm]\nid=vm-1\nzone=a\nhost=127.0.0.1
[listen]\ncallers=127.0.0.1:${callers}\nreadiness=127.0.0.1:${readiness}
peer_port=${peers}\nmetrics_port=${metrics}
[store]\naddress=${host}:${port}\n[bounds]\ngrace=6s\nheartbeat=\n`,
  );
  const child = spawn('node', ['target/wisteriarun.mjs'], {
    cwd: root,
    env: {...process.env, WISTERIARUN_BOOT: settings},
    stdio: 'ignore',
  });
  const exitCode = new Promise<number | null>(resolve =>
    child.once('exit', code => resolve(code)),
  );
  const readinessStatus = async (): Promise<number> => {
    try {
      const url = `http://127.0.0.1:${readiness}/api/ready`;
      const answer = await request(url);
      await answer.body.dump();
      return answer.statusCode;
    } catch {
      // Not listening yet.
      return 0;
    }
  };
  let lastStatus = 0;
  for (let tries = 0; tries < 100 && lastStatus !== 200; tries += 1) {
    lastStatus = await readinessStatus();
    await new Promise(resolve => setTimeout(resolve, 100));
  }
  expect(lastStatus).toBe(200);
  child.kill('SIGTERM');
  await new Promise(resolve => setTimeout(resolve, 200));
  expect(await readinessStatus()).toBe(503);
  expect(await exitCode).toBe(0);
  await store.close();
  rmSync(folder, {recursive: true});
});
