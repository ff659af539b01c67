/**
 * Record of a maintenance wave in the store. Only one wave runs at a time, because two waves together could take too
 * many instances of a pool out of service.
 * @packageDocumentation
 */
import * as z from "zod";

/** Key of the current wave, or of the last one when none is running. */
export const currentWaveKey = "waves/current";
/** Key prefix of the records of all waves. */
export const wavePrefix = "waves/";

/** States of a wave. A `halted` wave stopped itself and waits for an operator; `aborted` and `finished` are final. */
export const waveStates = ["running", "paused", "halted", "aborted", "finished"] as const;
/** State of a wave. */
export type WaveState = (typeof waveStates)[number];

/**
 * States of an instance in a wave. Each state is recorded before its action is carried out, so that any runner can
 * repeat the action. An instance in `needs-operator` has exceeded the time limit of its drain and continues to drain.
 */
export const waveInstanceStates = [
  "pending",
  "draining",
  "needs-operator",
  "stopped",
  "rebooting",
  "returned",
  "failed",
  "skipped",
] as const;
/** State of an instance in a wave. */
export type WaveInstanceState = (typeof waveInstanceStates)[number];

/** Schema of a wave's limits. */
export const waveLimitsSchema = z.strictObject({
  /** Largest number of instances in the first batch. */
  firstBatchSize: z.int().min(1).default(1),
  /** Largest number of instances in each later batch. */
  batchSize: z.int().min(1).default(4),
  /** Observation period between the end of the first batch and the start of the second. */
  watchSeconds: z.int().min(0).default(60),
  /** Duration of a drain after which the instance is marked `needs-operator`. */
  drainBoundSeconds: z.int().min(1).default(900),
  /** Duration of a reboot after which it counts as failed. */
  rebootBoundSeconds: z.int().min(1).default(600),
  /** Largest share of a pool's instances that may be out of service at once; one instance is always allowed. */
  poolShare: z.number().gt(0).max(1).default(0.25),
  /** Smallest share of each affected service's availability budget that must be left for a drain to start. */
  minimumBudgetShare: z.number().min(0).max(1).default(0.25),
  /** Usual share of reboots that fail; the wave halts when significantly more do. */
  usualFailureShare: z.number().gt(0).lt(1).default(0.02),
});

/** Limits of a wave. */
export type WaveLimits = z.infer<typeof waveLimitsSchema>;

const waveInstanceSchema = z.object({
  state: z.enum(waveInstanceStates),
  /** When the state was recorded, in milliseconds since the epoch. */
  since: z.number(),
});

/** Schema of a wave's record. */
export const waveRecordSchema = z.object({
  waveId: z.string(),
  /** Identifier of the last write, by which a writer recognises its own write after a lost response. */
  writeId: z.string(),
  state: z.enum(waveStates),
  /** Why the wave halted, or why a drain of the current batch has to wait. */
  reason: z.string().optional(),
  startedAt: z.number(),
  /** Identifiers of the operators' last commands, newest first; a repeated command is recognised by them. */
  recentChanges: z.array(z.string()),
  limits: waveLimitsSchema,
  /** The batches in the order of execution; the instances of each are in one rack. */
  batches: z.array(z.object({ zone: z.string(), rack: z.string(), instanceIds: z.array(z.string()) })),
  /** Index of the current batch; the number of batches once the wave has finished. */
  currentBatch: z.int(),
  /** When the observation of the first batch began, in milliseconds since the epoch. */
  watchedSince: z.number().optional(),
  instances: z.record(z.string(), waveInstanceSchema),
});

/** A maintenance wave as stored. */
export type WaveRecord = z.infer<typeof waveRecordSchema>;
/** An instance in a wave. */
export type WaveInstance = z.infer<typeof waveInstanceSchema>;
/** A batch of a wave. */
export type WaveBatch = WaveRecord["batches"][number];

/**
 * Returns whether the wave has completed its work on an instance.
 * @param state - the instance's state
 * @returns true for `returned`, `failed` and `skipped`
 */
export function isFinalState(state: WaveInstanceState): boolean {
  return state === "returned" || state === "failed" || state === "skipped";
}

/**
 * Returns whether the wave keeps an instance out of service.
 * @param state - the instance's state
 * @returns true from the start of the drain until the instance returns; also for a failed instance
 */
export function isOutOfService(state: WaveInstanceState): boolean {
  return state !== "pending" && state !== "returned" && state !== "skipped";
}

/**
 * Returns whether a wave has ended and none of its instances is still being processed.
 * @param wave - the wave
 * @returns true when another wave may start
 */
export function hasEnded(wave: WaveRecord): boolean {
  if (wave.state === "finished") return true;
  const states = Object.values(wave.instances).map(({ state }) => state);
  return wave.state === "aborted" && states.every((state) => state === "pending" || isFinalState(state));
}
