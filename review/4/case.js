/**
 * A target crashes and starts again under its id while it is cut off from the store; its
 * new start becomes known while some of its busy keys move to other targets.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {performance} from 'node:perf_hooks';
import {runCase, send, wait} from '../lib/harness.js';

const TARGET = {service: 'records', isKeyed: true, slots: 12, workMs: 1200};
const ROUNDS = 10;
/** Of five targets one is cut off (share 0.2), for less than 3 heartbeats. */
const TARGETS = 5;
const CUT_MS = Number(process.env.CUT ?? 2_100);
const CRASH_MS = 300;
const BUSY_AFTER_MS = Number(process.env.BUSY ?? 900);
const REQUESTS_PER_S = 36;
/** Keys that are busy, and the share of the requests that goes to them. */
const BUSY_KEYS = 2_000;
const BUSY_SHARE = 0.4;

await runCase(dirname(fileURLToPath(import.meta.url)), async scene => {
  scene.putConfig(
    [
      {
        name: 'filing',
        host: 'court.example',
        path_prefix: '/filings/',
        kind: 'unsafe',
        timeout: '3000ms',
        slo: '1500ms',
        priority: 1,
        service: 'records',
        max_attempts: 2,
      },
    ],
    [{name: 'records', sharded: true, warm: '0ms'}],
  );
  const broken = [];
  scene.onGranted = (taker, from, to) => {
    const nowMs = performance.now();
    for (const other of scene.targets) {
      if (other === taker) continue;
      for (const {id, key} of other.running) {
        if (key < from || key > to || other.grantEndMs[key] <= nowMs) continue;
        const leftMs = Math.round(other.grantEndMs[key] - nowMs);
        const text =
          `${taker.id} is given key ${key} while ${other.id} is at work on it ` +
          `(${id}), ${leftMs} ms before the hold of ${other.id} would have run out`;
        scene.note(text);
        broken.push(text);
      }
    }
  };
  for (let index = 1; index <= TARGETS; index += 1) {
    await scene.addTarget({id: `i-${index}`, ...TARGET});
  }
  const gateway = await scene.addGateway('front-1');
  let isRunning = true;
  let count = 0;
  const answers = new Map();
  let busyFrom = 0;
  const chooseKey = () =>
    Math.random() < BUSY_SHARE
      ? busyFrom + Math.floor(Math.random() * BUSY_KEYS)
      : Math.floor(Math.random() * 65_536);
  const sendOne = async () => {
    count += 1;
    const answer = await send(gateway.port, {
      method: 'POST',
      path: '/filings/1',
      headers: {
        host: 'court.example',
        'request-id': `request-${count}`,
        'shard-key': chooseKey(),
        'deadline-ms': 3000,
      },
      body: 'filing',
    });
    answers.set(answer.status, (answers.get(answer.status) ?? 0) + 1);
  };
  const sendAll = async () => {
    const sent = [];
    while (isRunning) {
      sent.push(sendOne());
      await wait(1_000 / REQUESTS_PER_S);
    }
    await Promise.all(sent);
  };
  const traffic = sendAll();
  await wait(6_000);
  const [target] = scene.targets;
  for (let round = 0; round < ROUNDS; round += 1) {
    if (scene.hasTrouble) {
      scene.note(
        `${target.id} is cut off from the store, crashes and starts again`,
      );
      target.isCutFromStore = true;
      target.crash();
      await wait(CRASH_MS);
      await target.startAgain();
    } else {
      await wait(CRASH_MS);
    }
    await wait(BUSY_AFTER_MS - CRASH_MS);
    busyFrom = Math.max(
      0,
      target.untilMs.findIndex(untilMs => untilMs > 0),
    );
    scene.note(`the keys from ${busyFrom} on are busy`);
    await wait(CUT_MS - BUSY_AFTER_MS);
    target.isCutFromStore = false;
    scene.note(`${target.id} reaches the store again`);
    target.beat();
    await wait(5_000);
  }
  isRunning = false;
  await traffic;
  scene.note(`answers: ${JSON.stringify([...answers])}`);
  return broken.length === 0
    ? null
    : `OWNER: ${broken.length} times: ${broken[0]}`;
});
