/**
 * All measurements by name.
 * @packageDocumentation
 */
import type { Measure } from "./measure.js";
import { turnMeasure } from "./turn.js";

/** The measurements, one line each. */
export const measures: readonly Measure[] = [turnMeasure];
