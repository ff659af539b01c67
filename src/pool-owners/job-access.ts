/**
 * Whose job it is. A job with a workspace answers to calls of that workspace alone; to all others it does not exist.
 * @packageDocumentation
 */
import * as z from "zod";
import type { Job, JobRecord } from "../jobs/index.js";
import type { Log } from "../telemetry/index.js";
import type { JobSubmission, SubmitOutcome } from "./job-outcomes.js";

/** Checks who asks about a job, where callers are told apart. */
export const jobCallerSchema = z.object({
  /** The queue that was called. */
  queue: z.string(),
  /** Left out when the queue needs no key. */
  workspace: z.string().optional(),
});

/** Who asks about a job. */
export type JobCaller = z.infer<typeof jobCallerSchema>;

/** What a caller is told whose job the pool cannot end in time. */
export const backlogReason = "the pool's backlog is too long";
const retryAfterIdentifierTakenMilliseconds = 1_000;

/**
 * Tells whether a call may know of a job. A job without a workspace answers to everybody. A call without a key reaches a
 * workspace's job only through the job's own queue: the operators have taken the need for a key from it since.
 * @param record - the job
 * @param caller - who asks; undefined where callers are not told apart
 * @returns false when the job is to be answered for as if it did not exist
 */
export function mayAccess({ workspace, terms }: JobRecord, caller: JobCaller | undefined): boolean {
  if (caller === undefined || workspace === undefined) return true;
  if (caller.workspace === undefined) return caller.queue === terms.queue;
  return caller.workspace === workspace;
}

/**
 * Answers a submission whose identifier an accepted job has already. The same caller's is that job, handed in again.
 * Another's is not taken, in the words of a full pool: it would run neither now nor later, and must not tell that the
 * identifier is in use.
 * @param record - the accepted job
 * @param submission - what is handed in
 * @param log - takes a line on a submission that is not taken
 * @returns what the caller is told
 */
export function answerRepeatedSubmission(
  record: JobRecord,
  submission: JobSubmission,
  log: Log,
): SubmitOutcome {
  if (isSameCaller(record, submission)) return { kind: "accepted" };
  const { jobId, terms, workspace } = submission;
  log.write("info", "job-identifier-taken", { job: jobId, queue: terms.queue, workspace });
  return {
    kind: "refused",
    reason: backlogReason,
    retryAfterMilliseconds: retryAfterIdentifierTakenMilliseconds,
  };
}

/**
 * Finds a job for a caller.
 * @param jobs - the jobs that are known here
 * @param jobId - the job
 * @param caller - who asks; undefined where callers are not told apart
 * @returns the job; undefined when the caller may not know of it
 */
export function findJob(
  jobs: ReadonlyMap<string, Job>,
  jobId: string,
  caller: JobCaller | undefined,
): Job | undefined {
  const job = jobs.get(jobId);
  return job !== undefined && mayAccess(job.record, caller) ? job : undefined;
}

/** A queue's need for a key may have come or gone between the two calls. */
function isSameCaller({ workspace, terms }: JobRecord, submission: JobSubmission): boolean {
  if (workspace === submission.workspace) return true;
  const bothHaveWorkspaces = workspace !== undefined && submission.workspace !== undefined;
  return !bothHaveWorkspaces && terms.queue === submission.terms.queue;
}
