/**
 * Operator port and client.
 *
 * @packageDocumentation
 */
export {};
