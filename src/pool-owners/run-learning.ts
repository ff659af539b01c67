/**
 * Learns from what targets tell of runs, while they go on and when they have ended.
 * @packageDocumentation
 */
import type { Task, TaskRun } from "../jobs/index.js";
import { projectRunTime, timeRun } from "../scheduling/index.js";
import type { OwnerState } from "./owner-state.js";

/**
 * Learns from a run that goes on how long it takes: the ends that come first are those of the short runs.
 * @param state - the owner
 * @param task - the run's task
 * @param run - the run, with the progress that its target has just shown
 * @param targetClock - the target's clock when it did
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
 * Learns how long a run took by its target's clock: when this process learns of the start and the end depends on how
 * busy it is itself.
 * @param state - the owner
 * @param task - the run's task, which has succeeded
 * @param run - the run
 * @param targetClock - the target's clock when it listed the end
 * @param unheardMilliseconds - for so long before it was asked for that, the target had told nothing
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
    unheardMilliseconds: reportGapMilliseconds,
    projectedMilliseconds,
  });
  task.runMilliseconds = runMilliseconds;
  if (runMilliseconds === undefined) return;
  const { queue } = job.record.terms;
  if (projectedMilliseconds === undefined) state.runTimes.learn(queue, definition, runMilliseconds);
  const tasks = job.occurrences.get(task.occurrence)?.steps[task.step] ?? [];
  const known = tasks.flatMap(({ runMilliseconds }) => runMilliseconds ?? []);
  if (known.length === tasks.length) state.runTimes.learnStep(queue, known);
}

/** How long a run that does all of its task's work has run; undefined for others. */
function elapsedAt({ definition }: Task, run: TaskRun, targetClock: number): number | undefined {
  if (definition.isLasting || !run.isWhole || run.targetStartedAt === undefined) return undefined;
  return targetClock - run.targetStartedAt;
}
