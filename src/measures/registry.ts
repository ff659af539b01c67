/**
 * All measurements by name.
 * @packageDocumentation
 */
import { claimsMeasure } from "./claims.js";
import type { Measure } from "./measure.js";
import { overheadMeasure } from "./overhead.js";

/** The measurements, one line each. */
export const measures: readonly Measure[] = [claimsMeasure, overheadMeasure];
