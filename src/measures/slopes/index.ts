/**
 * Measurement `slopes`: what the parts of an entry cost by size, in one process and at small sizes.
 * @packageDocumentation
 */
import type { Measure } from "../measure.js";
import { measureConfigurationSlopes } from "./configuration.js";
import { measurePeerSlopes } from "./peers.js";
import { measurePlacementSlopes } from "./placement.js";
import { measurePlannerSlopes } from "./planner.js";
import { measureFleetSlopes, measureRequestSlopes } from "./requests.js";
import { measureMirrorSlopes } from "./store.js";

/** Slope and intercept of each part's cost, by least squares. */
export const slopes: Measure = {
  name: "slopes",
  description: "processor time, bytes and heap of each part of an entry by size",
  run: async (seed) => [
    ...(await measurePlacementSlopes()),
    ...(await measureConfigurationSlopes()),
    ...(await measureMirrorSlopes()),
    ...(await measureRequestSlopes(seed)),
    ...(await measurePlannerSlopes()),
    ...(await measurePeerSlopes()),
    ...(await measureFleetSlopes(seed)),
  ],
};
