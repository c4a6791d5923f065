/** Request path of the daemon: entry and dispatcher roles. */
export {DispatcherHost, type DispatcherHostOptions} from './dispatcher-host.js';
export {EntryHandler, type EntryHandlerOptions} from './entry-handler.js';
export type {Handover, OutgoingHandover, ShardMove} from './shard-handovers.js';
export type * from './types.js';
