/**
 * The gateway: wisteriarun in front of servers that check grants of key ranges.
 *
 * @packageDocumentation
 */
export * from './gateway.js';
export * from './settings.js';
