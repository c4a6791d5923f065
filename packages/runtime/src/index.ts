/**
 * Settings, logs, metrics, the event timeline and helpers for HTTP, timers and
 * the event loop.
 *
 * @packageDocumentation
 */
export * from './answer-framing.js';
export * from './answer-timer.js';
export * from './channel.js';
export * from './clock.js';
export * from './framing.js';
export * from './http-answer.js';
export * from './http-close.js';
export * from './logger.js';
export * from './metrics.js';
export * from './nearest-name.js';
export * from './next-socket.js';
export * from './paused-answers.js';
export * from './pending-events.js';
export * from './settings.js';
export * from './server-connector.js';
export * from './server-socket.js';
export {SECRET_PLACEHOLDER} from './settings-schema.js';
export type {Settings} from './settings-schema.js';
export * from './stall-watch.js';
export * from './timeline.js';
