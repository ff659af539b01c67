/**
 * Operators' side of an entry.
 * @packageDocumentation
 */
export {
  createOperatorService,
  type CommandAnswer,
  type CommandResult,
  type OperatorRoutes,
  type OperatorServiceParts,
} from "./operator-service.js";
export type { EntryStatus } from "./status.js";
export { addWaveRoutes, type WaveRoutesParts } from "./wave-routes.js";
export { createPlanReader, planPath } from "./plan-routes.js";
