/**
 * Settings, logs, metrics and the event time line.
 *
 * @packageDocumentation
 */
export {};
