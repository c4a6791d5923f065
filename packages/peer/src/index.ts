/**
 * Control links and request relay between entry VMs.
 *
 * @packageDocumentation
 */
export * from './link/index.js';
export * from './relay/index.js';
