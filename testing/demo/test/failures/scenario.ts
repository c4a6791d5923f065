/** Runs a small cluster under load, brings about a failure and checks. */
import {OperatorClient, type StatusView} from '@wisteriarun/operator';
import {
  CallerLoad,
  check,
  runsOf,
  sleep,
  wallMs,
  type Attempt,
  type CallerLoadOptions,
  type Gap,
  type RunRecord,
  type ServerRecord,
  type Violation,
} from '@wisteriarun/standins';
import {Cluster, type ClusterOptions, type ServerSpec} from '@wisteriarun/demo';

/** A key is served again within this time of a loss (design, 1.6). */
export const SERVED_AGAIN_MS = 3_000;
/** A bundle is in force everywhere within this time (design, 1.6). */
export const IN_FORCE_MS = 9_000;
/** Time limit of one test, far above the times that the tests assert. */
export const TEST_TIMEOUT_MS = 60_000;
export const SERVICE = 'orders';
const KEYS = 40;
const SHARDS = 24;
const LOAD_PER_SECOND = 80;
/**
 * Filings created within the clock skews of a dispatcher's first takeover get
 * `attempt-unknown` (design, 4.4), so the load starts after that time.
 */
const FIRST_TAKEOVER_MS = 1_500;
const SETTLE_MS = 1_000;
const POLL_INTERVAL_MS = 50;
/** Starts of a cluster before its dispatchers are taken as they are. */
const MAX_STARTS = 4;

/** Servers `s1`, `s2`, … of one zone. */
export function serversOf(
  count: number,
  part: Partial<ServerSpec> = {},
): ServerSpec[] {
  return Array.from({length: count}, (_, index) => ({
    id: `s${index + 1}`,
    service: SERVICE,
    zone: 'zone-a',
    slots: 4,
    serviceTimeMs: 10,
    ...part,
  }));
}

/** One zone with three entry VMs and three servers. */
export const SMALL: ClusterOptions = {
  zones: ['zone-a'],
  services: [{id: SERVICE, shards: SHARDS}],
  servers: serversOf(3),
  entries: ['e1', 'e2', 'e3'].map(id => ({id, zone: 'zone-a'})),
};

/** What is left of a run after its processes have ended. */
export interface Result {
  readonly violations: readonly Violation[];
  readonly attempts: readonly Attempt[];
  readonly gaps: readonly Gap[];
  readonly records: readonly ServerRecord[];
  readonly runs: readonly RunRecord[];
  readonly resends: number;
  /** Output of the entry VMs. */
  readonly output: string;
}

/** A cluster with a load in progress. */
export class Scenario {
  constructor(
    readonly cluster: Cluster,
    readonly load: CallerLoad,
  ) {}

  /** Operator port of an entry VM. */
  operator(entry: string): OperatorClient {
    return operatorOf(this.cluster, entry);
  }

  /** Status as the given entry VM sees it. */
  status(entry: string): Promise<StatusView> {
    return statusOf(this.cluster, entry);
  }

  /** Entry VM that holds the term of a zone. */
  async assigner(zone = 'zone-a', seenBy = 'e1'): Promise<string> {
    const {terms} = await this.status(seenBy);
    const holder = terms.find(term => term.zone === zone)?.holder;
    if (!holder) throw new Error(`${zone} has no assigner`);
    return vmOf(holder);
  }

  /** Shards and dispatcher of each server, as an entry VM sees them. */
  async servers(seenBy = 'e1') {
    const view = await this.operator(seenBy).owners();
    if (view.isErr) throw new Error(view.error.kind);
    const found = new Map<string, {dispatcher: string; shards: Set<number>}>();
    for (const {server, dispatcher, shard} of view.value.rows) {
      if (!server || !dispatcher) continue;
      const row = found.get(server) ?? {
        dispatcher: vmOf(dispatcher),
        shards: new Set(),
      };
      row.shards.add(shard);
      found.set(server, row);
    }
    return found;
  }

  /** An entry VM that dispatches and does not hold the zone's term. */
  async plainDispatcher(): Promise<{entry: string; server: string}> {
    const assigner = await this.assigner();
    for (const [server, {dispatcher}] of await this.servers()) {
      if (dispatcher !== assigner) return {entry: dispatcher, server};
    }
    throw new Error('the assigner dispatches for all servers');
  }

  /** Keys of the load whose shard a server owns. */
  async keysOf(server: string, seenBy = 'e1'): Promise<Set<string>> {
    const keys = new Set<string>();
    for (let number = 0; number < KEYS; number++) {
      const key = `key-${number}`;
      const view = await this.operator(seenBy).explain(SERVICE, key);
      if (view.isOk && view.value.server === server) keys.add(key);
    }
    return keys;
  }
}

