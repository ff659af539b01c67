/**
 * Which pool an instance is in, and how it moves to another.
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
export { createPlacementCommands, type PlacementCommands } from "./commands.js";
export { createMover, type Mover, type MoverParts } from "./mover.js";
export { adoptInstances, type AdoptionParts } from "./adoption.js";
