/**
 * Learned run times: callers' estimates are rough, and wrong in the same way for a queue's jobs.
 * @packageDocumentation
 */

/** Learns how long tasks run against their estimates. */
export interface RunTimeRatios {
  /** Takes the run time of a task that has succeeded. */
  learn(queue: string, estimateMilliseconds: number, runMilliseconds: number): void;
  /** How many times its estimate a task of the queue takes. */
  ratio(queue: string): number;
}

/** Weight of the newest run. */
const learningRate = 0.05;

/**
 * Creates ratios of 1 for every queue.
 * @returns the ratios
 */
export function createRunTimeRatios(): RunTimeRatios {
  const ratios = new Map<string, number>();
  return {
    learn: (queue, estimate, run) => {
      if (estimate <= 0) return;
      const known = ratios.get(queue) ?? 1;
      ratios.set(queue, known + learningRate * (run / estimate - known));
    },
    ratio: (queue) => ratios.get(queue) ?? 1,
  };
}
