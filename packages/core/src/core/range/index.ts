/** Routing, key ranges and server load of the gateway. */
export * from './admission.js';
export * from './bundle-delta.js';
export * from './election-delay.js';
export * from './hold-ledger.js';
export * from './key-load-map.js';
export * from './range-planner.js';
export * from './range-table.js';
export * from './remote-clock.js';
export * from './route-index.js';
export * from './server-load-view.js';
export * from './server-pause.js';
export * from './server-registry.js';
export * from './server-speeds.js';
export * from './weighted-rotation.js';
