/**
 * What the store holds of a job: a record that never changes, and a small one of its progress.
 * @packageDocumentation
 */
import * as z from "zod";
import { parseWith } from "../shared/index.js";
import { jobDefinitionSchema, queueTermsSchema } from "./definition.js";

/** Prefix of the records of accepted jobs. */
export const jobPrefix = "jobs/";
/** Prefix of the records of their progress. */
export const progressPrefix = "progress/";

/** Checks the record of an accepted job. */
export const jobRecordSchema = z.object({
  jobId: z.string(),
  terms: queueTermsSchema,
  definition: jobDefinitionSchema,
  /** Unix time. */
  acceptedAt: z.number(),
  /** Unix time at which a caller first handed it in, as far as the owner knows. */
  requestedAt: z.number(),
  /** The workspace of the caller that handed it in; left out where callers are not told apart. */
  workspace: z.string().optional(),
});

/** An accepted job. It never changes. */
export type JobRecord = z.infer<typeof jobRecordSchema>;

/** Checks the record of a job's progress. */
export const progressRecordSchema = z.object({
  /** Undefined while the job goes on. */
  finalState: z.enum(["complete", "failed", "cancelled"]).optional(),
  /** Unix time of the end. */
  endedAt: z.number().optional(),
  /** Tasks that have succeeded, as `occurrence.step.index`. */
  succeeded: z.array(z.string()),
  /** Runs that have failed, by task. */
  failures: z.record(z.string(), z.number()),
  /** The runs that are among the failures, by task: targets may list their ends again, in any order. */
  failedRuns: z.record(z.string(), z.array(z.number())).optional(),
  /** Targets on which a long-running task may run, by task; stored before a start is asked for. */
  places: z.record(z.string(), z.array(z.string())).optional(),
});

/** A job's progress. */
export type ProgressRecord = z.infer<typeof progressRecordSchema>;

/**
 * Reads the record of a job.
 * @param value - the stored value
 * @returns the record; undefined when the value is not one
 */
export function decodeJobRecord(value: unknown): JobRecord | undefined {
  return parseWith(jobRecordSchema, value).caseOf<JobRecord | undefined>({
    Left: () => undefined,
    Right: (record) => record,
  });
}

/**
 * Reads the record of a job's progress.
 * @param value - the stored value
 * @returns the record; undefined when the value is not one
 */
export function decodeProgressRecord(value: unknown): ProgressRecord | undefined {
  return parseWith(progressRecordSchema, value).caseOf<ProgressRecord | undefined>({
    Left: () => undefined,
    Right: (record) => record,
  });
}
