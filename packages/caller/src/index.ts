/**
 * HTTP front end for callers.
 *
 * @packageDocumentation
 */
export {CallerServer, type CallerServerOptions} from './server.js';
export type {CallerAnswer, CallerHandler, CallerRequest} from './types.js';
