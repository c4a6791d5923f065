/**
 * The wisteriarun daemon.
 *
 * @packageDocumentation
 */
export * from './request/index.js';
