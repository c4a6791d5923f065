/** Start, shutdown and options of stand-ins that run as processes. */
import type {Address} from './http-endpoint.js';

/** A stand-in that listens on an address. */
export interface Standin {
  /**
   * Starts to listen.
   *
   * @returns The address in use.
   */
  start(): Promise<Address>;
  /** Stops listening. */
  close(): Promise<void>;
}

/**
 * Starts a stand-in, prints its address on one line for the parent process, and
 * stops it and exits on SIGTERM or SIGINT.
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

/**
 * Parses a numeric command-line option.
 *
 * @param text - Text of the option.
 * @returns The number.
 * @throws TypeError when the text is not a finite number.
 */
export function parseNumber(text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value)) throw new TypeError(`not a number: ${text}`);
  return value;
}
