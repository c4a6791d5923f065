/** HTTP client of the platform's VM list. */
import {ERRORS} from '@wisteriarun/core';
import type {WisteriarunError} from '@wisteriarun/core';
import {Result} from 'true-myth';
import {request} from 'undici';
import * as z from 'zod';

/** Maximum size of an answer; a larger one counts as a failed read. */
export const MAX_VM_LIST_BYTES = 8 * 1024 * 1024;
const DEFAULT_TIMEOUT_MS = 5_000;

/**
 * One VM of the platform: an `entry` VM runs the router, a `server` VM a backend
 * server. The address of an entry VM is the `host:port` of its control links; the
 * router does not use the address of a server VM. A `leaving` entry VM counts as
 * draining.
 */
export const vmEntrySchema = z.object({
  id: z.string().min(1),
  role: z.enum(['entry', 'server']),
  zone: z.string().min(1),
  address: z.string().min(1),
  state: z.enum(['live', 'leaving']),
});
export type VmEntry = z.infer<typeof vmEntrySchema>;

// The list always contains the VM that reads it, so an empty one is an error.
const vmListSchema = z.object({vms: z.array(vmEntrySchema).min(1)});

/** Source of the VM list. */
export interface VmListReader {
  /**
   * Reads the complete list once.
   *
   * @returns All VMs, or `vm-list-unavailable` when no valid list was read.
   */
  read(): Promise<Result<VmEntry[], WisteriarunError>>;
}

/** Reads the VM list over HTTP. */
export class VmListClient implements VmListReader {
  readonly #url: string;

  /**
   * @param endpoint - Base URL of the VM list.
   * @param timeoutMs - Time limit of one read.
   */
  constructor(
    endpoint: string,
    private readonly timeoutMs: number = DEFAULT_TIMEOUT_MS,
  ) {
    this.#url = `${endpoint}/vms`;
  }

  async read(): Promise<Result<VmEntry[], WisteriarunError>> {
    try {
      const signal = AbortSignal.timeout(this.timeoutMs);
      const {statusCode, body} = await request(this.#url, {signal});
      const text = await readBody(body);
      if (statusCode !== 200) return unavailableResult(`status ${statusCode}`);
      if (text === null) return unavailableResult('answer is too large');
      return parseVmList(text);
    } catch (error) {
      return unavailableResult(
        error instanceof Error ? error.message : 'unknown cause',
      );
    }
  }
}

function unavailableResult(detail: string): Result<never, WisteriarunError> {
  return Result.err(ERRORS.vmListUnavailable(detail));
}

/** Reads a body; null when it exceeds `MAX_VM_LIST_BYTES`. */
async function readBody(body: AsyncIterable<Buffer>): Promise<string | null> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of body) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_VM_LIST_BYTES) return null;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function parseVmList(text: string): Result<VmEntry[], WisteriarunError> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return unavailableResult('answer is not JSON');
  }
  const parsed = vmListSchema.safeParse(json);
  if (!parsed.success) {
    const path = parsed.error.issues[0]?.path.join('.') ?? '';
    return unavailableResult(`malformed answer at "${path}"`);
  }
  const {vms} = parsed.data;
  if (new Set(vms.map(vm => vm.id)).size !== vms.length) {
    return unavailableResult('an id is listed twice');
  }
  return Result.ok(vms);
}
