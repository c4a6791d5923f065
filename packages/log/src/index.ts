/**
 * Client of the append-only log service.
 *
 * @packageDocumentation
 */
export {};
