/** Re-exports the schemas and types that all packages share. */
export * from './bundle.js';
export * from './errors.js';
export * from './events.js';
export * from './lease.js';
export * from './outcome.js';
export * from './peer-messages.js';
export * from './records.js';
export * from './state.js';
export * from './timing.js';
export * from './gateway.js';
export * from './gateway-bundle.js';
export * from './gateway-ports.js';
export * from './gateway-state.js';
