/** Watches that no two servers hold the same keys. */
import type {PlatformBackendServer} from '@wisteriarun/standins';
import type {Violation} from './checks.js';
import type {Deployment} from './deployment.js';

const INTERVAL_MS = 50;
/** Longest time for which two servers may hold the same key. */
const MAX_COMMON_MS = 500;
/** Grants that arrive this soon after their sender was resumed do not count. */
const THAW_MS = 400;
/** One key in so many is watched. */
const KEY_STEP = 64;
const KEY_COUNT = 65_536;

/** Records keys that two servers hold, and keys granted on while work runs. */
export class OwnerWatch {
  readonly violations: Violation[] = [];
  readonly #timer: NodeJS.Timeout;
  /** Since when two servers hold each watched key. */
  readonly #sinceMs = new Map<number, number>();

  /**
   * @param deployment - Deployment whose servers are watched.
   */
  constructor(private readonly deployment: Deployment) {
    deployment.onGranted = (server, fromKey, toKey) =>
      this.#checkWork(server, fromKey, toKey);
    this.#timer = setInterval(() => this.#checkHolders(), INTERVAL_MS);
  }

  /** Ends the watch. */
  close(): void {
    clearInterval(this.#timer);
    this.deployment.onGranted = null;
  }

  #checkWork(
    granted: PlatformBackendServer,
    fromKey: number,
    toKey: number,
  ): void {
    if (this.#hasThawed()) return;
    for (const server of this.deployment.runningServers) {
      if (server === granted) continue;
      const work = server.findWork(fromKey, toKey);
      if (work === null) continue;
      this.#report(
        `keys ${fromKey} to ${toKey} granted while ${work.id} runs for key ${work.key}`,
      );
    }
  }

  #checkHolders(): void {
    const nowMs = performance.now();
    const servers = this.deployment.runningServers;
    for (let key = 0; key < KEY_COUNT; key += KEY_STEP) {
      const holders = servers.filter(server => server.holdsKey(key)).length;
      if (holders < 2) {
        this.#sinceMs.delete(key);
        continue;
      }
      const sinceMs = this.#sinceMs.get(key) ?? nowMs;
      this.#sinceMs.set(key, sinceMs);
      if (nowMs - sinceMs <= MAX_COMMON_MS || this.#hasThawed()) continue;
      this.#report(`${holders} servers hold key ${key}`);
      this.#sinceMs.set(key, Infinity);
    }
  }

  /** Whether a gateway was resumed a short time ago. */
  #hasThawed(): boolean {
    const nowMs = performance.now();
    return this.deployment.gateways.some(({lives}) =>
      lives.some(({freezes}) =>
        freezes.some(
          ({untilMs}) => untilMs <= nowMs && nowMs < untilMs + THAW_MS,
        ),
      ),
    );
  }

  #report(detail: string): void {
    this.violations.push({rule: 'OWNER', atMs: performance.now(), detail});
  }
}
