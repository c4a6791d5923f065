/** Runs one seed: starts a deployment, applies the planned actions, and checks. */
import {sleep} from '@wisteriarun/standins';
import {Caller} from './callers.js';
import type {Call} from './callers.js';
import {findViolations} from './checks.js';
import type {Violation} from './checks.js';
import {Deployment} from './deployment.js';
import {OwnerWatch} from './owner-watch.js';
import {planActions} from './plan.js';
import type {Action, PlannedAction, RunSize} from './plan.js';

/** Time after the last action for which callers go on. */
const SETTLE_MS = 4_000;
/** Time that gateways have to stop at the end of a run. */
const STOP_LIMIT_MS = 8_000;

/** Options of a run. */
export interface SoakOptions extends RunSize {
  readonly seed: number;
  readonly callers: number;
  /** Script of the gateways. */
  readonly script: string;
  readonly nodeArgs: readonly string[];
}

/** What a run has shown. */
export interface SoakReport {
  readonly plan: readonly PlannedAction[];
  readonly violations: readonly Violation[];
  /** Number of requests by status; 0 for those without an answer. */
  readonly statuses: Readonly<Record<number, number>>;
  /** Directory with the output of the gateways; removed if no rule was broken. */
  readonly directory: string;
}

/**
 * Runs gateways, servers and callers under the faults of a seed.
 *
 * @param options - Seed, sizes and the script of the gateways.
 * @returns The broken rules; times count from the first action.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const plan = planActions(options.seed, options);
  const deployment = new Deployment(options);
  await deployment.start();
  const owners = new OwnerWatch(deployment);
  const callers = Array.from(
    {length: options.callers},
    (_, index) =>
      new Caller(
        `s${options.seed}c${index}`,
        options.seed * 10_000 + index,
        deployment.gateways,
      ),
  );
  const running = Promise.all(callers.map(caller => caller.run()));
  const startedAtMs = performance.now();
  for (const {atMs, action} of plan) {
    await sleep(startedAtMs + atMs - performance.now());
    apply(action, deployment);
  }
  await sleep(startedAtMs + options.durationMs - performance.now());
  deployment.store.fault = 'none';
  await sleep(SETTLE_MS);
  // Callers go on while all gateways stop.
  for (const gateway of deployment.gateways) gateway.stopForGood();
  const deadlineMs = performance.now() + STOP_LIMIT_MS;
  while (
    deployment.gateways.some(({isRunning}) => isRunning) &&
    performance.now() < deadlineMs
  ) {
    await sleep(50);
  }
  for (const caller of callers) caller.close();
  await running;
  owners.close();
  const calls = callers.flatMap(caller => caller.calls);
  const violations = [
    ...findViolations(deployment, calls),
    ...owners.violations,
  ];
  await deployment.close(violations.length > 0);
  return {
    plan,
    violations: violations.map(violation => ({
      ...violation,
      atMs: Math.round(violation.atMs - startedAtMs),
    })),
    statuses: countStatuses(calls),
    directory: deployment.directory,
  };
}

function countStatuses(calls: readonly Call[]): Record<number, number> {
  const statuses: Record<number, number> = {};
  for (const {status} of calls) statuses[status] = (statuses[status] ?? 0) + 1;
  return statuses;
}

function apply(action: Action, deployment: Deployment): void {
  const {gateways, store} = deployment;
  switch (action.kind) {
    case 'kill':
      for (const index of action.gateways) {
        gateways[index]!.kill(action.downMs);
      }
      break;
    case 'stop': {
      const gateway = gateways[action.gateway]!;
      gateway.stop();
      for (const {signal, afterMs} of action.laterSignals) {
        setTimeout(() => {
          if (signal === 'SIGTERM') gateway.stopAgain();
          else gateway.hangUp();
        }, afterMs);
      }
      break;
    }
    case 'hup':
      for (const [position, index] of action.gateways.entries()) {
        setTimeout(() => gateways[index]!.hangUp(), position * action.gapMs);
      }
      break;
    case 'freeze':
      gateways[action.gateway]!.freeze(action.forMs);
      break;
    case 'store':
      store.fault = action.fault;
      setTimeout(() => (store.fault = 'none'), action.forMs);
      break;
    case 'compact':
      deployment.compactStore();
      break;
    case 'bundles':
      for (let count = 0; count < action.count; count += 1) {
        setTimeout(() => deployment.publishBundle(), count * action.gapMs);
      }
      break;
    case 'crash':
      void deployment.crash(action.server, action.downMs, action.cutMs);
      break;
    case 'drain':
      void deployment.drain(action.server, action.lingerMs);
      break;
    case 'lost-grants':
      void deployment.loseGrantAnswers(action.server, action.forMs);
      break;
    case 'slow':
      void deployment.slowDown(action.server, action.forMs);
      break;
    case 'odd-entry':
      deployment.putOddEntry(action.server, action.oddity);
      break;
  }
}
