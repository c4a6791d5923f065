/**
 * Stand-ins for the systems around the router (VM list, log service, metadata
 * store, backend servers and callers), for tests, benchmarks and the demo.
 * Tests of the gateway use the stand-ins in `platform/`; tests of the daemon
 * use the log service, the VM list and `BackendServer`.
 *
 * @packageDocumentation
 */
export * from './endless-answer-server.js';
export * from './event-loop-stall.js';
export * from './backend-server.js';
export * from './caller-load.js';
export * from './checker.js';
export * from './key-store.js';
export * from './log-service.js';
export * from './platform/backend-server.js';
export * from './platform/store.js';
export * from './records.js';
export * from './slow-link.js';
export * from './vm-list.js';
export {type Address, type ListenOptions} from './utils/http-endpoint.js';
export {seededRandom, type Random} from './utils/random.js';
export {sleep, uuidv7, wallMs} from './utils/time.js';
