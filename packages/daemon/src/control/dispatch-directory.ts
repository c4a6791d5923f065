/** Latest dispatch table of every zone, as received from its assigner. */
import type {DispatchRow, DispatchTable} from '@wisteriarun/core';

/** Orders tables of one zone by term, then by version. */
function isNewer(table: DispatchTable, known: DispatchTable): boolean {
  if (table.term !== known.term) return table.term > known.term;
  return table.version > known.version;
}

/** Tells which entry VM dispatches for a server. */
export class DispatchDirectory {
  private readonly tables = new Map<string, DispatchTable>();
  private readonly rows = new Map<string, DispatchRow>();

  /**
   * Stores a table if it is newer than the known one of its zone.
   *
   * @param table - Table from an assigner.
   * @returns True when the table was stored.
   */
  update(table: DispatchTable): boolean {
    const known = this.tables.get(table.zone);
    if (known && !isNewer(table, known)) return false;
    for (const row of known?.rows ?? []) this.rows.delete(row.server);
    for (const row of table.rows) this.rows.set(row.server, row);
    this.tables.set(table.zone, table);
    return true;
  }

  /**
   * Finds the dispatcher of a server.
   *
   * @param server - Server id.
   * @returns The row, or null when no table names the server.
   */
  lookup(server: string): DispatchRow | null {
    return this.rows.get(server) ?? null;
  }

  /** All rows, in no particular order. */
  all(): Iterable<DispatchRow> {
    return this.rows.values();
  }

  /** All known tables, one for each zone. */
  known(): Iterable<DispatchTable> {
    return this.tables.values();
  }
}
