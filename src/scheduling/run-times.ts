/**
 * Learned run times. Answers estimates that are rough by a factor of their own for each job: where they say little, a
 * queue's usual run time says more, and a few estimates that were far too short do not make every job look long.
 * @packageDocumentation
 */
import type { StepDefinition } from "../jobs/index.js";
import { RatioSketch, unseenRemainderShare } from "./ratio-sketch.js";

/** What a run time is expected from. */
export type TimedStep = Pick<StepDefinition, "estimateMilliseconds" | "taskCount">;

/** Tells how long a step, or a task of it, is expected to run, in milliseconds. */
export type ExpectedRunTime = (step: TimedStep) => number;

/** How long the jobs of a queue are expected to run. */
export interface QueueRunTimes {
  /** A task on the mean, by which work is counted. */
  readonly task: ExpectedRunTime;
  /** The longest of a step's tasks, for which the next step waits. */
  readonly step: ExpectedRunTime;
  /** How long a task runs on that has run for a time and shows no progress, in milliseconds. */
  rest(step: TimedStep, elapsedMilliseconds: number): number;
}

/** Learns how long tasks run against their callers' estimates. */
export interface TaskRunTimes {
  /** Takes the run time of a task, in milliseconds. */
  learn(queue: string, step: TimedStep, runMilliseconds: number): void;
  /** Takes the run times of all tasks of a step, in milliseconds. */
  learnStep(queue: string, runMilliseconds: readonly number[]): void;
  /** How long the jobs of a queue are expected to run, by what is known now. */
  ofQueue(queue: string): QueueRunTimes;
}

/** Until so many steps have ended, estimates are mostly believed. */
const priorSteps = 4;
/** Share of its weight that an earlier step keeps when a further one has ended. */
const retainedWeight = 0.99;
/** One run counts no further off the expected time than by this factor: a target may be slow for a while. */
const maximumFactor = 8;

/** A line through the logarithms of estimates and run times. */
class LearnedRunTimes implements QueueRunTimes {
  #weight = 0;
  #meanEstimate = 0;
  #meanRun = 0;
  /** Weighted sums of squares and products about the means. */
  #estimateSquares = 0;
  #products = 0;
  #runSquares = 0;
  /** Run times by what was expected of them. */
  readonly #ratios = new RatioSketch();
  /** Run times by the middle of their step. */
  readonly #ratiosWithinStep = new RatioSketch();

  learn({ estimateMilliseconds, taskCount }: TimedStep, runMilliseconds: number): void {
    const estimate = Math.log(estimateMilliseconds);
    const expected = this.#expectLogarithm(estimate);
    const bound = Math.log(maximumFactor);
    const run = Math.min(expected + bound, Math.max(expected - bound, Math.log(runMilliseconds)));
    // The tasks of a step share an estimate, so that together they count once.
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
    // Against the mean a long task would count for less the fewer tasks its step has.
    const logarithms = runMilliseconds.reduce((sum, each) => sum + Math.log(each), 0);
    const middle = Math.exp(logarithms / runMilliseconds.length);
    for (const each of runMilliseconds) this.#ratiosWithinStep.add(each / middle, 1 / runMilliseconds.length);
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

  rest(step: TimedStep, elapsedMilliseconds: number): number {
    const expected = this.task(step);
    return expected > 0 ? expected * this.#ratios.expectedRemainder(elapsedMilliseconds / expected) : 0;
  }

  /** Variance of the run times' logarithms about what is expected: the mean of such times lies above their middle. */
  #variance(): number {
    if (this.#weight === 0) return 0;
    const slope = this.#slope();
    const squares = this.#runSquares - 2 * slope * this.#products + slope ** 2 * this.#estimateSquares;
    return Math.max(0, squares) / (this.#weight + priorSteps);
  }

  /** Estimates are believed as far as they have told short runs from long ones, and while little is known. */
  #slope(): number {
    const slope = (this.#products + priorSteps) / (this.#estimateSquares + priorSteps);
    return Math.min(1, Math.max(0, slope));
  }

  #expectLogarithm(estimate: number): number {
    const usual = this.#slope() * (estimate - this.#meanEstimate) + this.#meanRun;
    const known = this.#weight / (this.#weight + 1);
    return known * usual + (1 - known) * estimate;
  }
}

/** What is expected of a queue of which nothing has run yet. */
const estimatesOnly: QueueRunTimes = {
  task: ({ estimateMilliseconds }) => estimateMilliseconds,
  step: ({ estimateMilliseconds }) => estimateMilliseconds,
  rest: ({ estimateMilliseconds }, elapsedMilliseconds) =>
    Math.max(estimateMilliseconds - elapsedMilliseconds, unseenRemainderShare * elapsedMilliseconds),
};

/**
 * Creates run times that believe every estimate.
 * @returns the run times
 */
export function createTaskRunTimes(): TaskRunTimes {
  const queues = new Map<string, LearnedRunTimes>();
  return {
    learn: (queue, step, runMilliseconds) => {
      if (step.estimateMilliseconds <= 0 || runMilliseconds <= 0) return;
      const known = queues.get(queue) ?? new LearnedRunTimes();
      queues.set(queue, known);
      known.learn(step, runMilliseconds);
    },
    learnStep: (queue, runMilliseconds) => {
      queues.get(queue)?.learnStep(runMilliseconds);
    },
    ofQueue: (queue) => queues.get(queue) ?? estimatesOnly,
  };
}
