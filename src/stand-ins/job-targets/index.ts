/**
 * Stand-ins of targets that run tasks.
 * @packageDocumentation
 */
export { startJobFleet, type JobFleet, type JobFleetOptions } from "./job-fleet.js";
export {
  JobTarget,
  type JobTargetWorld,
  type LeaseLapse,
  type RunRecord,
  type TaskBehaviour,
} from "./job-target.js";
