/**
 * Log lines about many targets at once, limited in number.
 * @packageDocumentation
 */
import type { LogFields } from "../telemetry/index.js";

/** At most this many lines are written at once, so that they do not fill the buffer of the log. */
export const mostLinesAtOnce = 250;

/**
 * Limits the lines that are written at once.
 * @param lines - the fields of each line
 * @param isUsual - whether a line says of its target what holds for most targets; such lines are left out first
 * @returns the lines, followed by one that tells how many are left out, if any are
 */
export function limitLines(
  lines: readonly LogFields[],
  isUsual: (line: LogFields) => boolean,
): readonly LogFields[] {
  if (lines.length <= mostLinesAtOnce) return lines;
  const ordered = [...lines.filter((line) => !isUsual(line)), ...lines.filter(isUsual)];
  return [...ordered.slice(0, mostLinesAtOnce), { leftOut: lines.length - mostLinesAtOnce }];
}
