/**
 * Stand-in for the platform's machines.
 * @packageDocumentation
 */
export {
  MachineList,
  type MachineHooks,
  type MachineOrder,
  type MachineOrderResult,
  type MachineTimes,
} from "./machine-list.js";
