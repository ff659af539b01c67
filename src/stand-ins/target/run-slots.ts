/**
 * Slots of the target stand-in. Runs beyond the slots wait, and are counted.
 * @packageDocumentation
 */

/** Slots of a target. */
export interface RunSlots {
  /** Runs in progress. */
  running(): number;
  /** How many runs found all slots taken. */
  overSlots(): number;
  /** The most runs that were in progress or waiting at once. */
  highest(): number;
  /** Waits for a slot. */
  take(): Promise<void>;
  /** Gives a slot back. */
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
