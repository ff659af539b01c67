/**
 * Parses log lines in the key=value format that the log writes.
 * @packageDocumentation
 */

const pairPattern = /([^\s=]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/**
 * Parses the key=value pairs of a line.
 * @param text - one line without its line break
 * @returns the values by name, unquoted; the last one counts if a name is repeated
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
    // The line was truncated within a quoted value.
    return value;
  }
}
