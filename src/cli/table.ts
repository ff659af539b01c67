/**
 * Tables for a terminal, plain lines for a pipe.
 * @packageDocumentation
 */

/** A row of a table: one text for each column. */
export type TableRow = readonly string[];

/**
 * Formats rows under a heading. A terminal gets aligned columns, a pipe gets the rows with tabs and no heading,
 * so that scripts can cut them.
 * @param heading - names of the columns
 * @param rows - the rows
 * @param isTerminal - whether a person reads the output
 * @returns the lines
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
