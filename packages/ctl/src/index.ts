/**
 * The wisteriactl operator client.
 *
 * @packageDocumentation
 */
export {};
