/**
 * Runs a small cluster under load, injects a failure and checks the guarantees
 * against what servers and callers recorded.
 */
import {OperatorClient, type StatusView} from '@wisteriarun/operator';
import {
  CallerLoad,
  findViolations,
  selectRunRecords,
  sleep,
  wallMs,
  type Attempt,
  type CallerLoadOptions,
  type AvailabilityGap,
  type RunRecord,
  type ServerRecord,
  type Violation,
} from '@wisteriarun/standins';
import {Cluster, type ClusterOptions, type ServerSpec} from '@wisteriarun/demo';

/**
 * Longest time from a loss until its keys are served again (docs/design.md,
 * section 1.6).
 */
export const RECOVERY_LIMIT_MS = 3_000;
/**
 * Longest time until a bundle is in force on all entry VMs (docs/design.md,
 * section 1.6).
 */
export const BUNDLE_LIMIT_MS = 9_000;
/** Timeout of one test, far above the times that the tests assert. */
export const TEST_TIMEOUT_MS = 60_000;
/** Id of the only service of the small cluster. */
export const SERVICE = 'orders';
const KEY_COUNT = 40;
const SHARD_COUNT = 24;
const REQUESTS_PER_SECOND = 80;
/**
 * Wait before the load starts. A dispatcher answers `attempt-unknown` to
 * POST requests created up to 1.25 s after its first takeover, because clocks
 * may differ by that much (docs/design.md, section 4.4).
 */
const LOAD_DELAY_MS = 1_500;
const WARM_UP_MS = 1_000;
const POLL_INTERVAL_MS = 50;
/**
 * Largest number of clusters that are started to get one with a dispatcher
 * other than the assigner. The last one is used in any case.
 */
const MAX_STARTS = 4;

/** Returns specifications of servers `s1`, `s2`, … in one zone. */
export function createServerSpecs(
  count: number,
  overrides: Partial<ServerSpec> = {},
): ServerSpec[] {
  return Array.from({length: count}, (_, index) => ({
    id: `s${index + 1}`,
    service: SERVICE,
    zone: 'zone-a',
    slots: 4,
    serviceTimeMs: 10,
    ...overrides,
  }));
}

/** One zone with three entry VMs and three servers. */
export const SMALL_CLUSTER: ClusterOptions = {
  zones: ['zone-a'],
  services: [{id: SERVICE, shards: SHARD_COUNT}],
  servers: createServerSpecs(3),
  entries: ['e1', 'e2', 'e3'].map(id => ({id, zone: 'zone-a'})),
};

/** Recorded data of a run, available after its processes have ended. */
export interface ScenarioResult {
  readonly violations: readonly Violation[];
  /** Attempts that the callers recorded, probes of unavailable keys included. */
  readonly attempts: readonly Attempt[];
  readonly gaps: readonly AvailabilityGap[];
  readonly records: readonly ServerRecord[];
  /** The run records among `records`. */
  readonly runs: readonly RunRecord[];
  /** Attempts beyond the first of each request. */
  readonly resends: number;
  /** Output of the entry VMs of the small cluster. */
  readonly output: string;
}

/** A running cluster and the load that it serves. */
export class Scenario {
  constructor(
    readonly cluster: Cluster,
    readonly load: CallerLoad,
  ) {}

  /** Returns a client for the operator port of an entry VM. */
  operatorClient(entry: string): OperatorClient {
    return createOperatorClient(this.cluster, entry);
  }

  /** Fetches the status that an entry VM reports. */
  status(entry: string): Promise<StatusView> {
    return statusOf(this.cluster, entry);
  }

  /**
   * Returns the entry VM that holds the assigner term of a zone.
   *
   * @param seenBy - Entry VM that is asked.
   */
  async assigner(zone = 'zone-a', seenBy = 'e1'): Promise<string> {
    const {terms} = await this.status(seenBy);
    const holder = terms.find(term => term.zone === zone)?.holder;
    if (!holder) throw new Error(`${zone} has no assigner`);
    return vmIdOf(holder);
  }

