/**
 * The order in which an owner's jobs get room.
 * @packageDocumentation
 */
import type { Job, Occurrence, Task } from "../jobs/index.js";
import {
  isLongRunningJob,
  longestChainMilliseconds,
  type ExpectedRunTime,
  type OrderedJob,
} from "../scheduling/index.js";
import type { OwnerState } from "./owner-state.js";
import { neverOverShare, type OverShareCheck } from "./over-share-check.js";

/** A job with the values that determine its position in the order. */
export interface RankedJob extends OrderedJob {
  readonly job: Job;
}

/**
 * Computes the values that determine a job's position in the order.
 * @param state - the owner, whose learned run times are used
 * @param job - the job
 * @param now - the monotonic clock
 * @param isOverShare - whether a workspace has used up its share, so that its jobs go after those of others
 * @returns the job with these values
 */
export function rankJob(
  state: Pick<OwnerState, "runTimes">,
  job: Job,
  now: number,
  isOverShare: OverShareCheck = neverOverShare,
): RankedJob {
  const { definition, terms, workspace } = job.record;
  const { step: expected } = state.runTimes.ofQueue(terms.queue);
  const chain = longestChainMilliseconds(definition, expected);
  return {
    job,
    priority: terms.priority,
    isLasting: isLongRunningJob(definition),
    hasStarted: job.hasStarted,
    isOverShare: isOverShare(workspace),
    dueAt: job.requestedAt + terms.slackFactor * chain + terms.objectiveMilliseconds,
    remainingMilliseconds: Math.min(chain, remainingMilliseconds(job, expected, now)),
    acceptedAt: job.acceptedAt,
  };
}

/** Time that the unfinished steps take on idle targets, for the occurrence with the longest remaining time. */
function remainingMilliseconds(job: Job, expected: ExpectedRunTime, now: number): number {
  const chains = [...job.occurrences.values()].map((occurrence) => remainingChain(occurrence, expected, now));
  return Math.max(0, ...chains);
}

/** Time until the last step of an occurrence ends, when each step begins at the end of the steps that it depends on. */
function remainingChain({ steps }: Occurrence, expected: ExpectedRunTime, now: number): number {
  const ends: number[] = [];
  for (const tasks of steps) {
    const after = tasks[0]?.definition.after ?? [];
    const begin = after.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), 0);
    const runMilliseconds = tasks[0] === undefined ? 0 : expected(tasks[0].definition);
    const remaining = tasks.map((task) => remainingRun(task, runMilliseconds, now));
    ends.push(begin + Math.max(0, ...remaining));
  }
  return Math.max(0, ...ends);
}

function remainingRun({ succeeded, runs }: Task, expectedMilliseconds: number, now: number): number {
  if (succeeded) return 0;
  const [run] = runs;
  return run === undefined
    ? expectedMilliseconds
    : Math.max(0, (run.projectedMilliseconds ?? expectedMilliseconds) - (now - run.startedAt));
}
