/** A stand-in in a process of its own, so that its time is not counted. */
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
   * Starts a stand-in.
   *
   * @param name - `backend-server` or `log-service`.
   * @param args - Further arguments.
   * @returns The process once it listens.
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

  /** Ends the process. */
  async close(): Promise<void> {
    const exited = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exited;
  }
}
