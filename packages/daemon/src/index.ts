/**
 * The wisteriarun daemon.
 *
 * @packageDocumentation
 */
export {};
