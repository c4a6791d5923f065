/** Formats text tables for terminals. */

/** Value of a table cell; null is shown as a hyphen. */
export type Cell = string | number | boolean | null;

/**
 * Escapes control characters, which a terminal could interpret as commands.
 *
 * @param text - Text from a server.
 * @returns The text without control characters, on one line.
 */
export function escapeText(text: string): string {
  return text.replace(/[\p{Cc}\p{Cf}\u2028\u2029]/gu, character => {
    const code = character.codePointAt(0) ?? 0;
    return `\\u{${code.toString(16)}}`;
  });
}

/**
 * Formats rows as columns that are aligned under their headings.
 *
 * @param headings - One heading for each column.
 * @param rows - Cells in the order of the headings.
 * @returns Lines, each with a line break.
 */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly Cell[])[],
): string {
  const lines = [
    [...headings],
    ...rows.map(row =>
      row.map(cell => (cell === null ? '-' : escapeText(String(cell)))),
    ),
  ];
  const widths = headings.map(() => 0);
  for (const line of lines) {
    line.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return lines
    .map(line =>
      line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  '),
    )
    .map(line => line.trimEnd() + '\n')
    .join('');
}

/**
 * Formats a wall time.
 *
 * @param timeMs - Milliseconds since the Unix epoch, or null.
 * @returns The time in UTC as ISO 8601, or null.
 */
export function formatTime(timeMs: number | null): string | null {
  if (timeMs === null) return null;
  const date = new Date(timeMs);
  return Number.isNaN(date.getTime()) ? String(timeMs) : date.toISOString();
}
