/**
 * Runs a stand-in in a process of its own, so that its processor time is not
 * part of the measurement.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

const READY_TIMEOUT_MS = 10_000;

/** A running stand-in. */
export class StandinProcess {
  private constructor(
    private readonly child: ChildProcess,
    readonly host: string,
    readonly port: number,
  ) {}

  /**
   * Starts a stand-in and waits until it listens.
   *
   * @param name - `backend-server` or `log-service`.
   * @param args - Command line arguments of the stand-in.
   * @returns The running process.
   * @throws AbortError if the stand-in does not listen within
   *     `READY_TIMEOUT_MS`.
   */
  static async start(
    name: string,
    args: readonly string[] = [],
  ): Promise<StandinProcess> {
    const mainPath = fileURLToPath(
      new URL(`../../../standins/dist/${name}-main.js`, import.meta.url),
    );
    const child = spawn(process.execPath, [mainPath, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    process.once('exit', () => child.kill('SIGKILL'));
    const signal = AbortSignal.timeout(READY_TIMEOUT_MS);
    let output = '';
    for (;;) {
      const [chunk] = (await once(child.stdout, 'data', {signal})) as [Buffer];
      output += chunk.toString();
      const match = /ready host=(\S+) port=(\d+)/.exec(output);
      if (!match) continue;
      return new StandinProcess(child, match[1]!, Number(match[2]));
    }
  }

  /** Kills the process and waits until it has exited. */
  async close(): Promise<void> {
    const exited = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exited;
  }
}
