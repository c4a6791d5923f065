/** Decides how long a VM waits before it tries to be elected as the assigner. */

/** Resources of a VM that the work of the assigner needs. */
export interface VmStrength {
  /** Processor speed in cores. */
  readonly cpuCores: number;
  /** Bandwidth of its network link; infinite when unknown. */
  readonly linkMbps: number;
}

/** Cores from which a VM counts as strong. */
const STRONG_CPU_CORES = 1;
/** Bandwidth from which a VM counts as strong: the table goes to all VMs. */
const STRONG_LINK_MBPS = 100;
/** Delay of the weakest VM; a strong one waits only for the random part. */
const MAX_WEAKNESS_DELAY_MS = 200;
/** Longest random part, so that equal VMs do not append at the same time. */
const MAX_RANDOM_DELAY_MS = 50;

/** Longest delay of any VM. */
export const MAX_ELECTION_DELAY_MS =
  MAX_WEAKNESS_DELAY_MS + MAX_RANDOM_DELAY_MS;

/**
 * Computes the delay of an election. Strong VMs go first, because the assigner
 * renews the grants of all servers and sends every change of the table to every
 * VM; a weak assigner falls behind, and the other VMs take its silence for a loss.
 *
 * @param strength - Resources of the VM.
 * @param random - Random number in [0, 1).
 * @returns Milliseconds, less than `MAX_ELECTION_DELAY_MS`.
 */
export function electionDelayMs(
  {cpuCores, linkMbps}: VmStrength,
  random: number,
): number {
  const strength = Math.min(
    1,
    cpuCores / STRONG_CPU_CORES,
    linkMbps / STRONG_LINK_MBPS,
  );
  return (1 - strength) * MAX_WEAKNESS_DELAY_MS + random * MAX_RANDOM_DELAY_MS;
}
