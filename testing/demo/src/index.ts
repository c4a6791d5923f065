/**
 * Harness that runs a deployment in separate processes, and the demo.
 *
 * @packageDocumentation
 */
export * from './bundle.js';
export * from './cluster.js';
export {PortBlock} from './ports.js';
