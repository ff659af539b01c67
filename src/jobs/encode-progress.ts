/**
 * Encodes what is known of a job's runs as the progress record that a next owner starts from.
 * @packageDocumentation
 */
import { isFinalState } from "./definition.js";
import { allTasks, type Job, type Task } from "./job.js";
import type { ProgressRecord } from "./records.js";

/**
 * Encodes a job's progress for the store.
 * @param job - the job
 * @returns the record; without tasks for a job that has ended
 */
export function encodeProgress(job: Job): ProgressRecord {
  const { finalState, endedAt } = job;
  // The tasks of an ended job are no longer needed.
  if (finalState !== undefined && isFinalState(finalState)) {
    return { finalState, endedAt, succeeded: [], failures: {} };
  }
  const tasks = allTasks(job);
  const key = ({ occurrence, step, index }: Task): string => `${occurrence}.${step}.${index}`;
  const failed = tasks.filter((task) => task.failures > 0);
  const failures = failed.map((task) => [key(task), task.failures] as const);
  const failedRuns = failed.map((task): [string, number[]] => [key(task), [...task.failedRuns]]);
  const places = tasks
    .filter(({ recordedPlaces }) => recordedPlaces.length > 0)
    .map((task): [string, string[]] => [key(task), [...task.recordedPlaces]]);
  return {
    succeeded: tasks.filter(({ succeeded }) => succeeded).map(key),
    failures: Object.fromEntries(failures),
    ...(failed.length > 0 ? { failedRuns: Object.fromEntries(failedRuns) } : {}),
    ...(places.length > 0 ? { places: Object.fromEntries(places) } : {}),
  };
}
