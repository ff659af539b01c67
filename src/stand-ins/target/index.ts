/**
 * Stand-in for a target instance.
 * @packageDocumentation
 */
export {
  startTargetStandIn,
  type TargetCounts,
  type TargetStandIn,
  type TargetStandInOptions,
} from "./target.js";
export { createTargetFaults, type TargetFaults } from "./faults.js";
