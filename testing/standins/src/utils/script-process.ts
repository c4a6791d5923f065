/** Starts scripts in processes of their own. */
import {spawn} from 'node:child_process';
import type {ChildProcessByStdio} from 'node:child_process';
import {once} from 'node:events';
import type {Readable} from 'node:stream';

/** A process whose standard output is piped to its parent. */
export type ScriptProcess = ChildProcessByStdio<null, Readable, null>;

/**
 * Runs a script in a new Node process and waits until it is ready.
 *
 * @param script - JavaScript that prints something when it is ready.
 * @returns The process and its first output, trimmed.
 */
export async function startScript(
  script: string,
): Promise<{child: ScriptProcess; firstOutput: string}> {
  const child = spawn(process.execPath, ['-e', script], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [firstOutput] = (await once(child.stdout, 'data')) as [Buffer];
  return {child, firstOutput: firstOutput.toString('utf8').trim()};
}
