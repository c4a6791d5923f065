/**
 * HTTP server that accepts callers' requests.
 *
 * @packageDocumentation
 */
export {CallerServer, type CallerServerOptions} from './server.js';
export type {CallerAnswer, CallerHandler, CallerRequest} from './types.js';
