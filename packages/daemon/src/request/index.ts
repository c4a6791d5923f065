/** Request path of the daemon: entry and dispatcher roles. */
export {
  DispatcherHost,
  type DispatcherHostOptions,
  type Handover,
} from './dispatcher-host.js';
export {EntryHandler, type EntryHandlerOptions} from './entry-handler.js';
export type * from './types.js';
