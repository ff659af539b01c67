/**
 * The operators' text: checked, accepted, rolled out and kept in force.
 * @packageDocumentation
 */
export { textSchema } from "./text-schema.js";
export type { OperationText, OperatorText, PoolText, ServiceText, TeamText } from "./text-schema.js";
export { checkText } from "./check.js";
export {
  configurationPrefix,
  configurationRecordSchema,
  currentConfigurationKey,
  type AcceptedConfiguration,
} from "./record.js";
export {
  createConfigurationKeeper,
  followStore,
  type ConfigurationEvents,
  type ConfigurationKeeper,
} from "./keeper.js";
export { applyChange, type ApplyFailure, type ConfigurationChange } from "./apply.js";
export { startRollOut } from "./roll-out.js";
