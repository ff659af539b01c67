/**
 * Input and decisions of the planner.
 * @packageDocumentation
 */
import type { Target } from "../pools/index.js";
import type { PoolDemand } from "./demand-tracker.js";
import type { PoolObjective, PoolRequirement } from "./requirement.js";

/** A pool as input of the planner. */
export interface PlannedPool extends PoolObjective {
  readonly name: string;
  /** Whether this is the spare pool, whose instances move to other pools when those need them. */
  readonly spare: boolean;
  /** Estimated demand; undefined while it is unknown, in which case the pool keeps its instances. */
  readonly demand: PoolDemand | undefined;
  /** Share of the availability budget of the present window that is already spent. */
  readonly spentBudgetShare: number;
}

/** An instance as input of the planner. */
export type PlannedInstance = Pick<
  Target,
  "instanceId" | "zone" | "rack" | "pool" | "state" | "since" | "moveTo"
>;

/** Limits of the planner. */
export interface PlannerLimits {
  readonly maximumMovesInFlight: number;
  /** An instance may leave a pool only after this time in it, so that instances do not move back and forth. */
  readonly minimumStaySeconds: number;
  /** A pool gives up an instance only if the others could carry its recent peak load plus this share. */
  readonly releaseMarginShare: number;
}

/** Input of the planner. */
export interface PlannerInput {
  readonly atMilliseconds: number;
  readonly pools: readonly PlannedPool[];
  readonly instances: readonly PlannedInstance[];
  /** Identifiers of instances that a maintenance wave will drain soon. */
  readonly drainPlanned: ReadonlySet<string>;
  readonly limits: PlannerLimits;
}

/** A decision of the planner with its reason. */
export type PlanDecision =
  | {
      readonly action: "move";
      readonly instanceId: string;
      readonly from: string;
      readonly to: string;
      readonly reason: string;
    }
  | {
      /** `hold`: the pool has the instances that it needs; `shortage`: it has too few and none can be moved to it now. */
      readonly action: "hold" | "shortage";
      readonly pool: string;
      readonly held: number;
      readonly required: number;
      readonly requirement: PoolRequirement | undefined;
      readonly reason: string;
    };

/** Limits that the capacity manager plans with. */
export const defaultPlannerLimits: PlannerLimits = {
  maximumMovesInFlight: 3,
  minimumStaySeconds: 300,
  releaseMarginShare: 0.02,
};
