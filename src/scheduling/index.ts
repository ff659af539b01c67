/**
 * Scheduling decisions as pure computations, without network and clock: admission, order, placement, forecasts, and the
 * pace of best-effort tasks.
 * @packageDocumentation
 */
export { admitJob, type JobAdmission, type JobForecast } from "./admission.js";
export {
  admitInShare,
  type ShareAdmission,
  type ShareRefusal,
  type WorkspaceShareStatus,
} from "./share-admission.js";
export { createDemandForecast, createWorkRate, type DemandForecast, type WorkRate } from "./demand.js";
export {
  reserveJob,
  forecastEnd,
  planRoom,
  plannableShare,
  type ForecastJob,
  type ForecastStep,
  type RoomArrival,
  type RoomPlan,
} from "./forecast.js";
export { countWantedTargets, type UnplacedTasks } from "./long-running-room.js";
export { createForecastMargin, type ForecastMargin } from "./forecast-margin.js";
export { compareJobs, type OrderedJob } from "./order.js";
export { choosePace, type TailLatency } from "./pacing.js";
export {
  allocatePlace,
  chooseGangPlaces,
  choosePlace,
  countPlaces,
  hasRequiredLabel,
  hasRoomFor,
  type StepPlace,
} from "./placement.js";
export { projectRunTime, timeRun } from "./run-progress.js";
export {
  createTaskRunTimes,
  type ExpectedRunTime,
  type QueueRunTimes,
  type TaskRunTimes,
} from "./run-times.js";
export { add, chargedResources, fits, scale, subtract, type TargetView } from "./target-view.js";
export { isLongRunningJob, jobCoreSeconds, longestChainMilliseconds, stepCoreSeconds } from "./work.js";
