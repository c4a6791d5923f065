/**
 * The gateway of wisteriarun: an HTTP router for servers that own key ranges
 * exclusively and check the grants of those ranges themselves.
 *
 * @packageDocumentation
 */
export * from './gateway.js';
export * from './settings.js';
