/**
 * Formats tables: aligned columns for a terminal, tab-separated lines for a pipe.
 * @packageDocumentation
 */

/** A row of a table: one string for each column. */
export type TableRow = readonly string[];

/**
 * Formats rows under a heading. Output to a terminal has aligned columns; output to a pipe has tab-separated rows and
 * no heading, so that scripts can split them.
 * @param heading - column names, left out of the output to a pipe
 * @param rows - cells in the order of the heading
 * @param isTerminal - whether the output goes to a terminal
 * @returns the lines, without line ends
 */
export function formatTable(heading: TableRow, rows: readonly TableRow[], isTerminal: boolean): string[] {
  if (!isTerminal) return rows.map((row) => row.join("\t"));
  const widths = heading.map((name, column) =>
    Math.max(name.length, ...rows.map((row) => (row[column] ?? "").length)),
  );
  return [heading, ...rows].map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join("  ")
      .trimEnd(),
  );
}
