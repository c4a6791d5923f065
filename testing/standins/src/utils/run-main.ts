/** Life of a stand-in that runs as a process. */
import type {Address} from './http-endpoint.js';

/** A stand-in with an address. */
export interface Standin {
  start(): Promise<Address>;
  close(): Promise<void>;
}

/**
 * Starts a stand-in, prints its address on one line and ends it on SIGTERM.
 *
 * @param standin - The stand-in to run.
 */
export async function runMain(standin: Standin): Promise<void> {
  const stop = () => {
    void standin.close().then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  const {host, port} = await standin.start();
  process.stdout.write(`ready host=${host} port=${port}\n`);
}

/** Parses a numeric command line option. */
export function parseNumber(text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value)) throw new TypeError(`not a number: ${text}`);
  return value;
}
