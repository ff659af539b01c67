/**
 * What the store holds of a pool's home.
 * @packageDocumentation
 */
import * as z from "zod";
import { parseWith } from "../shared/index.js";
import { membersPrefix } from "./entry-session.js";

/** Prefix of the records that say which entry is a pool's home. They end with the entry's lease. */
export const homePrefix = `${membersPrefix}homes/`;
/** Prefix of what a pool's next home has to know. */
export const inheritancePrefix = "inheritance/";

const homeRecordSchema = z.object({
  entryId: z.string(),
  /** Names this holding of the pool, unlike any other. */
  term: z.string(),
  /** Rises with each rewrite by the same holder. */
  barrier: z.number(),
});

/** Which entry is a pool's home. */
export type HomeRecord = z.infer<typeof homeRecordSchema>;

const inheritanceSchema = z.object({
  /** How many homes the pool has had. */
  homes: z.number(),
  /** Targets that may run something: their addresses and starts, by identifier. */
  targets: z.record(z.string(), z.object({ address: z.string(), startedAtUnix: z.number() })),
});

/** What a pool's next home has to know. */
export type HomeInheritance = z.infer<typeof inheritanceSchema>;

/**
 * Reads a home's record.
 * @param value - the stored value
 * @returns the record; undefined when the value is not one
 */
export function decodeHomeRecord(value: unknown): HomeRecord | undefined {
  return parseWith(homeRecordSchema, value).caseOf<HomeRecord | undefined>({
    Left: () => undefined,
    Right: (record) => record,
  });
}

/**
 * Reads what an earlier home left.
 * @param value - the stored value; undefined for a pool without an earlier home
 * @returns the inheritance
 */
export function decodeInheritance(value: unknown): HomeInheritance {
  return parseWith(inheritanceSchema, value).orDefault({ homes: 0, targets: {} });
}
