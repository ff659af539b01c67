/**
 * Learns run times from the reports of targets, while runs are in progress and when they have ended.
 * @packageDocumentation
 */
import type { Task, TaskRun } from "../jobs/index.js";
import { projectRunTime, timeRun } from "../scheduling/index.js";
import type { OwnerState } from "./owner-state.js";

/**
 * Learns the projected run time of a run that is in progress. Learning from ended runs alone would underestimate run times,
 * because the runs that end first are the short ones.
 * @param state - the owner
 * @param task - the run's task
 * @param run - the run, with the progress that its target has just reported
 * @param targetClock - the target's clock at the time of the report, in milliseconds
 */
export function learnProgress(state: OwnerState, task: Task, run: TaskRun, targetClock: number): void {
  const elapsedMilliseconds = elapsedAt(task, run, targetClock);
  if (elapsedMilliseconds === undefined) return;
  const isFirst = run.projectedMilliseconds === undefined;
  run.projectedMilliseconds = projectRunTime({ elapsedMilliseconds, percent: run.percent });
  if (isFirst && run.projectedMilliseconds !== undefined)
    state.runTimes.learn(task.job.record.terms.queue, task.definition, run.projectedMilliseconds);
}

/**
 * Learns how long a run took, by its target's clock: the times at which this process learns of the start and the end depend
 * on its own load.
 * @param state - the owner
 * @param task - the run's task, which has succeeded
 * @param run - the run
 * @param targetClock - the target's clock when it listed the end, in milliseconds
 * @param reportGapMilliseconds - time between the target's previous report and the request for this one
 */
export function learnEnd(
  state: OwnerState,
  task: Task,
  run: TaskRun | undefined,
  targetClock: number,
  reportGapMilliseconds: number,
): void {
  const { job, definition } = task;
  if (run === undefined || job.finalState !== undefined) return;
  const receivedAfterMilliseconds = elapsedAt(task, run, targetClock);
  if (receivedAfterMilliseconds === undefined) return;
  const { projectedMilliseconds } = run;
  const runMilliseconds = timeRun({
    receivedAfterMilliseconds,
    reportGapMilliseconds: reportGapMilliseconds,
    projectedMilliseconds,
  });
  task.runMilliseconds = runMilliseconds;
  if (runMilliseconds === undefined) return;
  const { queue } = job.record.terms;
  if (projectedMilliseconds === undefined) state.runTimes.learn(queue, definition, runMilliseconds);
  const tasks = job.occurrences.get(task.occurrence)?.steps[task.step] ?? [];
  const runTimes = tasks.flatMap(({ runMilliseconds: each }) => each ?? []);
  if (runTimes.length === tasks.length) state.runTimes.learnStep(queue, runTimes);
}

/** Time that a run has taken so far; undefined for long-running tasks, and for runs that do only a part of their task. */
function elapsedAt({ definition }: Task, run: TaskRun, targetClock: number): number | undefined {
  if (definition.isLasting || !run.isWhole || run.targetStartedAt === undefined) return undefined;
  return targetClock - run.targetStartedAt;
}
