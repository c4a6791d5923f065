/** Hashing of keys and operations on key ranges. */
export * from './hasher.js';
export * from './key-range.js';
