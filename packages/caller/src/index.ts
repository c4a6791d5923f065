/**
 * HTTP front end for callers.
 *
 * @packageDocumentation
 */
export {};
