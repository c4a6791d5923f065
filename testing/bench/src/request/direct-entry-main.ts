#!/usr/bin/env node
/**
 * Baseline entry VM: sends directly to the servers with a local limit for each
 * server. Keys are placed by rendezvous hashing and never move.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {
  HEADERS,
  createHasher,
  parseBundle,
  placeByRendezvous,
  recordSchema,
  shardOf,
  type Bundle,
  type Hasher,
  type Server,
} from '@wisteriarun/core';
import {LogClient} from '@wisteriarun/log';
import {loadSettings} from '@wisteriarun/runtime';
import {Pool} from 'undici';

/** Requests of one entry VM at one server at the same time. */
const LOCAL_LIMIT = 1;
const DEADLINE_MS = 10_000;
const FIRST_BACKOFF_MS = 5;
const MAX_BACKOFF_MS = 100;
const POLL_MS = 200;

interface Lane {
  readonly pool: Pool;
  active: number;
  readonly waiting: (() => void)[];
}

/** Routes with a fixed placement and a local limit. */
class DirectEntry {
  private readonly lanes = new Map<string, Lane>();
  private readonly owners = new Map<string, Server>();

  constructor(
    private readonly hasher: Hasher,
    private readonly bundle: Bundle,
  ) {
    for (const {id, shards} of bundle.services) {
      const servers = bundle.servers.filter(server => server.service === id);
      const byId = new Map(servers.map(server => [server.id, server]));
      const placed = placeByRendezvous(
        id,
        shards,
        // The operator knows the slots of a server but not its speed.
        servers.map(({id: server, slots}) => ({server, capacity: slots})),
      );
      placed.forEach((server, shard) => {
        this.owners.set(`${id}/${shard}`, byId.get(server)!);
      });
    }
    for (const {id, host, port} of bundle.servers) {
      const pool = new Pool(`http://${host}:${port}`, {
        connections: LOCAL_LIMIT,
        pipelining: 1,
      });
      this.lanes.set(id, {pool, active: 0, waiting: []});
    }
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const [, serviceId = '', key = ''] = (req.url ?? '').split('/');
    const service = this.bundle.services.find(({id}) => id === serviceId);
    if (!service) return fail(res, 404, 'not-run');
    const shard = shardOf(this.hasher, serviceId, key, service.shards);
    const lane = this.lanes.get(this.owners.get(`${serviceId}/${shard}`)!.id)!;
    const body = await readBody(req);
    const untilMs = performance.now() + DEADLINE_MS;
    let backoffMs = FIRST_BACKOFF_MS;
    while (performance.now() < untilMs) {
      const sent = await this.send(lane, req, res, body, serviceId, shard);
      if (sent) return;
      await sleep(backoffMs * (0.5 + Math.random()));
      backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    }
    fail(res, 503, 'not-run');
  }

  /** Returns false when the server refused the request before its start. */
  private async send(
    lane: Lane,
    req: IncomingMessage,
    res: ServerResponse,
    body: Buffer,
    service: string,
    shard: number,
  ): Promise<boolean> {
    await enter(lane);
    try {
      const answer = await lane.pool.request({
        method: req.method as 'GET',
        path: req.url ?? '/',
        body: body.length > 0 ? body : null,
        headers: {
          ...endToEnd(req),
          [HEADERS.service]: service,
          [HEADERS.shard]: String(shard),
          [HEADERS.epoch]: '1',
          [HEADERS.fence]: '1.1',
          [HEADERS.requestId]: `${performance.now()}-${Math.random()}`,
        },
      });
      if (answer.headers[HEADERS.outcome] === 'not-run') {
        await answer.body.dump();
        return false;
      }
      const text = Buffer.from(await answer.body.arrayBuffer());
      res.writeHead(answer.statusCode, {
        [HEADERS.outcome]: 'answered',
        'content-length': text.length,
      });
      res.end(text);
      return true;
    } catch {
      fail(res, 502, 'unknown');
      return true;
    } finally {
      leave(lane);
    }
  }
}

function endToEnd(req: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (name.startsWith('x-') || name === HEADERS.idempotencyKey) {
      headers[name] = String(value);
    }
  }
  return headers;
}

async function enter(lane: Lane): Promise<void> {
  if (lane.active >= LOCAL_LIMIT) {
    await new Promise<void>(resolve => lane.waiting.push(resolve));
  }
  lane.active += 1;
}

function leave(lane: Lane): void {
  lane.active -= 1;
  lane.waiting.shift()?.();
}

function fail(res: ServerResponse, status: number, outcome: string): void {
  res.writeHead(status, {[HEADERS.outcome]: outcome}).end();
}

async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function readBundle(client: LogClient): Promise<Bundle> {
  for (;;) {
    const batch = await client.read(1, {waitMs: POLL_MS});
    for (const {record} of batch.isOk ? batch.value.records : []) {
      const parsed = recordSchema.safeParse(record);
      if (!parsed.success || parsed.data.kind !== 'bundle') continue;
      const bundle = parseBundle(parsed.data.signed.payload);
      if (bundle.isOk) return bundle.value;
    }
    await sleep(POLL_MS);
  }
}

const settings = loadSettings(process.argv[3] ?? '').unwrapOr(null);
if (!settings) process.exit(2);
const {caller, log} = settings;
const hasher = await createHasher();
const bundle = await readBundle(new LogClient(log));
const entry = new DirectEntry(hasher, bundle);
createServer((req, res) => void entry.handle(req, res)).listen(
  caller.port,
  caller.host,
);
