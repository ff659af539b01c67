/**
 * Placement records, which assign instances to pools. There is one record for each availability zone, and an instance
 * appears only in its zone's record, so it cannot be in two pools.
 * @packageDocumentation
 */
import * as z from "zod";

/** Prefix of the placement records, one for each availability zone. */
export const placementPrefix = "placement/";

/**
 * State of an instance in its pool: `serving` accepts requests, `leaving` accepts no new ones and finishes those in
 * progress, `stopped` has none and may be rebooted.
 */
export type PlacementState = "serving" | "leaving" | "stopped";

/** Schema of one instance's placement. */
export const placedInstanceSchema = z.object({
  instanceId: z.string(),
  /** `IP:port`. */
  address: z.string(),
  rack: z.string(),
  pool: z.string(),
  state: z.enum(["serving", "leaving", "stopped"]),
  /** The pool that a leaving instance joins when its requests have ended; undefined when it is to be stopped. */
  moveTo: z.string().optional(),
  /** Identifier of the command that caused the current state. */
  changeId: z.string().optional(),
  /** Identifiers of the last commands, newest first, by which repetitions are recognised. */
  recentChanges: z.array(z.string()).default([]),
  /** Holder that alone may restore a stopped instance, such as a maintenance wave that reboots it. */
  reservedBy: z.string().optional(),
  /** Start of the current state in milliseconds since the epoch; strictly increasing with each change. */
  since: z.number(),
});

/** Schema of a zone's record. */
export const placementRecordSchema = z.object({
  zone: z.string(),
  /** Identifier of the write, by which the writer recognises it when the store's reply was lost. */
  writeId: z.string(),
  instances: z.record(z.string(), placedInstanceSchema),
});

/** Placement of one instance. */
export type PlacedInstance = z.infer<typeof placedInstanceSchema> & { state: PlacementState };

/** A zone's record. */
export type PlacementRecord = z.infer<typeof placementRecordSchema>;

/** Placement of an instance, with its availability zone. */
export interface Target extends PlacedInstance {
  readonly zone: string;
}

/**
 * Builds the store key of a zone's record.
 * @param zone - name of the availability zone
 * @returns {@link placementPrefix} and the zone
 */
export function placementKey(zone: string): string {
  return `${placementPrefix}${zone}`;
}

/**
 * Computes the `since` of a changed instance. It increases even when the clock does not, so that it identifies a state.
 * @param placed - the instance before the change
 * @returns milliseconds since the epoch, higher than the previous value
 */
export function nextSince(placed: PlacedInstance): number {
  return Math.max(Date.now(), placed.since + 1);
}
