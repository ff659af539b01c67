/**
 * The stored records of a job: a large one that never changes, and a small one of its progress that is replaced.
 * @packageDocumentation
 */
import * as z from "zod";
import { parseWith } from "../shared/index.js";
import { jobDefinitionSchema, queueTermsSchema } from "./definition.js";

/** Key prefix of the records of accepted jobs. */
export const jobPrefix = "jobs/";
/** Key prefix of the records of jobs' progress. */
export const progressPrefix = "progress/";

/** Validates the record of an accepted job. */
export const jobRecordSchema = z.object({
  jobId: z.string(),
  terms: queueTermsSchema,
  definition: jobDefinitionSchema,
  /** Unix time of the acceptance, in milliseconds. */
  acceptedAt: z.number(),
  /** Unix time of the first submission that the owner has a record of, in milliseconds. */
  requestedAt: z.number(),
  /** The workspace of the caller; absent where callers are not distinguished by workspace. */
  workspace: z.string().optional(),
});

/** The record of an accepted job, which never changes. */
export type JobRecord = z.infer<typeof jobRecordSchema>;

/** Validates the record of a job's progress. */
export const progressRecordSchema = z.object({
  /** Undefined until the job has ended. */
  finalState: z.enum(["complete", "failed", "cancelled"]).optional(),
  /** Unix time of the end, in milliseconds. */
  endedAt: z.number().optional(),
  /** Tasks that have succeeded, as `occurrence.step.index`. */
  succeeded: z.array(z.string()),
  /** Number of failed runs, by task. */
  failures: z.record(z.string(), z.number()),
  /** Numbers of the failed runs, by task, so that ends that targets list again, in any order, are counted once. */
  failedRuns: z.record(z.string(), z.array(z.number())).optional(),
  /** Targets on which a long-running task may run, by task; stored before a start is requested. */
  places: z.record(z.string(), z.array(z.string())).optional(),
});

/** The record of a job's progress. */
export type ProgressRecord = z.infer<typeof progressRecordSchema>;

/**
 * Decodes the record of an accepted job.
 * @param value - the stored value
 * @returns the record; undefined when the value does not match the schema
 */
export function decodeJobRecord(value: unknown): JobRecord | undefined {
  return parseWith(jobRecordSchema, value).caseOf<JobRecord | undefined>({
    Left: () => undefined,
    Right: (record) => record,
  });
}

/**
 * Decodes the record of a job's progress.
 * @param value - the stored value
 * @returns the record; undefined when the value does not match the schema
 */
export function decodeProgressRecord(value: unknown): ProgressRecord | undefined {
  return parseWith(progressRecordSchema, value).caseOf<ProgressRecord | undefined>({
    Left: () => undefined,
    Right: (record) => record,
  });
}
