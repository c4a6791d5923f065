/** Queues, limits, retries, attempts and crash records. */
export {};
