/**
 * Writes the progress and the final states of jobs to the store. Callers see a final state only once it is stored.
 * @packageDocumentation
 */
import { encodeProgress, isWorkDone, jobPrefix, progressPrefix, type Job } from "../jobs/index.js";
import { forgetJob, retireJob, type OwnerState } from "./owner-state.js";

/**
 * Stores a job's progress, or its final state once all work is done or a task has used up its attempts.
 * @param state - the owner's state
 * @param job - the job
 * @returns whether it was stored
 */
export async function storeProgress(state: OwnerState, job: Job): Promise<boolean> {
  if (job.finalState !== undefined) return true;
  // Progress must not overwrite the final state, which is stored under the same key.
  const ending = state.endings.get(job.id);
  if (ending !== undefined) return ending;
  if (isWorkDone(job)) return endJob(state, job, "complete");
  if (hasFailed(job)) return endJob(state, job, "failed");
  const write = state.journal.write(progressKey(job), encodeProgress(job), { urgency: "soon" });
  return (await write.result) === "stored";
}

/**
 * Stores on which targets a job's long-running tasks may run, in one write for all tasks placed in the same round.
 * @param state - the owner's state
 * @param job - the job
 * @returns whether it was stored; false when the job has ended
 */
export async function storePlaces(state: OwnerState, job: Job): Promise<boolean> {
  const pending = state.placeRecords.get(job.id) ?? writePlaces(state, job);
  state.placeRecords.set(job.id, pending);
  return pending;
}

async function writePlaces(state: OwnerState, job: Job): Promise<boolean> {
  // Waits for the rest of the synchronous placement round, so that its places are in the same write.
  await Promise.resolve();
  state.placeRecords.delete(job.id);
  if (job.isEnding || job.finalState !== undefined) return false;
  const write = state.journal.write(progressKey(job), encodeProgress(job));
  return (await write.result) === "stored";
}

/**
 * Checks whether the results of a job's tasks decide its final state.
 * @param job - the job
 * @returns true when all work is done or a task has used up its attempts
 */
export function hasEnded(job: Job): boolean {
  return isWorkDone(job) || hasFailed(job);
}

function hasFailed(job: Job): boolean {
  const { attempts } = job.record.terms;
  for (const { steps } of job.occurrences.values()) {
    if (steps.some((tasks) => tasks.some(({ failures }) => failures >= attempts))) return true;
  }
  return false;
}

/**
 * Stores the final state of a job, and shows it to callers once it is stored.
 * @param state - the owner's state
 * @param job - the job
 * @param finalState - the state in which it ended
 * @returns whether it was stored
 */
export async function endJob(
  state: OwnerState,
  job: Job,
  finalState: NonNullable<Job["finalState"]>,
): Promise<boolean> {
  const ending = state.endings.get(job.id) ?? storeEnd(state, job, finalState);
  state.endings.set(job.id, ending);
  const isStored = await ending;
  state.endings.delete(job.id);
  return isStored;
}

async function storeEnd(
  state: OwnerState,
  job: Job,
  finalState: NonNullable<Job["finalState"]>,
): Promise<boolean> {
  if (job.finalState !== undefined) return true;
  const endedAt = Date.now();
  // Stops the dispatcher from starting further tasks of the job while the write is in progress.
  job.isEnding = true;
  const progress = encodeProgress({ ...job, finalState, endedAt });
  const result = await state.journal.write(progressKey(job), progress).result;
  if (result !== "stored") return false;
  job.finalState = finalState;
  job.endedAt = endedAt;
  recordEnd(state, job, finalState);
  retireJob(state, job);
  state.wake();
  return true;
}

function recordEnd(state: OwnerState, job: Job, finalState: NonNullable<Job["finalState"]>): void {
  const { expectedEndAt } = job;
  if (finalState === "complete" && expectedEndAt !== undefined)
    state.forecastMargin.learn(performance.now() - expectedEndAt);
  const milliseconds = Math.round(performance.now() - job.acceptedAt);
  const { queue } = job.record.terms;
  state.log.write("info", "job-ended", { job: job.id, queue, state: finalState, milliseconds });
  state.metrics.count("jobs_ended_total", { pool: state.pool, state: finalState });
  state.metrics.observe("job_milliseconds", milliseconds, { state: finalState });
}

/**
 * Deletes a job whose retention time is over, from memory and from the store.
 * @param state - the owner's state
 * @param job - the ended job
 */
export function deleteStoredJob(state: OwnerState, job: Job): void {
  forgetJob(state, job);
  state.journal.write(`${jobPrefix}${job.id}`, undefined, { urgency: "soon" });
  state.journal.write(progressKey(job), undefined, { urgency: "soon" });
}

function progressKey(job: Job): string {
  return `${progressPrefix}${job.id}`;
}
