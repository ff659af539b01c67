/**
 * What the store holds of a pool's owner.
 * @packageDocumentation
 */
import * as z from "zod";
import { parseWith } from "../shared/index.js";
import { membersPrefix } from "./entry-session.js";

/** Prefix of the records that say which entry is a pool's owner. They end with the entry's lease. */
export const ownerPrefix = `${membersPrefix}homes/`;
/** Prefix of what a pool's next owner has to know. */
export const takeoverStatePrefix = "inheritance/";

const ownerRecordSchema = z.object({
  entryId: z.string(),
  /** Names this holding of the pool, unlike any other. */
  term: z.string(),
  /** Rises with each rewrite by the same holder. */
  barrier: z.number(),
});

/** Which entry is a pool's owner. */
export type OwnerRecord = z.infer<typeof ownerRecordSchema>;

const takeoverStateSchema = z.object({
  /** How many owners the pool has had. */
  homes: z.number(),
  /** Targets that may run something: their addresses and starts, by identifier. */
  targets: z.record(z.string(), z.object({ address: z.string(), startedAtUnix: z.number() })),
});

/** What a pool's next owner has to know. */
export type TakeoverState = z.infer<typeof takeoverStateSchema>;

/**
 * Reads an owner's record.
 * @param value - the stored value
 * @returns the record; undefined when the value is not one
 */
export function decodeOwnerRecord(value: unknown): OwnerRecord | undefined {
  return parseWith(ownerRecordSchema, value).caseOf<OwnerRecord | undefined>({
    Left: () => undefined,
    Right: (record) => record,
  });
}

/**
 * Reads what an earlier owner left.
 * @param value - the stored value; undefined for a pool without an earlier owner
 * @returns the takeover state
 */
export function decodeTakeoverState(value: unknown): TakeoverState {
  return parseWith(takeoverStateSchema, value).orDefault({ homes: 0, targets: {} });
}
