/**
 * Peer calls by which entries read each other's demand and plans.
 * @packageDocumentation
 */
import * as z from "zod";
import { definePeerCall } from "../membership/index.js";

const poolTotalsSchema = z.object({
  /** Requests that needed a slot since the entry started; retries are not counted. */
  arrivals: z.number(),
  /** Requests that wait for a slot now. */
  waiting: z.number(),
  /** Runs that ended successfully since the entry started. */
  runs: z.number(),
  /** Sum of the run times of these runs. */
  runMilliseconds: z.number(),
});

/** Demand of a pool at one entry since that entry started. */
export type PoolTotals = z.infer<typeof poolTotalsSchema>;

/** Reads the demand totals of an entry, by pool. The incarnation changes when the entry restarts and counts from 0 again. */
export const readDemand = definePeerCall(
  "capacity.read-demand",
  z.object({}),
  z.object({ incarnation: z.number(), pools: z.record(z.string(), poolTotalsSchema) }),
);

/** Reads the plan of the entry that holds the capacity leader role; other entries answer without decisions. */
export const readPlan = definePeerCall(
  "capacity.read-plan",
  z.object({}),
  z.object({ isHolder: z.boolean(), decisions: z.array(z.unknown()) }),
);
