/**
 * Compares two configurations and lists their differences by path.
 * @packageDocumentation
 */

/** A place where two configurations differ. */
export interface ConfigurationDifference {
  /** Path of the value; list items that have names are identified by name, as in `pools[quotes].minimumInstances`. */
  readonly path: string;
  /** The earlier value; undefined when the path didn't exist. */
  readonly before: unknown;
  /** The later value; undefined when the path no longer exists. */
  readonly after: unknown;
}

/**
 * Compares two values of decoded JSON. Lists of named items are compared by name; other lists are compared as a whole.
 * @param before - the earlier value
 * @param after - the later value
 * @returns every path at which they differ; empty when they are equal
 */
export function findDifferences(before: unknown, after: unknown): ConfigurationDifference[] {
  return compare("", before, after);
}

function compare(path: string, before: unknown, after: unknown): ConfigurationDifference[] {
  const earlier = childrenOf(before);
  const later = childrenOf(after);
  if (earlier === undefined || later === undefined) {
    return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ path, before, after }];
  }
  const keys = [...new Set([...earlier.keys(), ...later.keys()])];
  return keys.flatMap((key) => compare(joinPath(path, key), earlier.get(key), later.get(key)));
}

function joinPath(path: string, key: string): string {
  return path === "" || key.startsWith("[") ? `${path}${key}` : `${path}.${key}`;
}

/** Returns the children of a value by path segment; undefined for a value that is compared as a whole. */
function childrenOf(value: unknown): ReadonlyMap<string, unknown> | undefined {
  if (Array.isArray(value)) return childrenOfList(value);
  if (typeof value === "object" && value !== null) return new Map(Object.entries(value));
  return undefined;
}

function childrenOfList(items: readonly unknown[]): ReadonlyMap<string, unknown> | undefined {
  const names = items.map((item) => (item as { name?: unknown } | null)?.name);
  if (!names.every((name) => typeof name === "string")) return undefined;
  return new Map(items.map((item, index) => [`[${names[index] ?? ""}]`, item]));
}
