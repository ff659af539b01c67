/**
 * The stored record of a workspace's quota: the share that each pool holds, and the resources that pools request.
 * @packageDocumentation
 */
import * as z from "zod";
import type { Resources } from "../jobs/index.js";
import { parseWith } from "../shared/index.js";

/** Key prefix of the records; the workspace's name follows. */
export const quotaPrefix = "quotas/";

const amountSchema = z.number().nonnegative();
const amountsSchema = z.tuple([amountSchema, amountSchema, amountSchema]).readonly();

/** Millicores, megabytes of memory and number of accelerators, in this order. */
export type Amounts = z.infer<typeof amountsSchema>;

const poolShareSchema = z.object({
  /** Amounts that the pool holds; never less than the amounts of tasks that it may have running. */
  share: amountsSchema,
  /** Amounts that the pool requests beyond its share; absent when it requests none. */
  asks: amountsSchema.optional(),
  /** Amounts of the pool's next start while no task of the workspace runs there; absent when one does. */
  least: amountsSchema.optional(),
  /** Queue position among the pools that have a `least`; the lowest is served first. */
  turn: z.number().int().optional(),
});

/** The share of one pool. */
export type PoolShare = z.infer<typeof poolShareSchema>;

const quotaRecordSchema = z.object({
  pools: z.record(z.string(), poolShareSchema),
  /** Set when the record replaces an unreadable one and some pools have not reported their running tasks yet. */
  isIncomplete: z.boolean().optional(),
});

/** The shares of one workspace. */
export type QuotaRecord = z.infer<typeof quotaRecordSchema>;

/** The record of a workspace of which no pool holds a share. */
export const emptyQuotaRecord: QuotaRecord = { pools: {} };
/** Zero of each resource. */
export const noAmounts: Amounts = [0, 0, 0];

/**
 * Decodes a workspace's record.
 * @param value - the stored value
 * @returns the record; undefined when the value is not a valid record
 */
export function decodeQuotaRecord(value: unknown): QuotaRecord | undefined {
  return parseWith(quotaRecordSchema, value).caseOf<QuotaRecord | undefined>({
    Left: () => undefined,
    Right: (record) => record,
  });
}

/**
 * Converts resources to the form of the record.
 * @param resources - the resources
 * @returns the same quantities as amounts
 */
export function amountsOf({ cpuMillicores, memoryMegabytes, accelerators }: Resources): Amounts {
  return [cpuMillicores, memoryMegabytes, accelerators];
}

/**
 * Converts amounts to the form that placement uses.
 * @param amounts - the amounts
 * @returns the same quantities as resources
 */
export function resourcesOf([cpuMillicores, memoryMegabytes, accelerators]: Amounts): Resources {
  return { cpuMillicores, memoryMegabytes, accelerators };
}

/** Index of a resource in {@link Amounts}. */
export type ResourceIndex = 0 | 1 | 2;

/**
 * Computes amounts for each resource separately.
 * @param compute - returns the amount of one resource
 * @returns the amounts of all resources
 */
export function byResource(compute: (resource: ResourceIndex) => number): Amounts {
  return [compute(0), compute(1), compute(2)];
}

/** Whether the amount of any resource is above 0. */
export function isSome(amounts: Amounts | undefined): boolean {
  return amounts?.some((amount) => amount > 0) === true;
}

/** Adds two amounts resource by resource. */
export function addAmounts(left: Amounts, right: Amounts): Amounts {
  return byResource((resource) => left[resource] + right[resource]);
}
