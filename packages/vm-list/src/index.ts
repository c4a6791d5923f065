/**
 * Client of the platform VM list.
 *
 * @packageDocumentation
 */
export {};
