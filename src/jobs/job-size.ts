/**
 * The size of a job: how many tasks it has over all of its occurrences, which decides what an owner has to hold in memory.
 * @packageDocumentation
 */
import type { JobDefinition } from "./definition.js";

/** More than any pool of the intended size can run; a larger job is rejected as a mistake. */
export const maximumTasksPerJob = 20_000;

/**
 * Counts the tasks of one occurrence of a job. A step without tasks counts as one, because it takes memory like a task.
 * @param definition - the job
 * @returns the number of tasks
 */
function countTasksPerOccurrence({ steps }: JobDefinition): number {
  return steps.reduce((sum, { taskCount }) => sum + Math.max(1, taskCount), 0);
}

/**
 * Counts the tasks of a job over all of its occurrences. A step without tasks counts as one.
 * @param definition - the job
 * @returns the number of tasks
 */
export function countTasks(definition: JobDefinition): number {
  return countTasksPerOccurrence(definition) * (definition.repetition?.occurrences ?? 1);
}

/**
 * Describes why a job is too large.
 * @param definition - the job
 * @returns the excess, with the field that causes it as callers name it; undefined for a job of an acceptable size
 */
export function describeExcess(definition: JobDefinition): string | undefined {
  const tasks = countTasks(definition);
  if (tasks <= maximumTasksPerJob) return undefined;
  const perOccurrence = countTasksPerOccurrence(definition);
  const limit = `more than ${maximumTasksPerJob}`;
  if (perOccurrence > maximumTasksPerJob) return `steps: ${perOccurrence} tasks, ${limit}`;
  const occurrences = definition.repetition?.occurrences ?? 1;
  return `times: ${occurrences} occurrences of ${perOccurrence} tasks are ${tasks} tasks, ${limit}`;
}

/**
 * Checks whether a job has anything to run.
 * @param definition - the job
 * @returns false when none of its steps has a task
 */
export function hasTasks({ steps }: JobDefinition): boolean {
  return steps.some(({ taskCount }) => taskCount > 0);
}
