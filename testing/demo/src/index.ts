/**
 * End-to-end demo.
 *
 * @packageDocumentation
 */
export {};
