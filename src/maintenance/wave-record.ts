/**
 * The record of a maintenance wave. There is one wave at a time, so that two cannot take the same pool down together.
 * @packageDocumentation
 */
import * as z from "zod";

/** Key of the wave that runs, or of the last one. */
export const currentWaveKey = "waves/current";
/** Prefix of the records of all waves. */
export const wavePrefix = "waves/";

/** States of a wave. `halted` stopped itself and waits for an operator; `aborted` and `finished` are final. */
export const waveStates = ["running", "paused", "halted", "aborted", "finished"] as const;
/** State of a wave. */
export type WaveState = (typeof waveStates)[number];

/**
 * State of an instance in a wave. Each is recorded before what it stands for is done, so that any runner can do it
 * again. `needs-operator` drains on beyond its bound.
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

/** Checks the bounds of a wave. */
export const waveLimitsSchema = z.strictObject({
  /** Instances of the first batch. */
  firstBatchSize: z.int().min(1).default(1),
  /** Instances of each later batch. */
  batchSize: z.int().min(1).default(4),
  /** How long the first batch is watched before the second starts. */
  watchSeconds: z.int().min(0).default(60),
  /** How long an instance drains before a person is asked. */
  drainBoundSeconds: z.int().min(1).default(900),
  /** How long a reboot takes at most. */
  rebootBoundSeconds: z.int().min(1).default(600),
  /** Largest share of a pool that does not serve at a time. */
  poolShare: z.number().gt(0).max(1).default(0.25),
  /** Share of each service's availability budget that must be left. */
  minimumBudgetShare: z.number().min(0).max(1).default(0.25),
  /** Share of reboots that fail usually. */
  usualFailureShare: z.number().gt(0).lt(1).default(0.02),
});

/** Bounds of a wave. */
export type WaveLimits = z.infer<typeof waveLimitsSchema>;

const waveInstanceSchema = z.object({
  state: z.enum(waveInstanceStates),
  /** When the state was recorded, in milliseconds since the epoch. */
  since: z.number(),
});

/** Checks the record of a wave. */
export const waveRecordSchema = z.object({
  waveId: z.string(),
  /** Identifier of the write, to recognise it when its answer was lost. */
  writeId: z.string(),
  state: z.enum(waveStates),
  /** Why the wave halted, or what the batch at work waits for. */
  reason: z.string().optional(),
  startedAt: z.number(),
  /** Identifiers of the operators' last commands, newest first. */
  recentChanges: z.array(z.string()),
  limits: waveLimitsSchema,
  /** The batches in their order; all instances of one are in one rack. */
  batches: z.array(z.object({ zone: z.string(), rack: z.string(), instanceIds: z.array(z.string()) })),
  /** Index of the batch at work. */
  currentBatch: z.int(),
  /** When the watch of the first batch began. */
  watchedSince: z.number().optional(),
  instances: z.record(z.string(), waveInstanceSchema),
});

/** A wave. */
export type WaveRecord = z.infer<typeof waveRecordSchema>;
/** An instance in a wave. */
export type WaveInstance = z.infer<typeof waveInstanceSchema>;
/** A batch of a wave. */
export type WaveBatch = WaveRecord["batches"][number];

/**
 * Tells whether the wave has nothing left to do with an instance.
 * @param state - the instance's state
 * @returns true for the final states
 */
export function isFinalState(state: WaveInstanceState): boolean {
  return state === "returned" || state === "failed" || state === "skipped";
}

/**
 * Tells whether the wave keeps an instance from serving.
 * @param state - the instance's state
 * @returns true from the drain until the return
 */
export function isOutOfService(state: WaveInstanceState): boolean {
  return state !== "pending" && state !== "returned" && state !== "skipped";
}

/**
 * Tells whether a wave is at its end, its instances included.
 * @param wave - the wave
 * @returns true when another wave may start
 */
export function hasEnded(wave: WaveRecord): boolean {
  if (wave.state === "finished") return true;
  const states = Object.values(wave.instances).map(({ state }) => state);
  return wave.state === "aborted" && states.every((state) => state === "pending" || isFinalState(state));
}
