/**
 * Placement of instances in pools: records, view, commands, moves and reconciliation with the platform's list.
 * @packageDocumentation
 */
export {
  placementKey,
  placementPrefix,
  placementRecordSchema,
  type PlacedInstance,
  type PlacementRecord,
  type PlacementState,
  type Target,
} from "./placement-record.js";
export { createPlacementView, type PlacementEvents, type PlacementView } from "./placement-view.js";
export {
  createPlacementWriter,
  type PlacementChange,
  type PlacementFailure,
  type PlacementWriter,
  type ZoneInstances,
} from "./placement-writer.js";
export { createPlacementCommands, type PlacementCommands, type RestoreOptions } from "./commands.js";
export { createMover, type Mover, type MoverParts } from "./mover.js";
export { createAdoption, type Adoption, type AdoptionParts } from "./adoption.js";
export { createDepartureCheck, type DepartureCheck, type DepartureCheckParts } from "./departure.js";
export { createKnownEntries, type KnownEntries, type KnownEntriesParts } from "./known-entries.js";
export {
  createViewConfidence,
  viewBoundMilliseconds,
  type ViewConfidence,
  type ViewConfidenceParts,
} from "./view-confidence.js";
export { placementRevisionReport, startPlacementExchange } from "./placement-exchange.js";
