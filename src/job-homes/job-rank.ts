/**
 * Where a home's jobs stand in the order in which they get room.
 * @packageDocumentation
 */
import type { Job } from "../jobs/index.js";
import { isLastingJob, longestChainMilliseconds, type OrderedJob } from "../scheduling/index.js";
import type { HomeState } from "./home-state.js";

/** A job with what its order depends on. */
export interface RankedJob extends OrderedJob {
  readonly job: Job;
}

/**
 * Reads what a job's order depends on.
 * @param state - the home, whose learned run times count
 * @param job - the job
 * @returns the job with its rank
 */
export function rankJob(state: HomeState, job: Job): RankedJob {
  const { definition, terms } = job.record;
  const ratio = state.runTimes.ratio(terms.queue);
  const chain = longestChainMilliseconds(definition, ratio);
  return {
    job,
    priority: terms.priority,
    isLasting: isLastingJob(definition),
    hasStarted: job.hasStarted,
    dueAt: job.requestedAt + terms.slackFactor * chain + terms.objectiveMilliseconds,
    remainingMilliseconds: chain,
    acceptedAt: job.acceptedAt,
  };
}
