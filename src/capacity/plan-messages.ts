/**
 * What the planner takes and what it decides.
 * @packageDocumentation
 */
import type { Target } from "../pools/index.js";
import type { PoolDemand } from "./demand-tracker.js";
import type { PoolObjective, PoolRequirement } from "./requirement.js";

/** A pool as the planner sees it. */
export interface PlannedPool extends PoolObjective {
  readonly name: string;
  /** Whether its instances are lent to other pools. */
  readonly spare: boolean;
  /** Estimated demand; undefined while nothing is known, which keeps the pool as it is. */
  readonly demand: PoolDemand | undefined;
  /** Share of the availability budget of the present window that is spent already. */
  readonly spentBudgetShare: number;
}

/** An instance as the planner sees it. */
export type PlannedInstance = Pick<
  Target,
  "instanceId" | "zone" | "rack" | "pool" | "state" | "since" | "moveTo"
>;

/** Bounds of the planner. */
export interface PlannerLimits {
  readonly maximumMovesInFlight: number;
  /** An instance is given up by its pool only after this stay. */
  readonly minimumStaySeconds: number;
  /** A pool gives an instance up only if it could carry this much more than its recent peak without it. */
  readonly releaseMarginShare: number;
}

/** What the planner decides on. */
export interface PlannerInput {
  readonly atMilliseconds: number;
  readonly pools: readonly PlannedPool[];
  readonly instances: readonly PlannedInstance[];
  /** Instances that a maintenance wave drains soon. */
  readonly drainPlanned: ReadonlySet<string>;
  readonly limits: PlannerLimits;
}

/** One decision with its reason. */
export type PlanDecision =
  | {
      readonly action: "move";
      readonly instanceId: string;
      readonly from: string;
      readonly to: string;
      readonly reason: string;
    }
  | {
      /** `hold`: the pool has what it needs; `shortage`: it has less and nothing can be moved now. */
      readonly action: "hold" | "shortage";
      readonly pool: string;
      readonly held: number;
      readonly required: number;
      readonly requirement: PoolRequirement | undefined;
      readonly reason: string;
    };

/** Bounds used where the operators give none. */
export const defaultPlannerLimits: PlannerLimits = {
  maximumMovesInFlight: 3,
  minimumStaySeconds: 300,
  releaseMarginShare: 0.02,
};
