/**
 * Log lines about many targets at once, limited in number.
 * @packageDocumentation
 */
import type { LogFields } from "../telemetry/index.js";

/** At most this many lines are written at once; a pool has fewer targets. */
export const mostLinesAtOnce = 400;

/**
 * Limits the lines that are written at once.
 * @param lines - the fields of each line
 * @returns the first lines, followed by one that tells how many are left out, if any are
 */
export function limitLines(lines: readonly LogFields[]): readonly LogFields[] {
  if (lines.length <= mostLinesAtOnce) return lines;
  return [...lines.slice(0, mostLinesAtOnce), { leftOut: lines.length - mostLinesAtOnce }];
}
