/**
 * Maintenance waves, which reboot instances batch by batch, and the availability budgets that limit them.
 * @packageDocumentation
 */
export {
  computeBudget,
  createBudgetWindow,
  type BudgetState,
  type BudgetWindow,
  type RequestCounts,
  type WindowCounts,
} from "./availability-budget.js";
export {
  createAvailabilityBudgets,
  type AvailabilityBudgets,
  type AvailabilityBudgetsParts,
} from "./budget-exchange.js";
export { hasUnusualFailures, probabilityOfAtLeast } from "./failure-threshold.js";
export type { InstanceControl, RebootProgress } from "./instance-control.js";
export { createHttpInstanceControl } from "./http-instance-control.js";
export { createWaveCommands, type WaveCommands, type WaveRequest } from "./wave-commands.js";
export { createMaintenanceGate, type MaintenanceGate, type MaintenanceGateParts } from "./wave-gate.js";
export { planBatches } from "./wave-plan.js";
export {
  waveLimitsSchema,
  waveRecordSchema,
  type WaveBatch,
  type WaveInstance,
  type WaveInstanceState,
  type WaveLimits,
  type WaveRecord,
  type WaveState,
} from "./wave-record.js";
export { createWaveRunner, type WaveRunner, type WaveRunnerParts } from "./wave-runner.js";
export { createWaveStore, type StoredWave, type WaveFailure, type WaveStore } from "./wave-store.js";