  /**
   * Fetches the shards and the dispatcher of each server from an entry VM.
   * Servers that own no shard or have no dispatcher are left out.
   *
   * @param seenBy - Entry VM that is asked.
   */
  async servers(seenBy = 'e1') {
    const view = await this.operatorClient(seenBy).owners();
    if (view.isErr) throw new Error(view.error.kind);
    const found = new Map<string, {dispatcher: string; shards: Set<number>}>();
    for (const {server, dispatcher, shard} of view.value.rows) {
      if (!server || !dispatcher) continue;
      const row = found.get(server) ?? {
        dispatcher: vmIdOf(dispatcher),
        shards: new Set(),
      };
      row.shards.add(shard);
      found.set(server, row);
    }
    return found;
  }

  /**
   * Finds an entry VM that is a dispatcher but not the zone's assigner.
   *
   * @returns The entry VM and one of the servers that it dispatches for.
   */
  async nonAssignerDispatcher(): Promise<{entry: string; server: string}> {
    const assigner = await this.assigner();
    for (const [server, {dispatcher}] of await this.servers()) {
      if (dispatcher !== assigner) return {entry: dispatcher, server};
    }
    throw new Error('no dispatcher other than the assigner');
  }

  /**
   * Returns the keys of the load whose shards a server owns.
   *
   * @param seenBy - Entry VM that is asked.
   */
  async keysOwnedBy(server: string, seenBy = 'e1'): Promise<Set<string>> {
    const keys = new Set<string>();
    for (let number = 0; number < KEY_COUNT; number++) {
      const key = `key-${number}`;
      const view = await this.operatorClient(seenBy).explain(SERVICE, key);
      if (view.isOk && view.value.server === server) keys.add(key);
    }
    return keys;
  }
}

/** Creates a client for the operator port of an entry VM. */
export function createOperatorClient(
  cluster: Cluster,
  entry: string,
): OperatorClient {
  return new OperatorClient({
    endpoint: `http://${cluster.operatorAddress(entry)}`,
    token: cluster.operatorToken,
    timeoutMs: 1_000,
  });
}

/** Fetches the status that an entry VM reports. */
export async function statusOf(cluster: Cluster, entry: string) {
  const view = await createOperatorClient(cluster, entry).status();
  if (view.isErr) throw new Error(`${entry}: ${view.error.kind}`);
  return view.value;
}

/** Returns the VM's id, which an instance id has before its last dot. */
export function vmIdOf(instanceId: string): string {
  return instanceId.slice(0, instanceId.lastIndexOf('.'));
}

/**
 * Polls until a condition holds. An error that the condition throws counts as
 * false.
 *
 * @returns Time that it took in milliseconds.
 * @throws Error that names the condition when the time limit passes.
 */
export async function waitUntil(
  description: string,
  timeoutMs: number,
  condition: () => Promise<boolean> | boolean,
): Promise<number> {
  const startMs = performance.now();
  while (performance.now() - startMs < timeoutMs) {
    const done = await Promise.resolve()
      .then(condition)
      .catch(() => false);
    if (done) return performance.now() - startMs;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`condition not met within ${timeoutMs} ms: ${description}`);
}

/**
 * Starts a cluster that has a dispatcher other than the assigner. Dispatchers
 * are chosen by a hash of random ids, which may select the assigner for every
 * server; the cluster is then started anew, at most `MAX_STARTS` times in all.
 */
async function startWithSeparateDispatcher(
  options: ClusterOptions,
): Promise<Cluster> {
  for (let left = MAX_STARTS; ; left--) {
    const cluster = await Cluster.start(options);
    try {
      await cluster.waitUntilServing(BUNDLE_LIMIT_MS);
      if (left === 1 || (await hasSeparateDispatcher(cluster))) return cluster;
    } catch (error) {
      await cluster.close();
      throw error;
    }
    await cluster.close();
  }
}

