/**
 * Stand-ins for the platform's store, the targets and the clients, and the start of
 * gateways with the command and the settings template of the deploy file. A script of
 * a case uses one `Scene`; it writes `record.txt` and sets the exit code.
 */
import {spawn} from 'node:child_process';
import {createServer, request as httpRequest} from 'node:http';
import {connect, createServer as createTcpServer} from 'node:net';
import {appendFileSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {clearInterval, clearTimeout, setInterval} from 'node:timers';
import {setTimeout} from 'node:timers';
import {URL, fileURLToPath} from 'node:url';
import {Buffer} from 'node:buffer';

export const HOST = '127.0.0.1';
const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const KEY_COUNT = 65_536;
/** Bounds of a small deployment, as in its site file. */
const BOUNDS = {
  drain: '2000ms',
  grace: '6s',
  config: '2000ms',
  hold_max: '10000ms',
  budget_ratio: 0.2,
  budget_slack: 64,
};
const HEARTBEAT_MS = 870;

export const wait = ms =>
  new Promise(resolve => {
    setTimeout(resolve, ms);
  });

/** Returns a free port of the loopback address. */
export async function freePort() {
  const server = createTcpServer();
  await new Promise(resolve => {
    server.listen(0, HOST, resolve);
  });
  const {port} = server.address();
  await new Promise(resolve => {
    server.close(resolve);
  });
  return port;
}

async function readAll(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Writes what happens into `record.txt`, with the time since the start. */
export class Recorder {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.startedAtMs = performance.now();
    writeFileSync(this.path, '');
  }

  note(text) {
    const ms = Math.round(performance.now() - this.startedAtMs);
    appendFileSync(this.path, `${String(ms).padStart(6)} ms  ${text}\n`);
  }
}

/** The platform's store: keyed topics with one partition each. */
export class Store {
  topics = new Map();
  /** Called for each call; may return 'silent', 'lose-answer' or nothing. */
  fault = () => undefined;

  async start() {
    this.server = createServer((request, response) => {
      this.#serve(request, response).catch(() => request.socket.destroy());
    });
    await new Promise(resolve => {
      this.server.listen(0, HOST, resolve);
    });
    this.address = `${HOST}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  topic(name) {
    let topic = this.topics.get(name);
    if (topic === undefined) {
      topic = {records: [], waiting: new Set()};
      this.topics.set(name, topic);
    }
    return topic;
  }

  put(name, key, value) {
    const topic = this.topic(name);
    // The key may be bytes that are no text.
    const keyBytes = Buffer.from(key);
    topic.records.push({
      key: keyBytes.toString(),
      keyBytes,
      value: Buffer.from(value),
    });
    for (const wake of [...topic.waiting]) wake();
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readAll(request);
    const topic = this.topic(url.searchParams.get('topic'));
    const fault = this.fault({path: url.pathname, url, body, request});
    if (fault === 'silent') return;
    const answer = (status, value) => {
      if (fault === 'lose-answer') return;
      const isRaw = Buffer.isBuffer(value);
      response.writeHead(
        status,
        isRaw ? {} : {'content-type': 'application/json'},
      );
      response.end(isRaw ? value : JSON.stringify(value));
    };
    await wait(4);
    if (url.pathname === '/api/log-append') {
      const end = topic.records.length;
      const asOf = url.searchParams.get('as_of');
      if (asOf !== null && Number(asOf) !== end) return answer(412, {end});
      for (let at = 0; at < body.length;) {
        const length = body.readUInt32BE(at);
        const content = body.subarray(at + 4, at + 4 + length);
        const keyEnd = 1 + content.readUInt8(0);
        const key = content.subarray(1, keyEnd);
        this.put(url.searchParams.get('topic'), key, content.subarray(keyEnd));
        at += 4 + length;
      }
      return answer(200, {offset: end, end: topic.records.length});
    }
    if (url.pathname === '/api/log-read') {
      const from = Number(url.searchParams.get('from'));
      const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
      if (from >= topic.records.length && waitMs > 0) {
        await new Promise(resolve => {
          const wake = () => {
            clearTimeout(timer);
            topic.waiting.delete(wake);
            resolve();
          };
          const timer = setTimeout(wake, waitMs);
          topic.waiting.add(wake);
        });
      }
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const frames = topic.records.slice(from).map(({keyBytes, value}) => {
        const prefix = Buffer.alloc(5);
        prefix.writeUInt32BE(1 + keyBytes.length + value.length, 0);
        prefix.writeUInt8(keyBytes.length, 4);
        return Buffer.concat([prefix, keyBytes, value]);
      });
      return answer(200, Buffer.concat([head, ...frames]));
    }
    if (url.pathname === '/api/log-newest') {
      const newest = new Map();
      for (const [offset, {key, value}] of topic.records.entries()) {
        newest.delete(key);
        if (value.length > 0) newest.set(key, {offset, value});
      }
      const after = url.searchParams.get('after');
      const keys = [...newest.keys()].sort();
      const left = keys.filter(key => after === null || key > after);
      const items = left.slice(0, 500).map(key => ({
        key,
        value: newest.get(key).value.toString('base64'),
        offset: newest.get(key).offset,
      }));
      const hasMore = left.length > items.length;
      return answer(200, {items, has_more: hasMore, end: topic.records.length});
    }
    answer(404, {});
  }
}

/** A target that runs requests and, for a sharded service, holds keys. */
export class Target {
  sequence = 0;
  running = [];
  waiting = [];
  /** All requests that began to run: id, key, time. */
  runs = [];
  fences = new Float64Array(KEY_COUNT);
  untilMs = new Float64Array(KEY_COUNT);
  /** End of the last grant of each key; a release leaves it as it is. */
  grantEndMs = new Float64Array(KEY_COUNT);
  /** While true, what the target says of itself does not reach the store. */
  isCutFromStore = false;
  port = 0;
  life = 0;

  constructor(
    scene,
    {id, service, slots = 3, isKeyed = false, workMs = 30, answer},
  ) {
    Object.assign(this, {scene, id, service, slots, isKeyed, workMs});
    this.answerHook = answer;
    this.bornMs = Date.now();
  }

  async start() {
    this.server = createServer(
      {keepAliveTimeout: 10_000},
      (request, response) => {
        this.#serve(request, response).catch(() => request.socket.destroy());
      },
    );
    await new Promise(resolve => {
      this.server.listen(this.port, HOST, resolve);
    });
    this.port = this.server.address().port;
    this.address = `${HOST}:${this.port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Ends like a crash: all connections, work, keys and fences are gone. */
  crash() {
    this.close();
    this.life += 1;
    this.running = [];
    this.waiting = [];
    this.fences.fill(0);
    this.untilMs.fill(0);
    this.grantEndMs.fill(0);
  }

  /** Starts again under the same id, at the same address. */
  async startAgain() {
    this.bornMs = Date.now();
    this.sequence = 0;
    await this.start();
  }

  /** What the target says of itself in the store. */
  description(state = 'ready') {
    this.sequence += 1;
    return {
      addr: this.address,
      info: {
        service: this.service,
        version: 'v1',
        zone: 'zone-a',
        slots: this.slots,
      },
      status: {state, seq: this.sequence, warmup_left: '0ms'},
      born: this.bornMs,
    };
  }

  beat() {
    if (this.isCutFromStore) return;
    const text = JSON.stringify(this.description());
    this.scene.store.put('keyed.servers', this.id, text);
  }

  holdsKey(key, nowMs = performance.now()) {
    return this.untilMs[key] > nowMs;
  }

  async #serve(request, response) {
    const arrivedAtMs = performance.now();
    const expected = request.headers['expect-instance'];
    const requestId = request.headers['request-id'];
    const echo = requestId === undefined ? {} : {'request-id': requestId};
    const refuse = status =>
      response
        .writeHead(status, {
          ...echo,
          'not-executed': '1',
          'instance-id': this.id,
        })
        .end();
    if (expected !== undefined && expected !== this.id) return refuse(421);
    if (request.url === '/api/grant' || request.url === '/api/release') {
      const call = JSON.parse((await readAll(request)).toString());
      return await this.#own(request.url, call, arrivedAtMs, response);
    }
    if (request.url === '/health') {
      return response.writeHead(200, {'instance-id': this.id}).end();
    }
    if (this.answerHook !== undefined) {
      return await this.answerHook({target: this, request, response, echo});
    }
    const body = await readAll(request);
    const key = this.isKeyed ? Number(request.headers['shard-key']) : null;
    if (key !== null && !this.holdsKey(key)) return refuse(421);
    if (this.running.length >= this.slots) {
      if (this.waiting.length >= 12) return refuse(503);
      await new Promise(resolve => {
        this.waiting.push(resolve);
      });
      if (request.socket.destroyed) return this.waiting.shift()?.();
      if (key !== null && !this.holdsKey(key)) {
        this.waiting.shift()?.();
        return refuse(421);
      }
    }
    const run = {id: requestId, key, atMs: performance.now()};
    this.running.push(run);
    this.runs.push({...run, bytes: body.length});
    const {life} = this;
    await wait(this.workMs);
    if (this.life !== life) return;
    this.running.splice(this.running.indexOf(run), 1);
    this.waiting.shift()?.();
    const text = `answer of ${this.id} to ${requestId}\n`;
    const load = `${this.running.length},${this.waiting.length},${this.slots}`;
    response.writeHead(200, {
      ...echo,
      'response-signature': `sig.${requestId}`,
      'server-load': load,
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  async #own(
    path,
    {from, to, fence, hold_time: holdTime},
    arrivedAtMs,
    response,
  ) {
    const {recorder} = this.scene;
    const range = `${from}..${to} fence ${fence}`;
    if (path === '/api/grant') {
      for (let key = from; key <= to; key += 1) {
        if (this.fences[key] <= fence) continue;
        recorder.note(`target ${this.id} refuses the grant of ${range} (409)`);
        return response
          .writeHead(409, {'content-type': 'application/json'})
          .end('{}');
      }
      const isNew = !this.holdsKey(from) || !this.holdsKey(to);
      const untilMs = arrivedAtMs + parseFloat(holdTime);
      this.fences.fill(fence, from, to + 1);
      this.untilMs.fill(untilMs, from, to + 1);
      this.grantEndMs.fill(untilMs, from, to + 1);
      this.scene.onGranted?.(this, from, to);
      if (isNew)
        recorder.note(`target ${this.id} takes ${range} for ${holdTime}`);
      return response
        .writeHead(200, {'content-type': 'application/json'})
        .end('{}');
    }
    this.untilMs.fill(0, from, to + 1);
    // A fence that a release names counts as seen.
    for (let key = from; key <= to; key += 1) {
      this.fences[key] = Math.max(this.fences[key], fence);
    }
    const busy = () => this.running.some(({key}) => key >= from && key <= to);
    while (busy()) await wait(2);
    recorder.note(`target ${this.id} has released ${range}`);
    response.writeHead(200, {handover: `h-${this.id}-${from}`}).end('{}');
  }
}

/** Reports keys that two targets hold at the same time. */
export class HoldWatch {
  /** Longest time for which two targets held the same keys, in milliseconds. */
  longestMs = 0;
  #sinceMs = new Map();

  constructor(scene, targets) {
    this.timer = setInterval(() => this.#check(scene, targets), 25);
  }

  #check({recorder}, targets) {
    const nowMs = performance.now();
    for (const [index, one] of targets.entries()) {
      for (const other of targets.slice(index + 1)) {
        const pair = `${one.id} and ${other.id}`;
        let count = 0;
        let first = -1;
        for (let key = 0; key < KEY_COUNT; key += 1) {
          if (!(one.untilMs[key] > nowMs && other.untilMs[key] > nowMs))
            continue;
          count += 1;
          if (first < 0) first = key;
        }
        const sinceMs = this.#sinceMs.get(pair);
        if (count === 0) {
          if (sinceMs === undefined) continue;
          this.#sinceMs.delete(pair);
          recorder.note(`targets ${pair} hold no common key any more`);
          continue;
        }
        if (sinceMs === undefined) {
          this.#sinceMs.set(pair, nowMs);
          recorder.note(
            `targets ${pair} both hold ${count} keys, the first is ${first}`,
          );
          continue;
        }
        this.longestMs = Math.max(this.longestMs, nowMs - sinceMs);
      }
    }
  }

  close() {
    clearInterval(this.timer);
  }
}

/** Sends one request on a new or given connection; never rejects. */
export function send(
  port,
  {method = 'GET', path = '/', headers = {}, body, agent = false, deadlineMs},
) {
  return new Promise(resolve => {
    const sent = httpRequest(
      {host: HOST, port, method, path, headers, agent},
      answer => {
        const chunks = [];
        let isAborted = false;
        const finish = outcome =>
          resolve({
            outcome,
            status: answer.statusCode,
            headers: answer.headers,
            body: Buffer.concat(chunks),
          });
        answer.on('data', chunk => chunks.push(chunk));
        answer.on('aborted', () => (isAborted = true));
        answer.on('error', () => finish('broken-off'));
        answer.on('end', () => finish(isAborted ? 'broken-off' : 'complete'));
      },
    );
    // A client that has waited for as long as it will leaves.
    const timer =
      deadlineMs === undefined
        ? undefined
        : setTimeout(() => {
            resolve({outcome: 'gave-up', status: 0, body: Buffer.alloc(0)});
            sent.destroy();
          }, deadlineMs);
    sent.on('close', () => clearTimeout(timer));
    sent.on('error', error =>
      resolve({
        outcome: 'no-answer',
        status: 0,
        error: error.code,
        body: Buffer.alloc(0),
      }),
    );
    if (typeof body === 'function') body(sent);
    else sent.end(body);
  });
}

/** Runs a case: the store, the targets, the gateways and what they record. */
export class Scene {
  gateways = [];
  targets = [];
  hasTrouble = process.env.TROUBLE !== '0';

  constructor(folder) {
    this.recorder = new Recorder(folder);
    this.store = new Store();
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
  }

  async start() {
    await this.store.start();
  }

  note(text) {
    this.recorder.note(text);
  }

  async addTarget(options) {
    const target = new Target(this, options);
    await target.start();
    this.targets.push(target);
    this.note(
      `target ${target.id} of ${target.service} starts at ${target.address}`,
    );
    return target;
  }

  putConfig(routes, services, version = 'r7') {
    const resources = [
      ...routes.map(({name, ...spec}) => ({
        type: 'routes',
        metadata: {name},
        spec,
      })),
      ...services.map(({name, ...spec}) => ({
        type: 'services',
        metadata: {name},
        spec: {
          health_path: '/health',
          max_conns: 130,
          protocol: 'h1',
          tls: false,
          ...spec,
        },
      })),
      {
        type: 'limits',
        metadata: {},
        spec: {
          max_header_bytes: 16_384,
          max_body_bytes: 67_108_864,
          header_timeout: '3000ms',
          idle_timeout: '15000ms',
        },
      },
    ];
    this.store.put('keyed.op', 'config', JSON.stringify({version, resources}));
  }

  /** Starts a gateway as the deploy file says, and waits until it is ready. */
  async addGateway(name, storeAddress = this.store.address) {
    const ports = [];
    for (let index = 0; index < 4; index += 1) ports.push(await freePort());
    const fields = {
      node: name,
      zone: 'zone-a',
      ip: HOST,
      'limits.cpu_share': 1,
      'limits.cores': 1,
      'limits.link_mbps': 750,
      'listen.front': `${HOST}:${ports[0]}`,
      'listen.ready': `${HOST}:${ports[1]}`,
      'port_range.0': ports[2],
      'port_range.1': ports[3],
      'provider.addr': storeAddress,
      heartbeat: `${HEARTBEAT_MS}ms`,
      ...Object.fromEntries(
        Object.entries(BOUNDS).map(([key, value]) => [`bounds.${key}`, value]),
      ),
    };
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const setting = key => new RegExp(`^${key} = "(.*)"$`, 'm').exec(deploy)[1];
    const template = readFileSync(join(ROOT, setting('template')), 'utf8');
    const settings = template.replace(/\{\{([^}]*)\}\}/g, (_, field) => {
      if (!(field in fields)) throw new Error(`no value for ${field}`);
      return String(fields[field]);
    });
    const settingsPath = join(this.folder, `${name}.ini`);
    writeFileSync(settingsPath, settings);
    const gateway = {
      name,
      port: ports[0],
      readyPort: ports[1],
      peerPort: ports[2],
      statePort: ports[3],
    };
    const [command, ...args] = setting('run').split(' ');
    const {PATH, HOME, LANG} = process.env;
    gateway.start = async () => {
      const child = spawn(command, args, {
        cwd: ROOT,
        env: {PATH, HOME, LANG, WISTERIARUN_BOOT: settingsPath},
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      gateway.child = child;
      gateway.log = [];
      child.stdout.on('data', chunk => gateway.log.push(chunk.toString()));
      child.once('exit', (code, signal) => {
        gateway.exit = {code, signal};
        this.note(`gateway ${name} ends: code ${code}, signal ${signal}`);
      });
      for (let tries = 0; tries < 200; tries += 1) {
        const answer = await send(gateway.readyPort, {path: '/api/ready'});
        if (answer.status === 200) {
          this.note(`gateway ${name} (process ${child.pid}) is ready`);
          return;
        }
        await wait(50);
      }
      throw new Error(`gateway ${name} is not ready within 10 s`);
    };
    this.gateways.push(gateway);
    await gateway.start();
    return gateway;
  }

  async state(gateway) {
    const answer = await send(gateway.statePort, {path: '/state'});
    return answer.status === 200 ? JSON.parse(answer.body.toString()) : null;
  }

  async close() {
    for (const {child} of this.gateways) {
      if (child.exitCode === null && child.signalCode === null)
        child.kill('SIGKILL');
    }
    await wait(100);
    for (const target of this.targets) target.close();
    this.store.close();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the
 * case could not run.
 */
export async function runCase(folder, play) {
  const scene = new Scene(folder);
  let code = 2;
  const giveUp = error => {
    scene.note(`RESULT: the case could not run: ${error?.stack ?? error}`);
    for (const {child} of scene.gateways) child.kill('SIGKILL');
    process.exit(2);
  };
  process.on('uncaughtException', giveUp);
  process.on('SIGTERM', () => giveUp('it took too long'));
  try {
    await scene.start();
    const broken = await play(scene);
    code = broken === null ? 0 : 1;
    scene.note(
      broken === null ? 'RESULT: the rule held' : `RESULT: BROKEN: ${broken}`,
    );
    console.log(broken === null ? 'held' : `broken: ${broken}`);
  } catch (error) {
    scene.note(`RESULT: the case could not run: ${error.stack}`);
    console.error(error);
  }
  if (process.env.GATEWAY_LOGS !== undefined) {
    for (const {log} of scene.gateways) console.log(log.join(''));
  }
  await scene.close();
  process.exit(code);
}

export {connect};
