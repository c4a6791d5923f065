/** Fold of the log, bundles, snapshots and routing. */
export {};
