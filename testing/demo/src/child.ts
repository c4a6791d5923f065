/**
 * Child processes of the harness. They are signaled by process id, never by
 * name, so that processes of other runs are not hit.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, readFileSync} from 'node:fs';
import {sleep} from '@wisteriarun/standins';

/** Time after which `terminate` sends SIGKILL to a process that still runs. */
const TERMINATION_GRACE_MS = 3_000;
const POLL_INTERVAL_MS = 10;

/** Children that have not exited yet. */
const liveChildren = new Set<Child>();

// Kills the children if this process exits before the cluster is closed.
process.on('exit', () => {
  for (const child of liveChildren) child.signal('SIGKILL');
});

/** A child process whose output goes to a file. */
export class Child {
  private readonly process: ChildProcess;
  private readonly exit: Promise<unknown>;

  /**
   * Starts a Node process.
   *
   * @param name - Name of the process in error messages.
   * @param outputPath - File to which standard output and error are appended.
   * @param args - Path of the script and its arguments.
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
    liveChildren.add(this);
    void this.exit.then(() => liveChildren.delete(this));
  }

  /** Process id; 0 when the process could not be started. */
  get pid(): number {
    return this.process.pid ?? 0;
  }

  /** Whether the process has not exited. */
  get isAlive(): boolean {
    return liveChildren.has(this);
  }

  /** Exit code; null while the process runs or if a signal ended it. */
  get exitCode(): number | null {
    return this.process.exitCode;
  }

  /** Returns everything that the process has written so far. */
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
   * Waits until a stand-in prints the line that reports its address.
   *
   * @param timeoutMs - Longest wait in milliseconds.
   * @returns The address on which the stand-in listens.
   * @throws Error when the process exits first or the wait times out.
   */
  async waitUntilReady(
    timeoutMs = 10_000,
  ): Promise<{host: string; port: number}> {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
      const match = /^ready host=(\S+) port=(\d+)$/m.exec(this.output());
      if (match) return {host: match[1]!, port: Number(match[2])};
      if (!this.isAlive) break;
      await sleep(POLL_INTERVAL_MS);
    }
    throw new Error(
      `${this.name} exited or timed out before it was ready: ${this.tail()}`,
    );
  }

  /** Returns the last lines of the output in one line, for error messages. */
  tail(lines = 5): string {
    return this.output().trim().split('\n').slice(-lines).join(' | ');
  }

  /** Waits until the process has exited. */
  async waitForExit(): Promise<void> {
    await this.exit;
  }

  /**
   * Signals the process and waits until it has exited. If it still runs after a
   * grace period, it gets SIGKILL.
   */
  async terminate(signal: 'SIGTERM' | 'SIGKILL' = 'SIGTERM'): Promise<void> {
    this.signal(signal);
    // A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
    this.signal('SIGCONT');
    const timer = setTimeout(
      () => this.signal('SIGKILL'),
      TERMINATION_GRACE_MS,
    );
    await this.exit;
    clearTimeout(timer);
  }
}
