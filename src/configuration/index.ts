/**
 * The operators' configuration: validation, acceptance into the store, history, and roll-out to all entries.
 * @packageDocumentation
 */
export { operatorConfigurationSchema } from "./configuration-schema.js";
export type {
  OperationConfiguration,
  OperatorConfiguration,
  PoolConfiguration,
  ServiceConfiguration,
  TeamConfiguration,
} from "./configuration-schema.js";
export { checkConfiguration } from "./check.js";
export { createConfigurationJsonSchema } from "./json-schema.js";
export { warnAboutConfiguration } from "./warnings.js";
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
export { findDifferences, type ConfigurationDifference } from "./difference.js";
export { readHistory, readRevision } from "./history.js";
export {
  createInForceReport,
  type ChangeProgress,
  type InForceReport,
  type RollOutStatus,
} from "./in-force-report.js";
export { startRollOut } from "./roll-out.js";
