/** Measures run time, processor time and heap memory. */
import {median} from './stats.js';

const SAMPLE_COUNT = 5;

/** A cost that was measured at several sizes. */
export interface Measurement {
  readonly name: string;
  readonly unit: string;
  /** Cost `y` at each size `x`. */
  readonly points: readonly {readonly x: number; readonly y: number}[];
}

/**
 * Measures the run time of a synchronous function.
 *
 * @param run - Function that is called repeatedly for each sample.
 * @param minSampleMs - Minimum duration of one sample.
 * @returns Microseconds per call, the median of several samples.
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
 * Measures the processor time that this process uses during a task.
 *
 * @param task - Task to run.
 * @returns User and system time in microseconds.
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
 * Repeats a measurement and takes the median.
 *
 * @param measure - Takes one measurement.
 * @param repeats - Number of measurements.
 * @returns Median of the measurements.
 */
export async function medianOfRuns(
  measure: () => Promise<number>,
  repeats = SAMPLE_COUNT,
): Promise<number> {
  const samples: number[] = [];
  for (let i = 0; i < repeats; i++) samples.push(await measure());
  return median(samples);
}

/**
 * Collects garbage and reads the size of the heap.
 *
 * @returns Used heap and external memory in bytes.
 * @throws Error if Node.js runs without `--expose-gc`.
 */
export function heapBytesAfterGc(): number {
  if (!globalThis.gc)
    throw new Error('heap measurements require the Node.js flag --expose-gc');
  globalThis.gc();
  globalThis.gc();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

/**
 * Measures the heap memory that a value retains.
 *
 * @param build - Builds the value.
 * @returns Bytes, the median of several samples.
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

/** Keeps the measured value reachable during the garbage collection. */
const retained: unknown[] = [];
