/** A process that the harness started and ends by its id. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, readFileSync} from 'node:fs';
import {sleep} from '@wisteriarun/standins';

const KILL_AFTER_MS = 3_000;
const POLL_INTERVAL_MS = 10;

/** Children of this process that have not ended yet. */
const live = new Set<Child>();

// The last resort when the process ends without `close`.
process.on('exit', () => {
  for (const child of live) child.signal('SIGKILL');
});

/** One child process with its output in a file. */
export class Child {
  private readonly process: ChildProcess;
  private readonly exit: Promise<unknown>;

  /**
   * Starts a Node process.
   *
   * @param name - Name for messages.
   * @param outputPath - File that gets standard output and error.
   * @param args - Script and arguments.
   */
  constructor(
    readonly name: string,
    private readonly outputPath: string,
    args: readonly string[],
  ) {
    const output = openSync(outputPath, 'a');
    this.process = spawn(process.execPath, args, {
      stdio: ['ignore', output, output],
    });
    closeSync(output);
    this.exit = once(this.process, 'exit').catch(() => undefined);
    live.add(this);
    void this.exit.then(() => live.delete(this));
  }

  /** Process id; 0 when the process could not be started. */
  get pid(): number {
    return this.process.pid ?? 0;
  }

  /** Whether the process has not ended. */
  get running(): boolean {
    return live.has(this);
  }

  /** Exit code, or null while it runs and after a signal. */
  get exitCode(): number | null {
    return this.process.exitCode;
  }

  /** Everything the process has written. */
  output(): string {
    return readFileSync(this.outputPath, 'utf8');
  }

  /** Sends a signal if the process still runs. */
  signal(name: NodeJS.Signals): void {
    if (this.process.exitCode === null && this.process.signalCode === null) {
      this.process.kill(name);
    }
  }

  /**
   * Waits for the line by which a stand-in reports its address.
   *
   * @param timeoutMs - Longest wait in milliseconds.
   * @throws Error when the process ends or the time is over.
   */
  async ready(timeoutMs = 10_000): Promise<{host: string; port: number}> {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
      const match = /^ready host=(\S+) port=(\d+)$/m.exec(this.output());
      if (match) return {host: match[1]!, port: Number(match[2])};
      if (!this.running) break;
      await sleep(POLL_INTERVAL_MS);
    }
    throw new Error(`${this.name} is not ready: ${this.tail()}`);
  }

  /** Last lines of the output, for messages. */
  tail(lines = 5): string {
    return this.output().trim().split('\n').slice(-lines).join(' | ');
  }

  /** Waits for the end of the process. */
  async ended(): Promise<void> {
    await this.exit;
  }

  /** Ends the process, at once with SIGKILL or after a grace period. */
  async end(signal: 'SIGTERM' | 'SIGKILL' = 'SIGTERM'): Promise<void> {
    this.signal(signal);
    // A stopped process acts on SIGTERM only when it continues.
    this.signal('SIGCONT');
    const timer = setTimeout(() => this.signal('SIGKILL'), KILL_AFTER_MS);
    await this.exit;
    clearTimeout(timer);
  }
}
