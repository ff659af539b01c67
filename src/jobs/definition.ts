/**
 * What callers hand in: a job of steps, each of which is a number of like tasks.
 * @packageDocumentation
 */
import * as z from "zod";

/** What one task takes of a target. */
export const resourcesSchema = z.object({
  cpuMillicores: z.number(),
  memoryMegabytes: z.number(),
  accelerators: z.number(),
});

/** What one task takes, or what a target has. */
export type Resources = z.infer<typeof resourcesSchema>;

/** Checks a step of a job. */
export const stepSchema = z.object({
  taskCount: z.number().int(),
  resources: resourcesSchema,
  /** A rough guess of one task's run time. */
  estimateMilliseconds: z.number(),
  /** Positions of the steps whose tasks must all have succeeded first. */
  after: z.array(z.number().int()),
  /** Whether a task saves its progress and can go on from there. */
  isCheckpointed: z.boolean(),
  /** Whether the tasks only work while all of them are present. */
  isGang: z.boolean(),
  /** Whether the tasks run longer when they are spread over racks. */
  prefersOneRack: z.boolean(),
  /** A label that the target must have. */
  requiredLabel: z.string().optional(),
  /** The rack where the data lies; elsewhere the tasks run longer. */
  preferredRack: z.string().optional(),
  /** How many tasks of the step one target may run. */
  maximumPerTarget: z.number().int().optional(),
  /** Whether several copies of one task may run at a time. */
  allowsCopies: z.boolean(),
  /** Whether the tasks run until the job is cancelled. */
  isLasting: z.boolean(),
  /** What the tasks run; tasks of one image behave alike. */
  image: z.string().optional(),
  /** The highest tail latency that the users of a long-running task may see. */
  goalMilliseconds: z.number().optional(),
  /** Whether the tasks use the processor time that others leave, beside the target's capacity. */
  isFiller: z.boolean(),
  /** How many long-running tasks may be down at once through orders of the system. */
  maximumUnavailable: z.number().int().optional(),
});

/** A step of a job. */
export type StepDefinition = z.infer<typeof stepSchema>;

/** Checks when a job repeats. */
export const repetitionSchema = z.object({
  /** Unix time at which the first occurrence is due. */
  startAtMilliseconds: z.number(),
  intervalMilliseconds: z.number(),
  occurrences: z.number().int(),
});

/** When a job repeats. */
export type Repetition = z.infer<typeof repetitionSchema>;

/** Checks a job as it was handed in. */
export const jobDefinitionSchema = z.object({
  /** Handed to the targets as it is. */
  spec: z.string(),
  steps: z.array(stepSchema),
  /** Undefined for a job that runs once, at once. */
  repetition: repetitionSchema.optional(),
});

/** A job as it was handed in. */
export type JobDefinition = z.infer<typeof jobDefinitionSchema>;

/** What the operators' configuration says of a queue's jobs. */
export const queueTermsSchema = z.object({
  queue: z.string(),
  pool: z.string(),
  /** 0 is the most urgent. */
  priority: z.number(),
  /** Runs of one task that may fail before the job fails. */
  attempts: z.number().int(),
  /** The objective for a job's time is this many times its longest chain of work, and `objectiveMilliseconds` more. */
  slackFactor: z.number(),
  objectiveMilliseconds: z.number(),
  /** Whether an outside service tells which targets may run a step. */
  needsAdvice: z.boolean(),
});

/** The terms under which a queue's jobs run. */
export type QueueTerms = z.infer<typeof queueTermsSchema>;

/** What a caller sees of a job. */
export type JobState = "queued" | "active" | "complete" | "failed" | "cancelled";

/** Tells whether a job has ended. */
export function isFinalState(state: JobState): boolean {
  return state === "complete" || state === "failed" || state === "cancelled";
}
