/** Reads processor time and memory of processes from `/proc`. */
import {readFileSync} from 'node:fs';

/** Clock ticks (USER_HZ) per second, the unit of times in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;
// Indexes of the fields of `/proc/PID/stat` after the command name.
const UTIME_INDEX = 11;
const STIME_INDEX = 12;

/**
 * Reads the processor time that a process has used.
 *
 * @param pid - Process id.
 * @returns User and system time in milliseconds.
 * @throws Error if the process does not exist.
 */
export function cpuTimeMs(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[UTIME_INDEX]) + Number(fields[STIME_INDEX]);
  return (ticks * 1_000) / TICKS_PER_SECOND;
}

/**
 * Reads the resident memory of a process.
 *
 * @param pid - Process id.
 * @returns Resident memory in bytes, or 0 if the process has none.
 * @throws Error if the process does not exist.
 */
export function residentBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? 0) * 1024;
}
