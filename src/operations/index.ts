/**
 * Operators' HTTP interface of an entry: configuration, placement, maintenance waves, capacity plan and metrics.
 * @packageDocumentation
 */
export type { CommandAnswer, CommandResult, RecordFailure } from "./command-answer.js";
export { createOperatorService, type OperatorRoutes, type OperatorServiceParts } from "./operator-service.js";
export type { EntryStatus } from "./status.js";
export { addWaveRoutes, type WaveRoutesParts } from "./wave-routes.js";
export { createPlanReader, planPath } from "./plan-routes.js";
