/**
 * Pure decision logic of wisteriarun: no I/O, no clock and no random source of
 * its own.
 *
 * @packageDocumentation
 */
export * from './core/ownership/index.js';
export * from './core/range/index.js';
export * from './core/request/index.js';
export * from './core/state/index.js';
export * from './types/index.js';
export * from './utils/index.js';
