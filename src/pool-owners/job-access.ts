/**
 * Access to jobs by workspace. A job that belongs to a workspace can be reached by callers of that workspace only; for
 * all others it does not exist.
 * @packageDocumentation
 */
import * as z from "zod";
import type { Job, JobRecord } from "../jobs/index.js";
import type { Log } from "../telemetry/index.js";
import type { JobSubmission, SubmitOutcome } from "./job-outcomes.js";

/** Schema of a caller, for entries that authenticate their callers. */
export const jobCallerSchema = z.object({
  /** The queue that the request was addressed to. */
  queue: z.string(),
  /** Omitted when the queue requires no key. */
  workspace: z.string().optional(),
});

/** The caller of a request about a job. */
export type JobCaller = z.infer<typeof jobCallerSchema>;

/** Reason of the refusal when the pool cannot complete a job in time. */
export const backlogReason = "the pool's backlog is too long";
const retryAfterIdentifierTakenMilliseconds = 1_000;

/**
 * Checks whether a caller may access a job. A job without a workspace is open to all callers. A caller without a key
 * reaches a workspace's job only through the job's own queue, which happens when the operators removed the key
 * requirement from the queue after the job was accepted.
 * @param record - the job
 * @param caller - undefined where callers are not authenticated
 * @returns false when the caller must get the same answer as for a job that does not exist
 */
export function mayAccess({ workspace, terms }: JobRecord, caller: JobCaller | undefined): boolean {
  if (caller === undefined || workspace === undefined) return true;
  if (caller.workspace === undefined) return caller.queue === terms.queue;
  return caller.workspace === workspace;
}

/**
 * Decides on a submission whose identifier belongs to an accepted job. From the same caller it is a retry and counts as
 * accepted. From another caller it is refused with the same reason as by a full pool, because the answer must not reveal
 * that the identifier is in use.
 * @param record - the accepted job
 * @param submission - the submission with the same identifier
 * @param log - receives a line for a submission that is refused
 * @returns the answer to the caller
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
 * @param jobs - the jobs of this owner by identifier
 * @param jobId - the job's identifier
 * @param caller - undefined where callers are not authenticated
 * @returns the job; undefined when there is none or the caller may not access it
 */
export function findJob(
  jobs: ReadonlyMap<string, Job>,
  jobId: string,
  caller: JobCaller | undefined,
): Job | undefined {
  const job = jobs.get(jobId);
  return job !== undefined && mayAccess(job.record, caller) ? job : undefined;
}

/** Compares the queues when only one call has a workspace: the queue's key requirement may have changed in between. */
function isSameCaller({ workspace, terms }: JobRecord, submission: JobSubmission): boolean {
  if (workspace === submission.workspace) return true;
  const bothHaveWorkspaces = workspace !== undefined && submission.workspace !== undefined;
  return !bothHaveWorkspaces && terms.queue === submission.terms.queue;
}
