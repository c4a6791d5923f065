/**
 * Decision logic of wisteriarun. It performs no I/O and reads no clock: callers
 * pass in the time and the results of calls. It draws random numbers only for
 * the initial credits of `Admission` and for the key pairs of `generateSigner`.
 *
 * @packageDocumentation
 */
export * from './core/ownership/index.js';
export * from './core/range/index.js';
export * from './core/request/index.js';
export * from './core/state/index.js';
export * from './types/index.js';
export * from './utils/index.js';
