/**
 * HTTP client for backend servers.
 *
 * @packageDocumentation
 */
export {BackendClient} from './client.js';
export type {BackendRequest, BackendResult, ServerEndpoint} from './types.js';
