/**
 * Minimal entry VM without failover: every shard stays on a fixed server. The
 * tests of the harness use it in place of the daemon.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import * as http from 'node:http';
import {setInterval} from 'node:timers';
import * as ini from 'ini';
import {fetch} from 'undici';

const settings = ini.parse(readFileSync(process.argv[3], 'utf8'));
const {endpoint, stream} = settings.log;
let bundle = null;
// Log offset of the bundle, which also serves as epoch and term of all grants.
let epoch = 0;
let leaseSeq = 0;

/** Reads the bundles that were published since the last call. */
async function follow() {
  const url = `${endpoint}/streams/${stream}/records?from=${epoch + 1}`;
  const {records} = await (await fetch(url)).json();
  for (const {offset, record} of records) {
    bundle = JSON.parse(record.signed.payload);
    epoch = offset;
  }
}

function serversOf(service) {
  return bundle.servers.filter(server => server.service === service);
}

function shardOf(service, key) {
  let hash = 0;
  for (const byte of Buffer.from(key)) hash = (hash * 31 + byte) >>> 0;
  return hash % service.shards;
}

/** Renews the lease of a server, which grants it its fixed shards. */
async function grant(server) {
  const base = `http://${server.host}:${server.port}/wisteriarun`;
  const {bootId, clockMs} = await (await fetch(`${base}/status`)).json();
  const {id, shards} = bundle.services.find(s => s.id === server.service);
  const servers = serversOf(id);
  const grants = Array.from({length: shards}, (_, shard) => shard)
    .filter(shard => servers[shard % servers.length].id === server.id)
    .map(shard => ({service: id, shard, epoch}));
  await fetch(`${base}/lease`, {
    method: 'PUT',
    body: JSON.stringify({
      zone: server.zone,
      term: epoch,
      fence: {term: epoch, seq: 1},
      dispatcher: settings.vm.id,
      expiresAtMs: clockMs + 1_200,
      grants,
      bootId,
      seq: ++leaseSeq,
    }),
  });
}

setInterval(async () => {
  await follow().catch(() => {});
  await Promise.allSettled((bundle?.servers ?? []).map(grant));
}, 200);

function fail(response, status, outcome, reason) {
  if (response.headersSent) return response.destroy();
  response
    .writeHead(status, {
      'wisteriarun-outcome': outcome,
      'wisteriarun-reason': reason,
    })
    .end();
}

const agent = new http.Agent({keepAlive: true});

http
  .createServer((request, response) => {
    const [, id, key] = request.url.split('/');
    const service = bundle?.services.find(s => s.id === id);
    if (!service) return fail(response, 503, 'not-run', 'no-bundle');
    const shard = shardOf(service, key);
    const servers = serversOf(id);
    const {host, port} = servers[shard % servers.length];
    const forward = http.request(
      {
        agent,
        host,
        port,
        path: request.url,
        method: request.method,
        headers: {
          ...request.headers,
          'wisteriarun-service': id,
          'wisteriarun-shard': shard,
          'wisteriarun-epoch': epoch,
          'wisteriarun-fence': `${epoch}.1`,
          'wisteriarun-request-id': randomUUID(),
        },
      },
      answer => {
        const outcome = {'wisteriarun-outcome': 'answered'};
        response.writeHead(answer.statusCode, {...outcome, ...answer.headers});
        answer.pipe(response);
      },
    );
    forward.on('error', () =>
      fail(response, 502, 'unknown', 'server-connection-lost'),
    );
    request.pipe(forward);
  })
  .listen(settings.caller.port, settings.caller.host);
