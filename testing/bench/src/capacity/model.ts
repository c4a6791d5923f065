/** Arithmetic of docs/CAPACITY.md: sizes, formulas and limits. */

/** Control budget of one node. */
export interface ControlBudget {
  /** Processor time in microseconds per second. */
  readonly cpuUs: number;
  readonly bytesPerSecond: number;
  readonly memoryBytes: number;
}

/** Budget of section 1.6 of the design. */
export const CONTROL_BUDGET: ControlBudget = {
  cpuUs: 33_000,
  bytesPerSecond: 15_000,
  memoryBytes: 128 * 1_000_000,
};

/** Size of a deployment. */
export interface DeploymentSize {
  readonly nodes: number;
  readonly zones: number;
  readonly shards: number;
  /** Backend servers for each entry VM. */
  readonly serversPerEntry: number;
}

/** Size of section 1.6, with today's ratio of 36 servers to 12 entry VMs. */
export const TARGET_SIZE: DeploymentSize = {
  nodes: 2_700,
  zones: 11,
  shards: 65_536,
  serversPerEntry: 3,
};

/**
 * Divides the nodes of a deployment.
 *
 * @param size - The deployment.
 * @returns Numbers of entry VMs and servers, in all and in each zone.
 */
export function divideNodes({nodes, zones, serversPerEntry}: DeploymentSize) {
  const entries = Math.round(nodes / (1 + serversPerEntry));
  const servers = nodes - entries;
  return {
    entries,
    servers,
    entriesPerZone: entries / zones,
    serversPerZone: servers / zones,
  };
}

/** Cost of one message that recurs. */
export interface MessageCost {
  readonly sizeBytes: number;
  /** Sending and receiving together, in microseconds. */
  readonly cpuUs: number;
  readonly perSecond: number;
}

/**
 * Load of one VM in a full mesh. It sends to every peer and receives from
 * every peer, so the bytes count twice, and sending to one and receiving from
 * one costs what one message costs both ends.
 *
 * @param vms - VMs in the mesh.
 * @param cost - The message.
 * @returns Load per second.
 */
export function meshLoad(vms: number, cost: MessageCost) {
  const messagesPerDirection = (vms - 1) * cost.perSecond;
  return {
    messagesPerSecond: messagesPerDirection * 2,
    bytesPerSecond: messagesPerDirection * 2 * cost.sizeBytes,
    cpuUs: messagesPerDirection * cost.cpuUs,
  };
}

/**
 * Largest full mesh within a budget.
 *
 * @param cost - The message.
 * @param budget - Budget of one VM.
 * @returns Numbers of VMs at which bytes and processor time are used up.
 */
export function meshLimits(cost: MessageCost, budget: ControlBudget) {
  const perPeer = meshLoad(2, cost);
  return {
    byBytes: 1 + Math.floor(budget.bytesPerSecond / perPeer.bytesPerSecond),
    byCpu: 1 + Math.floor(budget.cpuUs / perPeer.cpuUs),
  };
}

/**
 * Bytes per second of records that every reader receives in full.
 *
 * @param recordBytes - Size of one record.
 * @param recordsPerDay - Records in a day.
 * @returns Bytes per second.
 */
export function averageBytesPerSecond(
  recordBytes: number,
  recordsPerDay: number,
): number {
  return (recordBytes * recordsPerDay) / 86_400;
}

/**
 * Size at which something that grows with it reaches a limit.
 *
 * @param limit - The limit.
 * @param growthPerUnit - Growth per unit of size.
 * @param valueAtZero - Value at size 0.
 * @returns Largest whole size within the limit.
 */
export function sizeAtLimit(
  limit: number,
  growthPerUnit: number,
  valueAtZero = 0,
): number {
  return Math.floor((limit - valueAtZero) / growthPerUnit);
}
