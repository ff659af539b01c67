/**
 * Computes the amount of work of a job and the run time of its longest chain of steps.
 * @packageDocumentation
 */
import type { JobDefinition, StepDefinition } from "../jobs/index.js";
import type { ExpectedRunTime } from "./run-times.js";

const millisecondsPerSecond = 1_000;
const millicoresPerCore = 1_000;

/**
 * Computes the processor time of some tasks of a step.
 * @param step - the step
 * @param taskCount - how many of its tasks to count
 * @param expected - predicts the run time of a task
 * @returns core-seconds; 0 for long-running and best-effort tasks
 */
export function stepCoreSeconds(step: StepDefinition, taskCount: number, expected: ExpectedRunTime): number {
  if (step.isLasting || step.isFiller) return 0;
  const seconds = expected(step) / millisecondsPerSecond;
  return (taskCount * seconds * step.resources.cpuMillicores) / millicoresPerCore;
}

/**
 * Computes the processor time of one occurrence of a job.
 * @param definition - the job
 * @param expected - predicts the run time of a task
 * @returns core-seconds
 */
export function jobCoreSeconds(definition: JobDefinition, expected: ExpectedRunTime): number {
  return definition.steps.reduce((sum, step) => sum + stepCoreSeconds(step, step.taskCount, expected), 0);
}

/**
 * Computes how long a job takes on idle targets: the longest chain of steps that wait for each other.
 * @param definition - the job
 * @param expected - predicts the run time of a step
 * @returns milliseconds
 */
export function longestChainMilliseconds(definition: JobDefinition, expected: ExpectedRunTime): number {
  const ends: number[] = [];
  for (const step of definition.steps) {
    const begin = step.after.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), 0);
    ends.push(begin + expected(step));
  }
  return Math.max(0, ...ends);
}

/**
 * Whether a job has long-running tasks.
 * @param definition - the job
 * @returns true when it runs until it is cancelled
 */
export function isLongRunningJob(definition: JobDefinition): boolean {
  return definition.steps.some(({ isLasting }) => isLasting);
}
