/** Helpers without knowledge of the domain. */
export * from './hasher.js';
export * from './key-range.js';
