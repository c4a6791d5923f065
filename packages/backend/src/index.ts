/**
 * Client of backend servers.
 *
 * @packageDocumentation
 */
export {};
