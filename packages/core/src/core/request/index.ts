/** Queues, limits, retries, attempts and crash records. */
export * from './attempts.js';
export * from './crash-guard.js';
export * from './dispatch-queue.js';
export * from './headers.js';
export * from './idempotency.js';
export * from './retry-budget.js';
export * from './service-time.js';
