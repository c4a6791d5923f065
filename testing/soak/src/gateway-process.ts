/** One gateway: its settings, its process, and how each of its processes ended. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {closeSync, openSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {join} from 'node:path';

const READINESS_PATH = '/api/ready';
const READINESS_TIMEOUT_MS = 1_000;
/** Time from the end of a process to the next start. */
const RESTART_DELAY_MS = 200;

/** Times and end of one process; times on the clock of `performance.now()`. */
export interface ProcessLife {
  readonly startedAtMs: number;
  /** Time of the first positive answer to a readiness check. */
  readyAtMs: number | null;
  /** Time of the first SIGTERM. */
  stoppedAtMs: number | null;
  killedAtMs: number | null;
  /** Periods during which the process was suspended. */
  readonly freezes: {fromMs: number; untilMs: number}[];
  endedAtMs: number | null;
  exitCode: number | null;
  exitSignal: NodeJS.Signals | null;
}

/** Ports that all gateways use, each at an address of its own. */
export interface GatewayPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly peers: number;
  readonly metrics: number;
}

/** Where a gateway runs. */
export interface GatewayOptions {
  readonly name: string;
  /** Loopback address of the gateway. */
  readonly host: string;
  readonly ports: GatewayPorts;
  readonly storeAddress: string;
  /** Script of the gateway, run with `nodeArgs`. */
  readonly script: string;
  readonly nodeArgs: readonly string[];
  /** Directory for settings and output. */
  readonly directory: string;
  readonly graceMs: number;
}

/** Starts and ends the processes of one gateway. */
export class GatewayProcess {
  readonly lives: ProcessLife[] = [];
  /** Whether the load balancer sends new connections. */
  isInRotation = false;
  #child: ChildProcess | null = null;
  #missedChecks = 0;
  #mayStart = true;
  #restartDelayMs = RESTART_DELAY_MS;

  /**
   * @param options - Where the gateway runs.
   */
  constructor(readonly options: GatewayOptions) {
    const {name, host, ports, storeAddress, graceMs} = options;
    writeFileSync(
      this.#settingsPath,
      `[vm]\nid=${name}\nzone=zone-a\nhost=${host}
[listen]\ncallers=${host}:${ports.callers}\nreadiness=${host}:${ports.readiness}
peer_port=${ports.peers}\nmetrics_port=${ports.metrics}
[store]\naddress=${storeAddress}\n[bounds]\ngrace=${graceMs}ms\n`,
    );
  }

  /** The newest process, which may have ended; undefined before the first start. */
  get life(): ProcessLife | undefined {
    return this.lives.at(-1);
  }

  /** Whether a process runs. */
  get isRunning(): boolean {
    return this.#child !== null;
  }

  /** Starts a process unless one runs. */
  start(): void {
    if (this.#child !== null || !this.#mayStart) return;
    const {name, directory, script, nodeArgs} = this.options;
    const output = openSync(join(directory, `${name}.log`), 'a');
    const child = spawn(process.execPath, [...nodeArgs, script], {
      env: {...process.env, WISTERIARUN_BOOT: this.#settingsPath},
      stdio: ['ignore', output, output],
    });
    closeSync(output);
    const life: ProcessLife = {
      startedAtMs: performance.now(),
      readyAtMs: null,
      stoppedAtMs: null,
      killedAtMs: null,
      freezes: [],
      endedAtMs: null,
      exitCode: null,
      exitSignal: null,
    };
    this.lives.push(life);
    this.#child = child;
    child.once('exit', (code, signal) => {
      life.endedAtMs = performance.now();
      life.exitCode = code;
      life.exitSignal = signal;
      this.#child = null;
      setTimeout(() => this.start(), this.#restartDelayMs);
      this.#restartDelayMs = RESTART_DELAY_MS;
    });
  }

  /** Stops gracefully; the next process starts after the end of this one. */
  stop(): void {
    if (this.#child === null || this.life === undefined) return;
    this.life.stoppedAtMs ??= performance.now();
    this.#child.kill('SIGTERM');
  }

  /** Repeats the signal to a process that is stopping. */
  stopAgain(): void {
    if (this.life?.stoppedAtMs !== null) this.stop();
  }

  /** Stops gracefully, and starts no other process. */
  stopForGood(): void {
    this.#mayStart = false;
    this.stop();
  }

  /**
   * Ends the process at once.
   *
   * @param downMs - Time until the next start.
   */
  kill(downMs = RESTART_DELAY_MS): void {
    if (this.#child === null || this.life === undefined) return;
    this.life.killedAtMs ??= performance.now();
    this.#restartDelayMs = downMs;
    this.#child.kill('SIGKILL');
  }

  /** Sends the signal for changed settings. */
  hangUp(): void {
    this.#child?.kill('SIGHUP');
  }

  /**
   * Suspends the process.
   *
   * @param forMs - Time until it is resumed.
   */
  freeze(forMs: number): void {
    const child = this.#child;
    if (child === null || this.life === undefined) return;
    const fromMs = performance.now();
    const freeze = {fromMs, untilMs: fromMs + forMs};
    this.life.freezes.push(freeze);
    child.kill('SIGSTOP');
    setTimeout(() => {
      freeze.untilMs = performance.now();
      child.kill('SIGCONT');
    }, forMs);
  }

  /** Asks whether the gateway is ready; two misses take it out of rotation. */
  async checkReadiness(): Promise<void> {
    const {life} = this;
    const isReady = await this.#isReady();
    if (isReady) {
      this.#missedChecks = 0;
      this.isInRotation = true;
      if (life !== undefined) life.readyAtMs ??= performance.now();
      return;
    }
    this.#missedChecks += 1;
    if (this.#missedChecks >= 2) this.isInRotation = false;
  }

  /** Ends the process and starts no other. */
  close(): void {
    this.#mayStart = false;
    this.kill();
    this.#child?.kill('SIGCONT');
  }

  get #settingsPath(): string {
    return join(this.options.directory, `${this.options.name}.ini`);
  }

  #isReady(): Promise<boolean> {
    const {host, ports} = this.options;
    return new Promise(resolve => {
      const check = request(
        {host, port: ports.readiness, path: READINESS_PATH, agent: false},
        answer => {
          answer.resume();
          resolve(answer.statusCode === 200);
        },
      );
      check.setTimeout(READINESS_TIMEOUT_MS, () => check.destroy());
      check.on('error', () => resolve(false));
      check.end();
    });
  }
}
