/**
 * HTTP server and client of the operator port.
 *
 * @packageDocumentation
 */
export {OperatorClient} from './client.js';
export type {OperatorClientOptions} from './client.js';
export {OperatorServer} from './server.js';
export type {OperatorServerOptions, OperatorSource} from './server.js';
export * from './views.js';
