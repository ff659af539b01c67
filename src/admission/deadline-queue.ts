/**
 * A queue in order of deadline, in buckets so that an item is added and removed in constant time.
 * @packageDocumentation
 */

const bucketMilliseconds = 20;

/** Items in order of deadline; those of one bucket in order of arrival. */
export class DeadlineQueue<Item extends { readonly deadlineAt: number }> {
  readonly #buckets = new Map<number, Set<Item>>();
  /** Keys of the buckets in use, ascending. */
  readonly #keys: number[] = [];
  #size = 0;

  /**
   * Counts the items.
   * @returns how many items wait
   */
  size(): number {
    return this.#size;
  }

  /**
   * Adds an item.
   * @param item - the item
   */
  add(item: Item): void {
    const key = bucketOf(item);
    const bucket = this.#buckets.get(key) ?? this.#open(key);
    if (bucket.has(item)) return;
    bucket.add(item);
    this.#size += 1;
  }

  /**
   * Removes an item.
   * @param item - the item
   * @returns whether it was waiting
   */
  delete(item: Item): boolean {
    const key = bucketOf(item);
    const bucket = this.#buckets.get(key);
    if (bucket?.delete(item) !== true) return false;
    this.#size -= 1;
    if (bucket.size === 0) {
      this.#buckets.delete(key);
      this.#keys.splice(this.#position(key), 1);
    }
    return true;
  }

  /**
   * Finds the item with the earliest deadline.
   * @returns the item, undefined when the queue is empty
   */
  first(): Item | undefined {
    const [key] = this.#keys;
    if (key === undefined) return undefined;
    const [item] = this.#buckets.get(key) ?? [];
    return item;
  }

  /**
   * Counts the items that are served no later than a deadline.
   * @param deadlineAt - the deadline
   * @returns how many items come before a new item of that deadline
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
   * Walks through the items in order.
   * @returns the items; none may be added or removed during the walk
   */
  *items(): Generator<Item> {
    for (const key of this.#keys) yield* this.#buckets.get(key) ?? [];
  }

  #open(key: number): Set<Item> {
    const bucket = new Set<Item>();
    this.#buckets.set(key, bucket);
    this.#keys.splice(this.#position(key), 0, key);
    return bucket;
  }

  #position(key: number): number {
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
