/** Merges the events of several processes into one timeline. */
import type {TimelineEvent} from '@wisteriarun/core';

/** Conditions on events; an event must meet all that are set. */
export interface EventFilter {
  readonly key?: string;
  readonly server?: string;
  /** Earliest wall time. */
  readonly fromMs?: number;
  /** Latest wall time. */
  readonly toMs?: number;
}

/** Event fields that hold a server id. */
const SERVER_FIELDS = ['server', 'from', 'to'];

function compareWallTimes(left: TimelineEvent, right: TimelineEvent): number {
  return (
    left.wallTimeMs - right.wallTimeMs ||
    (left.process < right.process
      ? -1
      : Number(left.process > right.process)) ||
    left.seq - right.seq
  );
}

/**
 * Returns whether an event meets a filter.
 *
 * @param event - Event of any process.
 * @param filter - Conditions.
 * @returns True when all conditions hold.
 */
export function matchesFilter(
  event: TimelineEvent,
  filter: EventFilter,
): boolean {
  const {key, server, fromMs = -Infinity, toMs = Infinity} = filter;
  return (
    event.wallTimeMs >= fromMs &&
    event.wallTimeMs <= toMs &&
    (key === undefined || event.fields.key === key) &&
    (server === undefined ||
      SERVER_FIELDS.some(name => event.fields[name] === server))
  );
}

/**
 * Orders events by log offset, and events without an offset by wall time.
 * A single comparison function that uses the offset only when both events have
 * one is not transitive when clocks differ. The events with an offset and
 * those without are therefore sorted separately, then merged by wall time.
 *
 * @param events - Events of all processes.
 * @returns The events in order.
 */
export function mergeEvents(events: readonly TimelineEvent[]): TimelineEvent[] {
  const withOffset = events
    .filter(event => event.offset !== null)
    .sort(
      (a, b) => (a.offset ?? 0) - (b.offset ?? 0) || compareWallTimes(a, b),
    );
  const withoutOffset = events
    .filter(event => event.offset === null)
    .sort(compareWallTimes);
  const merged: TimelineEvent[] = [];
  let next = 0;
  for (const event of withOffset) {
    for (; next < withoutOffset.length; next++) {
      const other = withoutOffset[next];
      if (other === undefined || other.wallTimeMs > event.wallTimeMs) break;
      merged.push(other);
    }
    merged.push(event);
  }
  return [...merged, ...withoutOffset.slice(next)];
}
