/**
 * The difference between two configurations, by paths.
 * @packageDocumentation
 */

/** A place where two configurations differ. */
export interface ConfigurationDifference {
  /** Where; items of a list with names go by name, such as `pools[quotes].minimumInstances`. */
  readonly path: string;
  /** The earlier value, undefined where there was none. */
  readonly before: unknown;
  /** The later value, undefined where there is none. */
  readonly after: unknown;
}

/**
 * Compares two values.
 * @param before - the earlier decoded JSON
 * @param after - the later decoded JSON
 * @returns every place where they differ
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

/** Returns what a value holds, by path parts; undefined for values that are compared whole. */
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
