/**
 * The machines behind the targets: maintenance waves, moves between pools, and the orders for both.
 * @packageDocumentation
 */
export type {
  Machine,
  MachineControl,
  MachineOrderHeader,
  MachineOrderOutcome,
  MaintenanceWave,
} from "./machine-control.js";
export { FleetManager, type FleetManagerOptions, type FleetPool } from "./fleet-manager.js";
export {
  planMoves,
  type MovePlan,
  type PlannedMachine,
  type PlannedMove,
  type PlannedPool,
} from "./move-plan.js";
export { planWaveStep, type WaveCandidate, type WavePressure, type WaveStep } from "./wave-plan.js";
