/**
 * What the store holds of a workspace's cap: the share of each pool, and what pools ask for.
 * @packageDocumentation
 */
import * as z from "zod";
import type { Resources } from "../jobs/index.js";
import { parseWith } from "../shared/index.js";

/** Prefix of the records, each under its workspace's name. */
export const quotaPrefix = "quotas/";

const amountSchema = z.number().nonnegative();
const amountsSchema = z.tuple([amountSchema, amountSchema, amountSchema]).readonly();

/** Millicores, megabytes of memory and accelerators. */
export type Amounts = z.infer<typeof amountsSchema>;

const poolShareSchema = z.object({
  /** What the pool holds; never less than what it may have running. */
  share: amountsSchema,
  /** What it would like to have beyond that; left out for nothing. */
  asks: amountsSchema.optional(),
  /** What its next start needs while nothing of the workspace runs there; left out when something does. */
  least: amountsSchema.optional(),
  /** The order of those that have a `least`. */
  turn: z.number().int().optional(),
});

/** The share of one pool. */
export type PoolShare = z.infer<typeof poolShareSchema>;

const quotaRecordSchema = z.object({
  pools: z.record(z.string(), poolShareSchema),
  /** Whether it replaces one that could not be read and some pools have not said yet what they have running. */
  isIncomplete: z.boolean().optional(),
});

/** The shares of one workspace. */
export type QuotaRecord = z.infer<typeof quotaRecordSchema>;

/** A workspace of which no pool holds anything. */
export const emptyQuotaRecord: QuotaRecord = { pools: {} };
/** Nothing of any resource. */
export const noAmounts: Amounts = [0, 0, 0];

/**
 * Reads a workspace's record.
 * @param value - the stored value
 * @returns the record; undefined when the value is not one
 */
export function decodeQuotaRecord(value: unknown): QuotaRecord | undefined {
  return parseWith(quotaRecordSchema, value).caseOf<QuotaRecord | undefined>({
    Left: () => undefined,
    Right: (record) => record,
  });
}

/**
 * Puts resources into the form of the record.
 * @param resources - the resources
 * @returns the amounts
 */
export function amountsOf({ cpuMillicores, memoryMegabytes, accelerators }: Resources): Amounts {
  return [cpuMillicores, memoryMegabytes, accelerators];
}

/**
 * Puts amounts into the form that placing uses.
 * @param amounts - the amounts
 * @returns the resources
 */
export function resourcesOf([cpuMillicores, memoryMegabytes, accelerators]: Amounts): Resources {
  return { cpuMillicores, memoryMegabytes, accelerators };
}

/** A resource, by its place among the amounts. */
export type ResourceIndex = 0 | 1 | 2;

/**
 * Computes amounts, one resource after the other.
 * @param compute - computes one
 * @returns all
 */
export function byResource(compute: (resource: ResourceIndex) => number): Amounts {
  return [compute(0), compute(1), compute(2)];
}

/** Tells whether there is something of any resource. */
export function isSome(amounts: Amounts | undefined): boolean {
  return amounts?.some((amount) => amount > 0) === true;
}

/** Adds amounts. */
export function addAmounts(left: Amounts, right: Amounts): Amounts {
  return byResource((resource) => left[resource] + right[resource]);
}
