/**
 * What entries say to each other about demand and plans.
 * @packageDocumentation
 */
import * as z from "zod";
import { definePeerCall } from "../membership/index.js";

const poolTotalsSchema = z.object({
  /** Requests that asked for a slot since the entry started. */
  arrivals: z.number(),
  /** Requests that wait for a slot now. */
  waiting: z.number(),
  /** Runs that ended since the entry started. */
  runs: z.number(),
  /** Sum of the run times of these runs. */
  runMilliseconds: z.number(),
});

/** What one entry saw of a pool's demand since it started. */
export type PoolTotals = z.infer<typeof poolTotalsSchema>;

/** Reads what an entry saw of the demand, by pool. */
export const readDemand = definePeerCall(
  "capacity.read-demand",
  z.object({}),
  z.object({ incarnation: z.number(), pools: z.record(z.string(), poolTotalsSchema) }),
);

/** Reads the plan of the entry that holds the capacity leader role; others answer without decisions. */
export const readPlan = definePeerCall(
  "capacity.read-plan",
  z.object({}),
  z.object({ isHolder: z.boolean(), decisions: z.array(z.unknown()) }),
);
