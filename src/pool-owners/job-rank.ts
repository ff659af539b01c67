/**
 * Where an owner's jobs stand in the order in which they get room.
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

/** A job with what its order depends on. */
export interface RankedJob extends OrderedJob {
  readonly job: Job;
}

/**
 * Reads what a job's order depends on.
 * @param state - the owner, whose learned run times count
 * @param job - the job
 * @param now - the monotonic clock
 * @param isOverShare - tells of which workspaces jobs go after others
 * @returns the job with its rank
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

/** What the steps that are not done still take on idle targets, for the occurrence that takes longest. */
function remainingMilliseconds(job: Job, expected: ExpectedRunTime, now: number): number {
  const rests = [...job.occurrences.values()].map((occurrence) => remainingChain(occurrence, expected, now));
  return Math.max(0, ...rests);
}

function remainingChain({ steps }: Occurrence, expected: ExpectedRunTime, now: number): number {
  const ends: number[] = [];
  for (const tasks of steps) {
    const after = tasks[0]?.definition.after ?? [];
    const begin = after.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), 0);
    const whole = tasks[0] === undefined ? 0 : expected(tasks[0].definition);
    const rests = tasks.map((task) => remainingRun(task, whole, now));
    ends.push(begin + Math.max(0, ...rests));
  }
  return Math.max(0, ...ends);
}

function remainingRun({ succeeded, runs }: Task, whole: number, now: number): number {
  if (succeeded) return 0;
  const [run] = runs;
  return run === undefined
    ? whole
    : Math.max(0, (run.projectedMilliseconds ?? whole) - (now - run.startedAt));
}
