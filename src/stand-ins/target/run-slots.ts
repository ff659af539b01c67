/**
 * Slots of the target stand-in. Runs without a free slot wait and are counted.
 * @packageDocumentation
 */

/** Slots of a target. */
export interface RunSlots {
  /** Runs in progress. */
  running(): number;
  /** How many runs had to wait for a slot. */
  overSlots(): number;
  /** The maximum number of runs in progress or waiting at the same time. */
  highest(): number;
  /** Waits for a slot. */
  take(): Promise<void>;
  /** Releases a slot. */
  free(): void;
}

/**
 * Creates slots.
 * @param count - how many runs may be in progress
 * @returns the slots, all free
 */
export function createRunSlots(count: number): RunSlots {
  const waiting: (() => void)[] = [];
  let running = 0;
  let overSlots = 0;
  let highest = 0;
  return {
    running: () => running,
    overSlots: () => overSlots,
    highest: () => highest,
    take: async () => {
      highest = Math.max(highest, running + waiting.length + 1);
      if (running < count) {
        running += 1;
        return;
      }
      overSlots += 1;
      await new Promise<void>((resolve) => {
        waiting.push(resolve);
      });
    },
    free: () => {
      const next = waiting.shift();
      if (next === undefined) running -= 1;
      else next();
    },
  };
}
