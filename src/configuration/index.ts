/**
 * The operators' text: checked, accepted, rolled out and kept in force.
 * @packageDocumentation
 */
export { textSchema } from "./text-schema.js";
export type { OperationText, OperatorText, PoolText, ServiceText, TeamText } from "./text-schema.js";
export { checkText } from "./check.js";
export { createTextJsonSchema } from "./json-schema.js";
export { warnAboutText } from "./warnings.js";
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
export {
  applyChange,
  rollBack,
  type ApplyFailure,
  type ConfigurationChange,
  type RollBackRequest,
} from "./apply.js";
export { findDifferences, type TextDifference } from "./difference.js";
export { readHistory, readRevision } from "./history.js";
export {
  createInForceReport,
  type ChangeProgress,
  type InForceReport,
  type RollOutStatus,
} from "./in-force-report.js";
export { startRollOut } from "./roll-out.js";
