/** Rules for requests: queueing, limits, retries, attempts and crashes. */
export * from './attempts.js';
export * from './crash-guard.js';
export * from './dispatch-queue.js';
export * from './headers.js';
export * from './idempotency.js';
export * from './retry-budget.js';
export * from './server-load-meter.js';
export * from './stop-schedule.js';
