/** Election, leases, placement and hand-over of shards. */
export {};