/** Operator port of an entry VM. */
export function operatorOf(cluster: Cluster, entry: string): OperatorClient {
  return new OperatorClient({
    endpoint: `http://${cluster.operatorAddress(entry)}`,
    token: cluster.operatorToken,
    timeoutMs: 1_000,
  });
}

/** Status as an entry VM sees it. */
export async function statusOf(cluster: Cluster, entry: string) {
  const view = await operatorOf(cluster, entry).status();
  if (view.isErr) throw new Error(`${entry}: ${view.error.kind}`);
  return view.value;
}

/** Id of the VM whose process has the given instance id. */
export function vmOf(instance: string): string {
  return instance.slice(0, instance.lastIndexOf('.'));
}

/** Waits for a condition; errors of the condition count as false. */
export async function until(
  what: string,
  limitMs: number,
  holds: () => Promise<boolean> | boolean,
): Promise<number> {
  const startMs = performance.now();
  while (performance.now() - startMs < limitMs) {
    const done = await Promise.resolve()
      .then(holds)
      .catch(() => false);
    if (done) return performance.now() - startMs;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`not within ${limitMs} ms: ${what}`);
}

/**
 * Starts a cluster in which some entry VM other than the assigner dispatches.
 * Dispatchers are chosen by a hash of random ids, which can give every server
 * to the assigner.
 */
async function startSpread(options: ClusterOptions): Promise<Cluster> {
  for (let left = MAX_STARTS; ; left--) {
    const cluster = await Cluster.start(options);
    try {
      await cluster.waitUntilServing(IN_FORCE_MS);
      if (left === 1 || (await isSpread(cluster))) return cluster;
    } catch (error) {
      await cluster.close();
      throw error;
    }
    await cluster.close();
  }
}

async function isSpread(cluster: Cluster): Promise<boolean> {
  const entry = cluster.entryIds()[0]!;
  const {terms} = await statusOf(cluster, entry);
  const holders = new Set(terms.map(({holder}) => holder));
  const owners = await operatorOf(cluster, entry).owners();
  return (
    owners.isOk &&
    owners.value.rows.some(
      ({dispatcher}) => dispatcher !== null && !holders.has(dispatcher),
    )
  );
}

/**
 * Starts a cluster and a load, runs the failure, ends both and collects what
 * servers and callers recorded.
 *
 * @param options - Parts that differ from the small cluster.
 * @param act - Brings about the failure and waits for what follows.
 * @param loadOptions - Parts that differ from the small load.
 */
export async function underLoad(
  options: Partial<ClusterOptions>,
  act: (scenario: Scenario) => Promise<void>,
  loadOptions: Partial<CallerLoadOptions> = {},
): Promise<Result> {
  const cluster = await startSpread({...SMALL, ...options});
  try {
    await sleep(FIRST_TAKEOVER_MS);
    const load = new CallerLoad({
      entries: cluster.entryAddresses(),
      service: SERVICE,
      keys: KEYS,
      zipfExponent: 0.3,
      mix: {get: 0.5, post: 0.3, put: 0.2, upload: 0},
      loop: {
        kind: 'open',
        ratePerSecond: LOAD_PER_SECOND,
        maxInFlight: 500,
      },
      ...loadOptions,
    });
    load.start();
    try {
      await sleep(SETTLE_MS);
      await act(new Scenario(cluster, load));
    } finally {
      await load.stop();
    }
    const records = cluster.records();
    const attempts = load.history();
    return {
      violations: check({records, attempts}),
      attempts,
      gaps: load.gaps(),
      records,
      runs: runsOf(records),
      resends: load.report().resends,
      output: SMALL.entries.map(({id}) => cluster.output(id)).join('\n'),
    };
  } finally {
    await cluster.close();
  }
}

/** Longest gap in milliseconds, counted from a loss at the earliest. */
export function longestGapMs(
  {gaps}: Pick<Result, 'gaps'>,
  sinceMs: number,
  keys?: ReadonlySet<string>,
): number {
  const lengths = gaps
    .filter(({key}) => keys === undefined || keys.has(key))
    .map(({fromMs, toMs}) => toMs - Math.max(fromMs, sinceMs));
  return Math.max(0, ...lengths);
}

/** Attempts on one line each, for messages of failed tests. */
export function brief(attempts: readonly Attempt[], sinceMs: number): string[] {
  return attempts.map(
    ({operation, key, outcome, reason, startMs, endMs}) =>
      `${operation} ${key} ${outcome} ${reason} ` +
      `${Math.round(startMs - sinceMs)}..${Math.round(endMs - sinceMs)}`,
  );
}

/** Requests answered to callers after a time. */
export function answeredAfter(
  {attempts}: Pick<Result, 'attempts'>,
  afterMs: number,
): number {
  return attempts.filter(
    ({outcome, startMs}) => outcome === 'answered' && startMs >= afterMs,
  ).length;
}

export {sleep, wallMs};
