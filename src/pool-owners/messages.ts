/**
 * Calls between entries about jobs. Each call is sent to the owner of the job's pool.
 * @packageDocumentation
 */
import * as z from "zod";
import { jobDefinitionSchema, queueTermsSchema, resourcesSchema } from "../jobs/index.js";
import { definePeerCall } from "../membership/index.js";
import { jobCallerSchema } from "./job-access.js";

const notOwner = z.object({ kind: z.literal("not-home") });
/** The owner does not know yet whether it has the job; the caller asks again. */
const undecided = z.object({ kind: z.literal("undecided") });

/** Submits a job. */
export const submitCall = definePeerCall(
  "jobs.submit",
  z.object({
    jobId: z.string(),
    terms: queueTermsSchema,
    definition: jobDefinitionSchema,
    deadlineMilliseconds: z.number(),
    workspace: z.string().optional(),
  }),
  z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("accepted") }),
    z.object({ kind: z.literal("refused"), reason: z.string(), retryAfterMilliseconds: z.number() }),
    z.object({ kind: z.literal("unknown"), reason: z.string() }),
    notOwner,
  ]),
);

const jobRequest = z.object({
  pool: z.string(),
  jobId: z.string(),
  /** Omitted where callers are not authenticated. */
  caller: jobCallerSchema.optional(),
});

/** Reads a job's state. */
export const stateCall = definePeerCall(
  "jobs.state",
  jobRequest,
  z.discriminatedUnion("kind", [
    z.object({
      kind: z.literal("state"),
      state: z.enum(["queued", "active", "complete", "failed", "cancelled"]),
    }),
    z.object({ kind: z.literal("not-known") }),
    undecided,
    notOwner,
  ]),
);

/** Cancels a job. */
export const cancelCall = definePeerCall(
  "jobs.cancel",
  jobRequest,
  z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("cancelled") }),
    z.object({ kind: z.literal("not-accepted") }),
    z.object({ kind: z.literal("not-known") }),
    z.object({ kind: z.literal("unknown"), reason: z.string() }),
    notOwner,
  ]),
);

/** Counts the jobs of a queue of which no task has started. */
export const pendingCall = definePeerCall(
  "jobs.pending",
  z.object({ pool: z.string(), queue: z.string() }),
  z.discriminatedUnion("kind", [z.object({ kind: z.literal("pending"), count: z.number() }), notOwner]),
);

const arrivalSchema = z.object({ resources: resourcesSchema, atMilliseconds: z.number() });

/** Empties targets of a pool, announces capacity that will be added to the pool, and reads the pool's load. */
export const vacateCall = definePeerCall(
  "homes.vacate",
  z.object({
    pool: z.string(),
    targetIds: z.array(z.string()),
    arrivals: z.array(arrivalSchema).default([]),
  }),
  z.discriminatedUnion("kind", [
    z.object({
      kind: z.literal("report"),
      pool: z.string(),
      targets: z.array(
        z.object({
          targetId: z.string(),
          runs: z.number(),
          lastingRuns: z.number(),
          isVacating: z.boolean(),
          isKnown: z.boolean(),
        }),
      ),
      backlogCoreSeconds: z.number(),
      cores: z.number(),
      busyCores: z.number(),
      demandCores: z.number(),
      demandGrowthPerSecond: z.number().default(0),
      waitingLastingTasks: z.number(),
      wantedTargets: z.number().default(0),
    }),
    notOwner,
  ]),
);
