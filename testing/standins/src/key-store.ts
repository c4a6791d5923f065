/** Storage behind the backend servers, which outlives each of them. */
import {createHash} from 'node:crypto';
import {
  mkdirSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';

/** Where servers load a key's value from and save it to. */
export interface KeyStore {
  /** Returns the saved value, or null when the key has none. */
  load(service: string, key: string): string | null;
  /** Saves a value. */
  save(service: string, key: string, value: string): void;
}

/** Store for servers that run in one process. */
export class MemoryKeyStore implements KeyStore {
  private readonly values = new Map<string, string>();

  load(service: string, key: string): string | null {
    return this.values.get(`${service}/${key}`) ?? null;
  }

  save(service: string, key: string, value: string): void {
    this.values.set(`${service}/${key}`, value);
  }
}

/** Store in a directory that several processes share. */
export class DirectoryKeyStore implements KeyStore {
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
    const temporary = `${path}.${process.pid}`;
    // A rename keeps readers from seeing half of a value.
    writeFileSync(temporary, value);
    try {
      renameSync(temporary, path);
    } catch (error) {
      rmSync(temporary, {force: true});
      throw error;
    }
  }

  private pathOf(service: string, key: string): string {
    const name = createHash('sha256').update(`${service}/${key}`).digest('hex');
    return join(this.directory, name);
  }
}

/**
 * Version of a value that a caller wrote as `v<number>` and a line break.
 *
 * @returns The version; 0 for text without one.
 */
export function parseVersion(value: string): number {
  return Number(/^v(\d+)\n/.exec(value)?.[1] ?? 0);
}
