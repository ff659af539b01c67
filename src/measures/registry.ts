/**
 * All measurements by name.
 * @packageDocumentation
 */
import type { Measure } from "./measure.js";
import { drainMeasure, movesMeasure } from "./moves.js";

/** The measurements, one line each. */
export const measures: readonly Measure[] = [movesMeasure, drainMeasure];
