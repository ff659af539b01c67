/**
 * Batches items for each peer for a few milliseconds, so that many items share a frame.
 * @packageDocumentation
 */

/** Batches items by peer. */
export interface FrameBatcher<Item> {
  /** Adds an item to the peer's next frame. */
  add(peerId: string, item: Item): void;
  /** Drops the items that have not been sent. */
  close(): void;
}

/** A frame with this many items is sent at once. */
const itemsPerFrame = 64;

/**
 * Creates a batcher without items.
 * @param batchMilliseconds - longest time that an item waits for others
 * @param send - sends one frame with a peer's items
 * @returns the batcher
 */
export function createFrameBatcher<Item>(
  batchMilliseconds: number,
  send: (peerId: string, items: readonly Item[]) => void,
): FrameBatcher<Item> {
  const waiting = new Map<string, Item[]>();
  let timer: NodeJS.Timeout | undefined;

  const flush = (peerId: string): void => {
    const items = waiting.get(peerId);
    waiting.delete(peerId);
    if (items !== undefined) send(peerId, items);
  };
  const flushAll = (): void => {
    timer = undefined;
    for (const peerId of [...waiting.keys()]) flush(peerId);
  };
  return {
    add: (peerId, item) => {
      const items = waiting.get(peerId) ?? [];
      items.push(item);
      waiting.set(peerId, items);
      if (items.length >= itemsPerFrame) flush(peerId);
      timer ??= setTimeout(flushAll, batchMilliseconds);
    },
    close: () => {
      clearTimeout(timer);
      waiting.clear();
    },
  };
}
