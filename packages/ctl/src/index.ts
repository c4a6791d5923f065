/**
 * The wisteriactl operator client.
 *
 * @packageDocumentation
 */
export {runCli} from './cli.js';
export {EXIT_CODES} from './exit-codes.js';
export type {CliEnvironment} from './environment.js';
