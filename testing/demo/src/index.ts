/**
 * Test harness that runs a deployment in separate processes; the demo uses it.
 *
 * @packageDocumentation
 */
export * from './bundle.js';
export * from './cluster.js';
export {PortBlock} from './ports.js';