/** Whether some dispatcher does not hold the term of a zone. */
async function hasSeparateDispatcher(cluster: Cluster): Promise<boolean> {
  const entry = cluster.entryIds()[0]!;
  const {terms} = await statusOf(cluster, entry);
  const holders = new Set(terms.map(({holder}) => holder));
  const owners = await createOperatorClient(cluster, entry).owners();
  return (
    owners.isOk &&
    owners.value.rows.some(
      ({dispatcher}) => dispatcher !== null && !holders.has(dispatcher),
    )
  );
}

/**
 * Starts a cluster and a load, injects a failure, stops both and collects what
 * servers and callers recorded.
 *
 * @param options - Options that replace those of the small cluster.
 * @param injectFailure - Injects the failure and waits for its effects.
 * @param loadOptions - Options that replace those of the default load.
 * @returns The records of the run and the violations found in them.
 */
export async function runUnderLoad(
  options: Partial<ClusterOptions>,
  injectFailure: (scenario: Scenario) => Promise<void>,
  loadOptions: Partial<CallerLoadOptions> = {},
): Promise<ScenarioResult> {
  const cluster = await startWithSeparateDispatcher({
    ...SMALL_CLUSTER,
    ...options,
  });
  try {
    await sleep(LOAD_DELAY_MS);
    const load = new CallerLoad({
      entries: cluster.entryAddresses(),
      service: SERVICE,
      keys: KEY_COUNT,
      zipfExponent: 0.3,
      mix: {get: 0.5, post: 0.3, put: 0.2, upload: 0},
      loop: {
        kind: 'open',
        ratePerSecond: REQUESTS_PER_SECOND,
        maxInFlight: 500,
      },
      ...loadOptions,
    });
    load.start();
    try {
      await sleep(WARM_UP_MS);
      await injectFailure(new Scenario(cluster, load));
    } finally {
      await load.stop();
    }
    const records = cluster.records();
    const attempts = load.history();
    return {
      violations: findViolations({records, attempts}),
      attempts,
      gaps: load.gaps(),
      records,
      runs: selectRunRecords(records),
      resends: load.report().resends,
      output: SMALL_CLUSTER.entries
        .map(({id}) => cluster.output(id))
        .join('\n'),
    };
  } finally {
    await cluster.close();
  }
}

/**
 * Returns the longest time during which a key was not served.
 *
 * @param sinceMs - Wall time of the loss; earlier parts of a gap do not count.
 * @param keys - Keys to look at; all by default.
 */
export function longestGapMs(
  {gaps}: Pick<ScenarioResult, 'gaps'>,
  sinceMs: number,
  keys?: ReadonlySet<string>,
): number {
  const lengths = gaps
    .filter(({key}) => keys === undefined || keys.has(key))
    .map(({fromMs, toMs}) => toMs - Math.max(fromMs, sinceMs));
  return Math.max(0, ...lengths);
}

/**
 * Formats each attempt as one line, for the messages of failed assertions.
 *
 * @param originMs - Wall time from which the times in the lines are counted.
 */
export function formatAttempts(
  attempts: readonly Attempt[],
  originMs: number,
): string[] {
  return attempts.map(
    ({operation, key, outcome, reason, startMs, endMs}) =>
      `${operation} ${key} ${outcome} ${reason} ` +
      `${Math.round(startMs - originMs)}..${Math.round(endMs - originMs)}`,
  );
}

/** Counts the answered requests that started at or after a wall time. */
export function countAnsweredAfter(
  {attempts}: Pick<ScenarioResult, 'attempts'>,
  afterMs: number,
): number {
  return attempts.filter(
    ({outcome, startMs}) => outcome === 'answered' && startMs >= afterMs,
  ).length;
}

export {sleep, wallMs};
