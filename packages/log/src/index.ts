/**
 * Client, appender and follower of the append-only log service, and recovery of
 * the router state from the log.
 *
 * @packageDocumentation
 */
export {
  LogAppender,
  type AppendRequest,
  type LogAppenderOptions,
} from './log-appender.js';
export {
  LogClient,
  type AppendError,
  type AppendOptions,
  type LogBatch,
  type LogClientOptions,
  type ReadError,
  type ReadOptions,
} from './log-client.js';
export {
  LogFollower,
  type FollowerStatus,
  type LogFollowerOptions,
} from './log-follower.js';
export {recover, type RecoverOptions, type Recovery} from './recover.js';
export {
  LOG_BACKOFF,
  PROCESS_TIMING,
  type Backoff,
  type Timing,
} from './utils/timing.js';
