/**
 * Stored records about the owner of a pool.
 * @packageDocumentation
 */
import * as z from "zod";
import { memberRecordSchema } from "../membership/index.js";
import { parseWith } from "../shared/index.js";
import { membersPrefix } from "./member-registration.js";

/** Prefix of the records that name the entry which owns a pool. They are deleted when the entry's lease ends. */
export const ownerPrefix = `${membersPrefix}homes/`;
/** Prefix of the state that a pool's next owner needs. */
export const takeoverStatePrefix = "inheritance/";

const ownerRecordSchema = z.object({
  entryId: z.string(),
  /**
   * The entry's member record as of the take, by which other entries reach the owner when its member record is gone. Omitted in
   * records of earlier versions.
   */
  member: memberRecordSchema.optional(),
  /** A unique identifier of this ownership of the pool. */
  term: z.string(),
  /** Increases with each rewrite by the same owner, which fences transactions of unknown outcome. */
  barrier: z.number(),
});

/** Names the entry that owns a pool. */
export type OwnerRecord = z.infer<typeof ownerRecordSchema>;

const takeoverStateSchema = z.object({
  /** How many times the pool has been taken. */
  homes: z.number(),
  /** The targets that may have runs, by target identifier. */
  targets: z.record(
    z.string(),
    z.object({
      address: z.string(),
      startedAtUnix: z.number(),
      /** Highest store revision of a job that may have runs on the target; omitted while any job may. */
      unusedSince: z.number().optional(),
      /** Whether another process has answered in place of this one, whose runs may hold the longest lease. */
      isReplaced: z.boolean().optional(),
    }),
  ),
  /** Whether targets that are not listed may have runs too, since the state before this one could not be read. */
  isIncomplete: z.boolean().optional(),
});

/** The state that a pool's next owner needs. */
export type TakeoverState = z.infer<typeof takeoverStateSchema>;

/**
 * Decodes an owner record.
 * @param value - the stored value
 * @returns the record; undefined when the value does not match the schema
 */
export function decodeOwnerRecord(value: unknown): OwnerRecord | undefined {
  return parseWith(ownerRecordSchema, value).caseOf<OwnerRecord | undefined>({
    Left: () => undefined,
    Right: (record) => record,
  });
}

/**
 * Decodes the state that an earlier owner left.
 * @param value - the stored value; undefined for a pool without an earlier owner
 * @param revision - the store revision of the value
 * @returns the takeover state; an incomplete one when the value does not match the schema, with the revision as the number of
 * takes, which it exceeds
 */
export function decodeTakeoverState(value: unknown, revision: number): TakeoverState {
  if (value === undefined) return { homes: 0, targets: {} };
  return parseWith(takeoverStateSchema, value).orDefault({
    homes: revision,
    targets: {},
    isIncomplete: true,
  });
}
