/**
 * Decision logic of wisteriarun. It performs no I/O and reads no clock: callers
 * pass in the time and the results of calls. It draws random numbers only for
 * the initial credits of `Admission` and for the key pairs of `generateSigner`.
 *
 * Two routers use it:
 *
 * - The daemon runs on entry VMs and divides text keys by their hash into
 *   shards (`core/state` and `core/ownership`). In each zone, one entry VM is
 *   elected as the assigner, which chooses the owners of the shards and appends
 *   its decisions to a log; every entry VM folds the log into the same state.
 *   All requests to a server pass through one entry VM, its dispatcher.
 * - The gateway has integer keys, which one VM, elected as the assigner, gives
 *   to servers in ranges (`core/range`). Every VM sends requests to servers
 *   itself.
 *
 * `core/request` holds what an entry VM needs to handle requests: queues, retry
 * budgets, load measurement, and records of attempts and crashes.
 *
 * In the daemon, the assigner grants a server the right to run requests for a
 * shard. A lease carries the grants of a server and the time at which they
 * expire. A server that does not check grants has no lease; instead, its
 * dispatcher gets a permission, which also expires, to send requests for the
 * shards.
 *
 * A term is the period in office of an assigner, identified by the offset of
 * the record that elected it. A fence is a fencing token: a server refuses calls
 * with an older fence than it has accepted. The epoch of a shard is the offset
 * of the record that last changed the shard's owner or keys.
 *
 * @packageDocumentation
 */
export * from './core/ownership/index.js';
export * from './core/range/index.js';
export * from './core/request/index.js';
export * from './core/state/index.js';
export * from './types/index.js';
export * from './utils/index.js';
