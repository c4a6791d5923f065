/** Dispatcher of each server, as published by the zones' assigners. */
import type {DispatchRow, DispatchTable} from '@wisteriarun/core';

type TableVersion = Pick<DispatchTable, 'term' | 'version'>;

/** A row with the zone and term of the table that it came from. */
export interface DirectoryRow extends DispatchRow {
  readonly zone: string;
  readonly term: number;
}

function isNewer(
  table: TableVersion,
  known: TableVersion | undefined,
): boolean {
  if (!known) return true;
  if (table.term !== known.term) return table.term > known.term;
  return table.version > known.version;
}

/**
 * Maps each server to the entry VM that dispatches for it. A row is kept until
 * a newer table lists the server again: the first table of a new term lists
 * only servers that have answered so far. An outdated row does no harm, because
 * requests under its old fence are refused.
 */
export class DispatchDirectory {
  private readonly tableVersions = new Map<string, TableVersion>();
  private readonly rows = new Map<string, DirectoryRow>();

  /**
   * Stores a table if it is newer than the last one stored for its zone.
   *
   * @param table - Table from an assigner.
   * @returns True when the table was stored.
   */
  update(table: DispatchTable): boolean {
    const {zone, term, version} = table;
    if (!isNewer(table, this.tableVersions.get(zone))) return false;
    this.tableVersions.set(zone, {term, version});
    for (const row of table.rows) {
      this.rows.set(row.server, {...row, zone, term});
    }
    return true;
  }

  /**
   * Removes the rows of servers that are no longer in the bundle.
   *
   * @param isListed - Whether the bundle in force lists a server.
   */
  prune(isListed: (server: string) => boolean): void {
    for (const server of this.rows.keys()) {
      if (!isListed(server)) this.rows.delete(server);
    }
  }

  /**
   * Finds the dispatcher of a server.
   *
   * @param server - Server id.
   * @returns The row, or null when no table names the server.
   */
  lookup(server: string): DirectoryRow | null {
    return this.rows.get(server) ?? null;
  }

  /** All rows, in no particular order. */
  all(): Iterable<DirectoryRow> {
    return this.rows.values();
  }

  /** One table per zone with all its known rows, for a VM that has joined. */
  *tables(): Generator<DispatchTable> {
    for (const [zone, tableVersion] of this.tableVersions) {
      const rows = [...this.rows.values()]
        .filter(row => row.zone === zone)
        .map(({server, dispatcher, fence, replaces}) => ({
          server,
          dispatcher,
          fence,
          replaces,
        }));
      yield {kind: 'dispatch-table', zone, ...tableVersion, rows};
    }
  }
}
