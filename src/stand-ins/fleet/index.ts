/**
 * A whole small fleet in one process.
 * @packageDocumentation
 */
export { startFleet, waitUntil, type Fleet, type FleetOptions } from "./fleet.js";
