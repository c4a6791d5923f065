#!/usr/bin/env node
/**
 * Baseline entry VM: sends requests directly to the servers and limits its own
 * concurrency at each server. Shards are placed by rendezvous hashing and never
 * move.
 *
 * Takes the same arguments as the daemon: `--config PATH`.
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
  logRecordSchema,
  shardOf,
  type Bundle,
  type Hasher,
  type Server,
} from '@wisteriarun/core';
import {LogClient} from '@wisteriarun/log';
import {loadSettings} from '@wisteriarun/runtime';
import {Pool} from 'undici';

/**
 * Largest number of concurrent requests of one entry VM at one server. Even
 * with 1, all entry VMs together may exceed the slots of a server: the load
 * levels use 6 entry VMs and 4 slots.
 */
const MAX_REQUESTS_PER_SERVER = 1;
const REQUEST_TIMEOUT_MS = 10_000;
const INITIAL_BACKOFF_MS = 5;
const MAX_BACKOFF_MS = 100;
const LOG_POLL_INTERVAL_MS = 200;

/** Connections to one server, with the requests that wait for one. */
interface ServerLimiter {
  readonly pool: Pool;
  activeRequests: number;
  readonly waiters: (() => void)[];
}

/** Routes requests with a fixed placement and a limit for each server. */
class DirectEntry {
  private readonly limiters = new Map<string, ServerLimiter>();
  private readonly ownerByShard = new Map<string, Server>();

  constructor(
    private readonly hasher: Hasher,
    private readonly bundle: Bundle,
  ) {
    for (const {id, shards} of bundle.services) {
      const servers = bundle.servers.filter(server => server.service === id);
      const serverById = new Map(servers.map(server => [server.id, server]));
      const placedServers = placeByRendezvous(
        id,
        shards,
        // The operator knows the slots of a server but not its speed.
        servers.map(({id: server, slots}) => ({server, capacity: slots})),
      );
      placedServers.forEach((server, shard) => {
        this.ownerByShard.set(`${id}/${shard}`, serverById.get(server)!);
      });
    }
    for (const {id, host, port} of bundle.servers) {
      const pool = new Pool(`http://${host}:${port}`, {
        connections: MAX_REQUESTS_PER_SERVER,
        pipelining: 1,
      });
      this.limiters.set(id, {pool, activeRequests: 0, waiters: []});
    }
  }

  /**
   * Sends a request to the owner of its key. If the server refuses it, sends it
   * again with exponential backoff until `REQUEST_TIMEOUT_MS` has passed.
   *
   * @param req - Request of the caller.
   * @param res - Response to the caller.
   */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const [, serviceId = '', key = ''] = (req.url ?? '').split('/');
    const service = this.bundle.services.find(({id}) => id === serviceId);
    if (!service) return sendOutcome(res, 404, 'not-run');
    const shard = shardOf(this.hasher, serviceId, key, service.shards);
    const limiter = this.limiters.get(
      this.ownerByShard.get(`${serviceId}/${shard}`)!.id,
    )!;
    const body = await readBody(req);
    const deadlineAtMs = performance.now() + REQUEST_TIMEOUT_MS;
    let backoffMs = INITIAL_BACKOFF_MS;
    while (performance.now() < deadlineAtMs) {
      const isSettled = await this.send(
        limiter,
        req,
        res,
        body,
        serviceId,
        shard,
      );
      if (isSettled) return;
      await sleep(backoffMs * (0.5 + Math.random()));
      backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    }
    sendOutcome(res, 503, 'not-run');
  }

  /**
   * Sends a request once and passes the answer on to the caller.
   *
   * @returns False if the server refused the request without running it and the
   * caller has no answer yet.
   */
  private async send(
    limiter: ServerLimiter,
    req: IncomingMessage,
    res: ServerResponse,
    body: Buffer,
    service: string,
    shard: number,
  ): Promise<boolean> {
    await acquireSlot(limiter);
    try {
      const serverResponse = await limiter.pool.request({
        method: req.method as 'GET',
        path: req.url ?? '/',
        body: body.length > 0 ? body : null,
        headers: {
          ...forwardedHeaders(req),
          [HEADERS.service]: service,
          [HEADERS.shard]: String(shard),
          // Servers of the baseline run with `checksGrants` off and check neither
          // epoch nor fence. The epoch is constant because shards never move.
          [HEADERS.epoch]: '1',
          [HEADERS.fence]: '1.1',
          [HEADERS.requestId]: `${performance.now()}-${Math.random()}`,
        },
      });
      if (serverResponse.headers[HEADERS.outcome] === 'not-run') {
        await serverResponse.body.dump();
        return false;
      }
      const responseBody = Buffer.from(await serverResponse.body.arrayBuffer());
      res.writeHead(serverResponse.statusCode, {
        [HEADERS.outcome]: 'answered',
        'content-length': responseBody.length,
      });
      res.end(responseBody);
      return true;
    } catch {
      // The server may have run the request. The baseline does not distinguish a
      // refused connection, after which nothing ran.
      sendOutcome(res, 502, 'unknown');
      return true;
    } finally {
      releaseSlot(limiter);
    }
  }
}

/**
 * Returns the headers of a request that are passed on to the server. Servers
 * record the attempt id (an `x-` header) and the idempotency key, by which the
 * checker matches their records with those of the callers.
 */
function forwardedHeaders(req: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (name.startsWith('x-') || name === HEADERS.idempotencyKey) {
      headers[name] = String(value);
    }
  }
  return headers;
}

/** Waits until fewer requests than the limit are active at the server. */
async function acquireSlot(limiter: ServerLimiter): Promise<void> {
  if (limiter.activeRequests >= MAX_REQUESTS_PER_SERVER) {
    await new Promise<void>(resolve => limiter.waiters.push(resolve));
  }
  limiter.activeRequests += 1;
}

function releaseSlot(limiter: ServerLimiter): void {
  limiter.activeRequests -= 1;
  limiter.waiters.shift()?.();
}

function sendOutcome(
  res: ServerResponse,
  status: number,
  outcome: string,
): void {
  res.writeHead(status, {[HEADERS.outcome]: outcome}).end();
}

async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Reads the log until it holds a valid bundle. */
async function readBundle(client: LogClient): Promise<Bundle> {
  for (;;) {
    const batch = await client.read(1, {waitMs: LOG_POLL_INTERVAL_MS});
    for (const {record} of batch.isOk ? batch.value.records : []) {
      const parsed = logRecordSchema.safeParse(record);
      if (!parsed.success || parsed.data.kind !== 'bundle') continue;
      const bundle = parseBundle(parsed.data.signed.payload);
      if (bundle.isOk) return bundle.value;
    }
    await sleep(LOG_POLL_INTERVAL_MS);
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
