/**
 * Queue in order of deadline. Items are kept in buckets of 20 ms, so that adding and removing an item in an existing
 * bucket takes constant time.
 * @packageDocumentation
 */

const bucketMilliseconds = 20;

/** Queue in order of deadline; the items of one bucket are in the order in which they were added. */
export class DeadlineQueue<Item extends { readonly deadlineAt: number }> {
  readonly #buckets = new Map<number, Set<Item>>();
  /** Keys of the buckets in use, ascending. */
  readonly #keys: number[] = [];
  #size = 0;

  /**
   * Counts the items.
   * @returns the number of items
   */
  size(): number {
    return this.#size;
  }

  /**
   * Adds an item; has no effect if the item is already in the queue.
   * @param item - the item
   */
  add(item: Item): void {
    const key = bucketOf(item);
    const bucket = this.#buckets.get(key) ?? this.#addBucket(key);
    if (bucket.has(item)) return;
    bucket.add(item);
    this.#size += 1;
  }

  /**
   * Removes an item.
   * @param item - the item
   * @returns whether the item was in the queue
   */
  delete(item: Item): boolean {
    const key = bucketOf(item);
    const bucket = this.#buckets.get(key);
    if (bucket?.delete(item) !== true) return false;
    this.#size -= 1;
    if (bucket.size === 0) {
      this.#buckets.delete(key);
      this.#keys.splice(this.#findPosition(key), 1);
    }
    return true;
  }

  /**
   * Finds the first item.
   * @returns the first item of the bucket with the earliest deadline; undefined when the queue is empty
   */
  first(): Item | undefined {
    const [key] = this.#keys;
    if (key === undefined) return undefined;
    const [item] = this.#buckets.get(key) ?? [];
    return item;
  }

  /**
   * Counts the items that come before a new item with a given deadline.
   * @param deadlineAt - the new item's deadline, in milliseconds since the epoch
   * @returns the number of items
   */
  countUpTo(deadlineAt: number): number {
    const last = Math.floor(deadlineAt / bucketMilliseconds);
    let count = 0;
    for (const key of this.#keys) {
      if (key > last) break;
      count += this.#buckets.get(key)?.size ?? 0;
    }
    return count;
  }

  /**
   * Iterates over the items in order.
   * @returns the items; the queue must not be changed during the iteration
   */
  *items(): Generator<Item> {
    for (const key of this.#keys) yield* this.#buckets.get(key) ?? [];
  }

  #addBucket(key: number): Set<Item> {
    const bucket = new Set<Item>();
    this.#buckets.set(key, bucket);
    this.#keys.splice(this.#findPosition(key), 0, key);
    return bucket;
  }

  #findPosition(key: number): number {
    let low = 0;
    let high = this.#keys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#keys[middle] ?? Infinity) < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

function bucketOf(item: { readonly deadlineAt: number }): number {
  return Math.floor(item.deadlineAt / bucketMilliseconds);
}
