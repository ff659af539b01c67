/**
 * Records of which pool an instance is in. Each instance stands in the one record of its availability zone,
 * so that it cannot be in two pools.
 * @packageDocumentation
 */
import * as z from "zod";

/** Prefix of the placement records, one for each availability zone. */
export const placementPrefix = "placement/";

/**
 * What an instance is doing for its pool: `serving` takes work, `leaving` takes no new work and finishes what
 * runs, `stopped` has no work and may be rebooted.
 */
export type PlacementState = "serving" | "leaving" | "stopped";

/** Checks where one instance is placed. */
export const placedInstanceSchema = z.object({
  instanceId: z.string(),
  /** `IP:port`. */
  address: z.string(),
  rack: z.string(),
  pool: z.string(),
  state: z.enum(["serving", "leaving", "stopped"]),
  /** The pool that the instance joins once it has no work. */
  moveTo: z.string().optional(),
  /** Identifier of the command that caused the present state. */
  changeId: z.string().optional(),
  /** Identifiers of the last commands, newest first; repeating one of them changes nothing. */
  recentChanges: z.array(z.string()).default([]),
  /** Who alone may let a stopped instance serve again, such as a maintenance wave that reboots it. */
  reservedBy: z.string().optional(),
  /** When the present state began, in milliseconds since the epoch; higher after each change. */
  since: z.number(),
});

/** Checks a zone's record. */
export const placementRecordSchema = z.object({
  zone: z.string(),
  /** Identifier of the write, to recognise it when its answer was lost. */
  writeId: z.string(),
  instances: z.record(z.string(), placedInstanceSchema),
});

/** Where one instance is placed. */
export type PlacedInstance = z.infer<typeof placedInstanceSchema> & { state: PlacementState };

/** A zone's record. */
export type PlacementRecord = z.infer<typeof placementRecordSchema>;

/** An instance with its availability zone. */
export interface Target extends PlacedInstance {
  readonly zone: string;
}

/**
 * Names the record of a zone.
 * @param zone - the availability zone
 * @returns the key in the store
 */
export function placementKey(zone: string): string {
  return `${placementPrefix}${zone}`;
}

/**
 * Finds the time of a change. It rises even when the clock does not, so that it tells states apart.
 * @param placed - the instance before the change
 * @returns milliseconds since the epoch
 */
export function nextSince(placed: PlacedInstance): number {
  return Math.max(Date.now(), placed.since + 1);
}
