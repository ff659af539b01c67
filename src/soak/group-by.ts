/**
 * Grouping of list items by a key.
 * @packageDocumentation
 */

/**
 * Groups items by a key.
 * @param items - in the order that each group keeps
 * @param keyOf - reads an item's key
 * @returns the groups by key
 */
export function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}
