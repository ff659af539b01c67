/**
 * Reads a line of a log back into its fields.
 * @packageDocumentation
 */

const pairPattern = /([^\s=]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/**
 * Reads the key=value pairs of a line.
 * @param text - the line
 * @returns the values by name, quotes taken off
 */
export function parseLogLine(text: string): ReadonlyMap<string, string> {
  const pairs = [...text.matchAll(pairPattern)];
  return new Map(pairs.map(([, name = "", value = ""]) => [name, unquote(value)]));
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch {
    // A line that was cut off.
    return value;
  }
}
