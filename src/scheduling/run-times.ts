/**
 * Learns run times. The estimate of each job is wrong by a factor of its own. Where estimates predict little, the usual run
 * time of the queue predicts more, and a few estimates that were far too short must not make every job look long.
 * @packageDocumentation
 */
import type { StepDefinition } from "../jobs/index.js";
import { RatioSketch, unseenRemainderShare } from "./ratio-sketch.js";

/** The properties of a step from which its run time is predicted. */
export type TimedStep = Pick<StepDefinition, "estimateMilliseconds" | "taskCount">;

/** Predicts how long a step, or one task of it, runs, in milliseconds. */
export type ExpectedRunTime = (step: TimedStep) => number;

/** Predicted run times of the jobs of a queue. */
export interface QueueRunTimes {
  /** The mean run time of a task, from which the amount of work is computed. */
  readonly task: ExpectedRunTime;
  /** The run time of the longest task of a step, for which the next step waits. */
  readonly step: ExpectedRunTime;
  /** The remaining run time of a running task that reports no progress, in milliseconds. */
  remaining(step: TimedStep, elapsedMilliseconds: number): number;
}

/** Learns the relation between run times and callers' estimates for each queue. */
export interface TaskRunTimes {
  /** Learns from the run time of one task, in milliseconds. */
  learn(queue: string, step: TimedStep, runMilliseconds: number): void;
  /** Learns from the run times of all tasks of one step, in milliseconds; ignored before `learn` knows the queue. */
  learnStep(queue: string, runMilliseconds: readonly number[]): void;
  /** Returns the predictions for a queue; the estimates themselves while nothing has been learned. */
  ofQueue(queue: string): QueueRunTimes;
}

/** Weight of the prior, in steps: until this many steps have ended, predictions mostly follow the estimates. */
const priorSteps = 4;
/** Share of its weight that an earlier step retains when another step has ended. */
const retainedWeight = 0.99;
/** A run time is clamped to this factor around the expected time, since a target may be slow for a while. */
const maximumFactor = 8;

/** A weighted linear regression of the logarithms of run times on the logarithms of estimates. */
class LearnedRunTimes implements QueueRunTimes {
  #weight = 0;
  #meanEstimate = 0;
  #meanRun = 0;
  /** Weighted sums of squares and products of the deviations from the means. */
  #estimateSquares = 0;
  #products = 0;
  #runSquares = 0;
  /** Ratios of run times to their predictions. */
  readonly #ratios = new RatioSketch();
  /** Ratios of run times to the geometric mean of their step. */
  readonly #ratiosWithinStep = new RatioSketch();

  learn({ estimateMilliseconds, taskCount }: TimedStep, runMilliseconds: number): void {
    const estimate = Math.log(estimateMilliseconds);
    const expected = this.#expectLogarithm(estimate);
    const bound = Math.log(maximumFactor);
    const run = Math.min(expected + bound, Math.max(expected - bound, Math.log(runMilliseconds)));
    // The tasks of a step share an estimate, so together they count as one observation.
    const weight = 1 / Math.max(1, taskCount);
    this.#ratios.add(runMilliseconds / this.task({ estimateMilliseconds, taskCount }), weight);
    const kept = retainedWeight ** weight;
    const before = this.#weight * kept;
    this.#weight = before + weight;
    const estimateOffset = estimate - this.#meanEstimate;
    const runOffset = run - this.#meanRun;
    const share = (weight * before) / this.#weight;
    this.#estimateSquares = this.#estimateSquares * kept + share * estimateOffset ** 2;
    this.#products = this.#products * kept + share * estimateOffset * runOffset;
    this.#runSquares = this.#runSquares * kept + share * runOffset ** 2;
    this.#meanEstimate += (weight / this.#weight) * estimateOffset;
    this.#meanRun += (weight / this.#weight) * runOffset;
  }

  learnStep(runMilliseconds: readonly number[]): void {
    if (runMilliseconds.length < 2 || !runMilliseconds.every((each) => each > 0)) return;
    // With the arithmetic mean, a long task would have a lower ratio the fewer tasks its step has.
    const logarithms = runMilliseconds.reduce((sum, each) => sum + Math.log(each), 0);
    const geometricMean = Math.exp(logarithms / runMilliseconds.length);
    for (const each of runMilliseconds)
      this.#ratiosWithinStep.add(each / geometricMean, 1 / runMilliseconds.length);
  }

  readonly task = ({ estimateMilliseconds }: TimedStep): number => {
    if (estimateMilliseconds <= 0) return this.#weight === 0 ? 0 : Math.exp(this.#meanRun);
    return Math.exp(this.#expectLogarithm(Math.log(estimateMilliseconds)) + this.#variance() / 2);
  };

  readonly step = (step: TimedStep): number => {
    const unevenness =
      this.#ratiosWithinStep.expectedLargest(Math.max(1, step.taskCount)) /
      this.#ratiosWithinStep.expectedLargest(1);
    return this.task(step) * unevenness;
  };

  remaining(step: TimedStep, elapsedMilliseconds: number): number {
    const expected = this.task(step);
    return expected > 0 ? expected * this.#ratios.expectedRemainder(elapsedMilliseconds / expected) : 0;
  }

  /** Residual variance of the logarithms of run times: half of it raises the predicted median to the mean. */
  #variance(): number {
    if (this.#weight === 0) return 0;
    const slope = this.#slope();
    const squares = this.#runSquares - 2 * slope * this.#products + slope ** 2 * this.#estimateSquares;
    return Math.max(0, squares) / (this.#weight + priorSteps);
  }

  /**
   * Slope of the regression, 0 to 1. It is high where estimates have distinguished short runs from long ones, and while
   * few runs are known.
   */
  #slope(): number {
    const slope = (this.#products + priorSteps) / (this.#estimateSquares + priorSteps);
    return Math.min(1, Math.max(0, slope));
  }

  #expectLogarithm(estimate: number): number {
    const usual = this.#slope() * (estimate - this.#meanEstimate) + this.#meanRun;
    const learnedShare = this.#weight / (this.#weight + 1);
    return learnedShare * usual + (1 - learnedShare) * estimate;
  }
}

/** Predictions for a queue from which nothing has been learned. */
const estimatesOnly: QueueRunTimes = {
  task: ({ estimateMilliseconds }) => estimateMilliseconds,
  step: ({ estimateMilliseconds }) => estimateMilliseconds,
  remaining: ({ estimateMilliseconds }, elapsedMilliseconds) =>
    Math.max(estimateMilliseconds - elapsedMilliseconds, unseenRemainderShare * elapsedMilliseconds),
};

/**
 * Creates run times that follow every estimate until they learn.
 * @returns the run times
 */
export function createTaskRunTimes(): TaskRunTimes {
  const queues = new Map<string, LearnedRunTimes>();
  return {
    learn: (queue, step, runMilliseconds) => {
      if (step.estimateMilliseconds <= 0 || runMilliseconds <= 0) return;
      const learned = queues.get(queue) ?? new LearnedRunTimes();
      queues.set(queue, learned);
      learned.learn(step, runMilliseconds);
    },
    learnStep: (queue, runMilliseconds) => {
      queues.get(queue)?.learnStep(runMilliseconds);
    },
    ofQueue: (queue) => queues.get(queue) ?? estimatesOnly,
  };
}
