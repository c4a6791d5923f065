/** Draws the faults of a run from its seed. */
import {seededRandom} from '@wisteriarun/standins';
import type {Random, StoreFault} from '@wisteriarun/standins';

/** A fault, or planned work, that begins at a time of the run. */
export type Action =
  /** SIGKILL, and a new start after `downMs`. */
  | {
      readonly kind: 'kill';
      readonly gateways: readonly number[];
      readonly downMs: number;
    }
  /** SIGTERM; signals that follow while the process stops; a new start at its end. */
  | {
      readonly kind: 'stop';
      readonly gateway: number;
      readonly laterSignals: readonly {
        readonly signal: 'SIGTERM' | 'SIGHUP';
        readonly afterMs: number;
      }[];
    }
  | {
      readonly kind: 'hup';
      readonly gateways: readonly number[];
      readonly gapMs: number;
    }
  | {
      readonly kind: 'freeze';
      readonly gateway: number;
      readonly forMs: number;
    }
  | {
      readonly kind: 'store';
      readonly fault: StoreFault;
      readonly forMs: number;
    }
  | {readonly kind: 'compact'}
  /** New bundles in quick succession. */
  | {
      readonly kind: 'bundles';
      readonly count: number;
      readonly gapMs: number;
    }
  /** The server ends without notice, and starts again under its id. */
  | {
      readonly kind: 'crash';
      readonly server: number;
      readonly downMs: number;
      /** Time for which the restarted server does not reach the store. */
      readonly cutMs: number;
    }
  /** The server drains and ends; another one takes its place. */
  | {readonly kind: 'drain'; readonly server: number; readonly lingerMs: number}
  /** Grants take effect, but are not answered. */
  | {
      readonly kind: 'lost-grants';
      readonly server: number;
      readonly forMs: number;
    }
  /** Requests take longer. */
  | {readonly kind: 'slow'; readonly server: number; readonly forMs: number}
  /** Another writer puts an entry into the list of servers. */
  | {
      readonly kind: 'odd-entry';
      readonly server: number;
      readonly oddity: Oddity;
    };

/** What is wrong with an entry of another writer. */
export type Oddity = 'unreadable-id' | 'no-version' | 'no-text';

/** An action with its time. */
export interface PlannedAction {
  readonly atMs: number;
  readonly action: Action;
}

/** Sizes of a run. */
export interface RunSize {
  readonly gateways: number;
  readonly servers: number;
  /** Time during which actions begin. */
  readonly durationMs: number;
  /** Mean time between two actions. */
  readonly gapMs: number;
}

const STORE_FAULTS: readonly StoreFault[] = [
  'busy',
  'silent',
  'reset',
  'lose-answers',
];

/** Kinds of actions; a kind that is listed more often is more frequent. */
const KINDS: readonly Action['kind'][] = [
  'kill',
  'kill',
  'stop',
  'stop',
  'stop',
  'hup',
  'freeze',
  'store',
  'store',
  'compact',
  'bundles',
  'crash',
  'crash',
  'drain',
  'lost-grants',
  'slow',
  'odd-entry',
];

const ODDITIES: readonly Oddity[] = ['unreadable-id', 'no-version', 'no-text'];

/**
 * Draws the actions of a run. They overlap: each begins whether or not earlier ones
 * have ended.
 *
 * @param seed - Seed of the run.
 * @param size - Sizes of the run.
 * @returns The actions in the order of their times.
 */
export function planActions(seed: number, size: RunSize): PlannedAction[] {
  const random = seededRandom(seed);
  const plan: PlannedAction[] = [];
  let atMs = random() * size.gapMs;
  while (atMs < size.durationMs) {
    plan.push({atMs, action: drawAction(random, size)});
    // Some actions follow each other at once.
    const isSeries = random() < 0.3;
    atMs += isSeries ? random() * 200 : 2 * random() * size.gapMs;
  }
  return plan;
}

function drawAction(random: Random, size: RunSize): Action {
  const below = (limit: number) => Math.floor(random() * limit);
  const between = (fromMs: number, toMs: number) =>
    Math.round(fromMs + random() * (toMs - fromMs));
  const kind = KINDS[below(KINDS.length)]!;
  const gateway = below(size.gateways);
  const server = below(size.servers);
  const drawGateways = (allProbability: number) => {
    const all = [...Array(size.gateways).keys()];
    return random() < allProbability ? all : [gateway];
  };
  switch (kind) {
    case 'kill':
      return {
        kind,
        gateways: drawGateways(0.1),
        downMs: between(0, 1_500),
      };
    case 'stop': {
      const count = below(4);
      const laterSignals = Array.from({length: count}, () => ({
        signal: random() < 0.5 ? ('SIGTERM' as const) : ('SIGHUP' as const),
        afterMs: between(0, 4_000),
      }));
      return {kind, gateway, laterSignals};
    }
    case 'hup':
      return {kind, gateways: drawGateways(0.5), gapMs: between(0, 300)};
    case 'freeze':
      return {kind, gateway, forMs: between(300, 5_000)};
    case 'store': {
      const fault = STORE_FAULTS[below(STORE_FAULTS.length)]!;
      return {kind, fault, forMs: between(500, 5_000)};
    }
    case 'compact':
      return {kind};
    case 'bundles':
      return {kind, count: 1 + below(6), gapMs: between(20, 400)};
    case 'crash':
      return {
        kind,
        server,
        downMs: between(50, 4_000),
        cutMs: random() < 0.5 ? 0 : between(500, 2_500),
      };
    case 'drain':
      return {kind, server, lingerMs: between(2_500, 6_000)};
    case 'lost-grants':
      return {kind, server, forMs: between(500, 3_000)};
    case 'slow':
      return {kind, server, forMs: between(1_000, 5_000)};
    case 'odd-entry':
      return {kind, server, oddity: ODDITIES[below(ODDITIES.length)]!};
  }
}
