/**
 * The wisteriarun daemon.
 *
 * @packageDocumentation
 */
export {Daemon, PortError} from './daemon.js';
export * from './request/index.js';
