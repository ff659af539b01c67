/**
 * Estimates the demand of pools and plans the moves of instances between them.
 * @packageDocumentation
 */
export {
  createDemandTracker,
  type DemandSample,
  type DemandTracker,
  type PoolDemand,
} from "./demand-tracker.js";
export { fewestServers, lateShare, type WaitObjective } from "./erlang.js";
export { planMoves } from "./plan.js";
export {
  defaultPlannerLimits,
  type PlanDecision,
  type PlannedInstance,
  type PlannedPool,
  type PlannerInput,
  type PlannerLimits,
} from "./plan-messages.js";
export { requireInstances, type PoolObjective, type PoolRequirement } from "./requirement.js";
export { createRunTimeEstimator, type RunTimeEstimator } from "./run-time-estimator.js";
export { findSpareReserve, type PoolLoad, type SpareReserve } from "./spare-reserve.js";
export { createSurgeDetector, expectedSurge, type SurgeDetector, type SurgeShape } from "./surge-detector.js";
export { createDemandCounter, DemandCountingAllocator, type DemandCounter } from "./demand-counter.js";
export { createDemandCollector, type CollectedPool, type DemandCollector } from "./demand-collector.js";
export {
  createCapacityManager,
  type CapacityManager,
  type CapacityManagerParts,
  type PlanReport,
} from "./capacity-manager.js";
export { readDemand, readPlan, type PoolTotals } from "./messages.js";
export { describePools, listCollectedPools } from "./configured-pools.js";
