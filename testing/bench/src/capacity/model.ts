/** Formulas of the capacity estimate in docs/CAPACITY.md. */

/** Resources that one VM may spend on control messages and state. */
export interface ControlBudget {
  /** Processor time in microseconds per second. */
  readonly cpuUs: number;
  readonly bytesPerSecond: number;
  readonly memoryBytes: number;
}

/** Control budget of each VM (docs/design.md, section 1.6). */
export const CONTROL_BUDGET: ControlBudget = {
  cpuUs: 33_000,
  bytesPerSecond: 15_000,
  memoryBytes: 128 * 1_000_000,
};

/** Size of a deployment. */
export interface DeploymentSize {
  readonly vms: number;
  readonly zones: number;
  readonly shards: number;
  /** Backend servers for each entry VM. */
  readonly serversPerEntry: number;
}

/**
 * Target size (docs/design.md, section 1.6), with the ratio of the current
 * deployment, 36 servers to 12 entry VMs.
 */
export const TARGET_SIZE: DeploymentSize = {
  vms: 2_700,
  zones: 11,
  shards: 65_536,
  serversPerEntry: 3,
};

/**
 * Divides the VMs of a deployment into entry VMs and servers.
 *
 * @param size - Size of the deployment.
 * @returns Numbers of entry VMs and servers, in total and per zone.
 */
export function divideVms({vms, zones, serversPerEntry}: DeploymentSize) {
  const entries = Math.round(vms / (1 + serversPerEntry));
  const servers = vms - entries;
  return {
    entries,
    servers,
    entriesPerZone: entries / zones,
    serversPerZone: servers / zones,
  };
}

/** Cost of a recurring message. */
export interface MessageCost {
  readonly sizeBytes: number;
  /** Processor time of sending and receiving together, in microseconds. */
  readonly cpuUs: number;
  /** Messages that one VM sends to each peer. */
  readonly perSecond: number;
}

/**
 * Computes the load of one VM in a full mesh. The VM sends to every peer and
 * receives from every peer, so the bytes count twice. The processor time counts
 * once, because the cost of a message already covers both ends.
 *
 * @param vmCount - Number of VMs in the mesh.
 * @param cost - Cost and rate of the message.
 * @returns Messages, bytes and processor time in microseconds, per second.
 */
export function meshLoad(vmCount: number, cost: MessageCost) {
  const messagesPerDirection = (vmCount - 1) * cost.perSecond;
  return {
    messagesPerSecond: messagesPerDirection * 2,
    bytesPerSecond: messagesPerDirection * 2 * cost.sizeBytes,
    cpuUs: messagesPerDirection * cost.cpuUs,
  };
}

/**
 * Computes the size of the largest full mesh within a budget.
 *
 * @param cost - Cost and rate of the message.
 * @param budget - Control budget of one VM.
 * @returns Largest number of VMs within the budget for bytes and within that for
 * processor time.
 */
export function meshLimits(cost: MessageCost, budget: ControlBudget) {
  const perPeer = meshLoad(2, cost);
  return {
    byBytes: 1 + Math.floor(budget.bytesPerSecond / perPeer.bytesPerSecond),
    byCpu: 1 + Math.floor(budget.cpuUs / perPeer.cpuUs),
  };
}

/**
 * Computes the average data rate of records that every reader receives in full.
 *
 * @param recordBytes - Size of one record.
 * @param recordsPerDay - Number of records per day.
 * @returns Bytes per second.
 */
export function averageBytesPerSecond(
  recordBytes: number,
  recordsPerDay: number,
): number {
  return (recordBytes * recordsPerDay) / 86_400;
}

/**
 * Computes the size at which a linearly growing value reaches a limit.
 *
 * @param limit - Largest permitted value.
 * @param growthPerUnit - Growth of the value per unit of size.
 * @param valueAtZero - Value at size 0.
 * @returns Largest integer size within the limit.
 */
export function sizeAtLimit(
  limit: number,
  growthPerUnit: number,
  valueAtZero = 0,
): number {
  return Math.floor((limit - valueAtZero) / growthPerUnit);
}
