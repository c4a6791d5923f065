/**
 * Client and watcher of the platform's VM list.
 *
 * @packageDocumentation
 */
export {MAX_VM_LIST_BYTES, vmEntrySchema, VmListClient} from './client.js';
export type {VmEntry, VmListReader} from './client.js';
export {VmListWatcher} from './watcher.js';
export type {VmListChange, VmListWatcherOptions} from './watcher.js';
