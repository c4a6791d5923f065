/** What tests of a held up event loop need: an outside that goes on. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';

/**
 * Keeps the event loop of this process busy.
 *
 * @param ms - Milliseconds.
 */
export function holdUpLoop(ms: number): void {
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < ms);
}

/**
 * Keeps the event loop busy so that timers run next, before pending reads.
 *
 * @param ms - Milliseconds.
 */
export async function holdUpBeforeTimers(ms: number): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
  holdUpLoop(ms);
}

/** A server in a process of its own, which answers every request with 200. */
export class AnsweringProcess {
  private constructor(
    private readonly child: ChildProcess,
    /** Address as host:port. */
    readonly address: string,
  ) {}

  /**
   * Starts the process.
   *
   * @param answerMs - Time from a request to its answer.
   * @param body - Body of all answers.
   * @returns The process, which listens.
   */
  static async start(answerMs: number, body = ''): Promise<AnsweringProcess> {
    const script = `
      const server = require('node:http').createServer((request, response) => {
        request.resume();
        const id = request.headers['request-id'];
        if (id) response.setHeader('request-id', id);
        response.setHeader('response-signature', 'x');
        setTimeout(() => response.end(${JSON.stringify(body)}), ${answerMs});
      });
      server.listen(0, '127.0.0.1', () =>
        process.stdout.write(String(server.address().port)));
    `;
    const child = spawn(process.execPath, ['-e', script], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const [port] = await once(child.stdout, 'data');
    return new AnsweringProcess(child, `127.0.0.1:${port}`);
  }

  /** Ends the process. */
  close(): void {
    this.child.kill();
  }
}
