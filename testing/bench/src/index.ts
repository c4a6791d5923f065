/**
 * Measurements.
 *
 * @packageDocumentation
 */
export {};
