/**
 * Jobs as callers submit them: a job consists of steps, and a step of identical tasks.
 * @packageDocumentation
 */
import * as z from "zod";

/** Validates resources. */
export const resourcesSchema = z.object({
  cpuMillicores: z.number(),
  memoryMegabytes: z.number(),
  accelerators: z.number(),
});

/** The resources that one task needs, or the capacity of a target. */
export type Resources = z.infer<typeof resourcesSchema>;

/** Validates a step of a job. */
export const stepSchema = z.object({
  taskCount: z.number().int(),
  resources: resourcesSchema,
  /** The caller's rough estimate of one task's run time. */
  estimateMilliseconds: z.number(),
  /** Indexes of the steps whose tasks must all have succeeded before this step starts. */
  after: z.array(z.number().int()),
  /** Whether a task saves checkpoints from which a later run can continue. */
  isCheckpointed: z.boolean(),
  /** Whether the tasks form a gang: they only make progress while all of them run. */
  isGang: z.boolean(),
  /** Whether the tasks run longer when they are spread over racks. */
  prefersOneRack: z.boolean(),
  /** A label that a target must have to run the tasks. */
  requiredLabel: z.string().optional(),
  /** The rack that stores the data; on other racks the tasks run longer. */
  preferredRack: z.string().optional(),
  /** How many tasks of the step one target may run at a time. */
  maximumPerTarget: z.number().int().optional(),
  /** Whether several runs (copies) of one task may exist at the same time. */
  allowsCopies: z.boolean(),
  /** Whether the tasks are long-running: they run until the job is cancelled. */
  isLasting: z.boolean(),
  /** The program that the tasks run; tasks of one image are expected to behave alike. */
  image: z.string().optional(),
  /** The highest tail latency that is acceptable to the users of a long-running task. */
  goalMilliseconds: z.number().optional(),
  /** Whether the tasks are best-effort: they use idle processor time and are not charged for processor capacity. */
  isFiller: z.boolean(),
  /** How many long-running tasks of the step may be down at once because the system stopped or moved them. */
  maximumUnavailable: z.number().int().optional(),
});

/** A step of a job. */
export type StepDefinition = z.infer<typeof stepSchema>;

/** Validates a repetition. */
export const repetitionSchema = z.object({
  /** Unix time at which the first occurrence is due, in milliseconds. */
  startAtMilliseconds: z.number(),
  intervalMilliseconds: z.number(),
  occurrences: z.number().int(),
});

/** When a job repeats. */
export type Repetition = z.infer<typeof repetitionSchema>;

/** Validates a submitted job. */
export const jobDefinitionSchema = z.object({
  /** Passed to the targets unchanged. */
  spec: z.string(),
  steps: z.array(stepSchema),
  /** Undefined for a job that runs once and is due immediately. */
  repetition: repetitionSchema.optional(),
});

/** A submitted job. */
export type JobDefinition = z.infer<typeof jobDefinitionSchema>;

/** Validates the time that the advice service takes for one request. */
export const adviceTimingSchema = z.object({
  /** Time for any request. */
  baseMilliseconds: z.number(),
  /** Additional time for each target that the request names. */
  perTargetMilliseconds: z.number(),
});

/** The time that the advice service takes for one request. */
export type AdviceTiming = z.infer<typeof adviceTimingSchema>;

/** Validates the terms of a queue. */
export const queueTermsSchema = z.object({
  queue: z.string(),
  pool: z.string(),
  /** 0 is the most urgent. */
  priority: z.number(),
  /** The job fails with this many failed runs of one task. */
  attempts: z.number().int(),
  /** A job's objective is this factor times the run time of its longest chain of steps, plus `objectiveMilliseconds`. */
  slackFactor: z.number(),
  objectiveMilliseconds: z.number(),
  /** Whether an external service decides which targets may run a step. */
  needsAdvice: z.boolean(),
  /** How long that service takes; undefined when it is not needed, and in records of earlier versions. */
  adviceTiming: adviceTimingSchema.optional(),
});

/** The terms for a queue's jobs in the operators' configuration. */
export type QueueTerms = z.infer<typeof queueTermsSchema>;

/** The state of a job as callers see it. */
export type JobState = "queued" | "active" | "complete" | "failed" | "cancelled";

/** Whether a job in this state has ended. */
export function isFinalState(state: JobState): boolean {
  return state === "complete" || state === "failed" || state === "cancelled";
}
