/** Ways to measure processor time and memory. */
import {median} from './stats.js';

const SAMPLE_COUNT = 5;

/** A slope with the points that it was fitted to. */
export interface Measurement {
  readonly name: string;
  readonly unit: string;
  /** Value at each size. */
  readonly points: readonly {readonly x: number; readonly y: number}[];
}

/**
 * Median time of a synchronous call.
 *
 * @param run - Called several times per sample.
 * @param minSampleMs - Least length of one sample.
 * @returns Microseconds for each call.
 */
export function measureTimeUs(run: () => void, minSampleMs = 15): number {
  run();
  const samples: number[] = [];
  for (let i = 0; i < SAMPLE_COUNT; i++) {
    const startMs = performance.now();
    let calls = 0;
    while (performance.now() - startMs < minSampleMs) {
      run();
      calls += 1;
    }
    samples.push(((performance.now() - startMs) * 1_000) / calls);
  }
  return median(samples);
}

/**
 * Processor time of the process during a task, user and system.
 *
 * @param task - The task.
 * @returns Microseconds.
 */
export async function measureCpuUs(
  task: () => Promise<unknown>,
): Promise<number> {
  const usageBefore = process.cpuUsage();
  await task();
  const {user, system} = process.cpuUsage(usageBefore);
  return user + system;
}

/**
 * Median of several measurements.
 *
 * @param measure - One measurement.
 * @param repeats - How often.
 * @returns The median.
 */
export async function medianOfRuns(
  measure: () => Promise<number>,
  repeats = SAMPLE_COUNT,
): Promise<number> {
  const samples: number[] = [];
  for (let i = 0; i < repeats; i++) samples.push(await measure());
  return median(samples);
}

/** Collects garbage and reads the heap with its external memory. */
export function heapBytesAfterGc(): number {
  if (!globalThis.gc) throw new Error('run with --expose-gc');
  globalThis.gc();
  globalThis.gc();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

/**
 * Memory that a value holds.
 *
 * @param build - Builds the value.
 * @returns Bytes, the median of several tries.
 */
export function measureHeapBytes(build: () => unknown): number {
  const samples: number[] = [];
  for (let i = 0; i < SAMPLE_COUNT; i++) {
    retained.length = 0;
    const bytesBefore = heapBytesAfterGc();
    retained.push(build());
    samples.push(heapBytesAfterGc() - bytesBefore);
  }
  return median(samples);
}

/** Holds the measured value, which nothing else refers to. */
const retained: unknown[] = [];
