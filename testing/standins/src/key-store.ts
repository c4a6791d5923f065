/** Shared storage for the values of keys; it outlives the backend servers. */
import {createHash} from 'node:crypto';
import {
  mkdirSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';

/** Stores the values of keys for backend servers. */
export interface KeyStore {
  /**
   * Loads the value of a key.
   *
   * @param service - Service of the key.
   * @param key - The key.
   * @returns The saved value, or null when the key has none.
   */
  load(service: string, key: string): string | null;
  /**
   * Saves the value of a key.
   *
   * @param service - Service of the key.
   * @param key - The key.
   * @param value - The new value.
   */
  save(service: string, key: string, value: string): void;
}

/** A store in memory, for servers that run in one process. */
export class MemoryKeyStore implements KeyStore {
  private readonly values = new Map<string, string>();

  load(service: string, key: string): string | null {
    return this.values.get(`${service}/${key}`) ?? null;
  }

  save(service: string, key: string, value: string): void {
    this.values.set(`${service}/${key}`, value);
  }
}

/** A store in a directory, for servers in several processes. */
export class DirectoryKeyStore implements KeyStore {
  /**
   * @param directory - Directory of the values; created when absent.
   */
  constructor(private readonly directory: string) {
    mkdirSync(directory, {recursive: true});
  }

  load(service: string, key: string): string | null {
    try {
      return readFileSync(this.pathOf(service, key), 'utf8');
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return null;
      throw error;
    }
  }

  save(service: string, key: string, value: string): void {
    const path = this.pathOf(service, key);
    const temporaryPath = `${path}.${process.pid}`;
    // A rename is atomic, so readers never see a partly written value.
    writeFileSync(temporaryPath, value);
    try {
      renameSync(temporaryPath, path);
    } catch (error) {
      rmSync(temporaryPath, {force: true});
      throw error;
    }
  }

  private pathOf(service: string, key: string): string {
    const name = createHash('sha256').update(`${service}/${key}`).digest('hex');
    return join(this.directory, name);
  }
}

/**
 * Parses the version of a value. Callers write versions as `v<number>` and a
 * line break.
 *
 * @param value - The value.
 * @returns The version; 0 for a value without one.
 */
export function parseVersion(value: string): number {
  return Number(/^v(\d+)\n/.exec(value)?.[1] ?? 0);
}
