/**
 * Groups items.
 * @packageDocumentation
 */

/**
 * Groups items by a key.
 * @param items - the items
 * @param keyOf - reads an item's key
 * @returns the groups, each in the items' order
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
