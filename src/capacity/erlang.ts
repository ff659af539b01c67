/**
 * Waiting times in a queue with several servers (M/M/c), computed by Erlang's formulas. A server is a slot.
 * @packageDocumentation
 */

/** Load of the queue and the objective for its waiting times. */
export interface WaitObjective {
  /** Offered load in erlangs: the mean number of busy slots if no request had to wait. */
  readonly load: number;
  readonly meanRunSeconds: number;
  /** The longest wait after which a request still ends within its deadline. */
  readonly waitSeconds: number;
  /** Share of requests that must start within the wait, such as 0.999. */
  readonly objective: number;
}

/**
 * Computes the share of requests that wait longer than the objective allows.
 * @param waitObjective - load and wait
 * @param slots - number of slots
 * @returns a share from 0 to 1; 1 when the slots cannot carry the load
 */
export function lateShare(waitObjective: WaitObjective, slots: number): number {
  const blocking = blockingProbabilities(waitObjective.load, slots).at(-1) ?? 1;
  return lateShareOf(waitObjective, slots, blocking);
}

/**
 * Finds the smallest number of slots, in whole steps, that meets the objective.
 * @param waitObjective - load, wait and objective
 * @param step - slots that come together, such as the slots of an instance
 * @returns the number of slots, a multiple of the step; 0 without load
 */
export function fewestServers(waitObjective: WaitObjective, step: number): number {
  if (waitObjective.load <= 0) return 0;
  let blocking = 1;
  for (let slots = 1; ; slots += 1) {
    blocking = nextBlocking(blocking, waitObjective.load, slots);
    const isWhole = slots % step === 0;
    if (isWhole && lateShareOf(waitObjective, slots, blocking) <= 1 - waitObjective.objective) return slots;
  }
}

function lateShareOf(waitObjective: WaitObjective, slots: number, blocking: number): number {
  const { load, meanRunSeconds, waitSeconds } = waitObjective;
  if (load <= 0) return 0;
  if (load >= slots) return 1;
  const waitProbability = blocking / (1 - (load / slots) * (1 - blocking));
  return waitProbability * Math.exp((-(slots - load) * waitSeconds) / meanRunSeconds);
}

function blockingProbabilities(load: number, slots: number): number[] {
  const probabilities = [1];
  for (let count = 1; count <= slots; count += 1) {
    probabilities.push(nextBlocking(probabilities[count - 1] ?? 1, load, count));
  }
  return probabilities;
}

function nextBlocking(previous: number, load: number, slots: number): number {
  return (load * previous) / (slots + load * previous);
}
