/**
 * Gathers what goes to each peer for a moment, so that many items share a frame.
 * @packageDocumentation
 */

/** Gathers items by peer. */
export interface FrameGatherer<Item> {
  add(peerId: string, item: Item): void;
  /** Drops what waits. */
  close(): void;
}

/** A frame leaves at once when it holds so many items. */
const itemsPerFrame = 64;

/**
 * Creates a gatherer.
 * @param gatherMilliseconds - how long the first item of a frame waits for others
 * @param send - sends the items that have gathered for a peer
 * @returns the gatherer
 */
export function createFrameGatherer<Item>(
  gatherMilliseconds: number,
  send: (peerId: string, items: readonly Item[]) => void,
): FrameGatherer<Item> {
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
      timer ??= setTimeout(flushAll, gatherMilliseconds);
    },
    close: () => {
      clearTimeout(timer);
      waiting.clear();
    },
  };
}
