/**
 * All measurements by name.
 * @packageDocumentation
 */
import type { Measure } from "./measure.js";
import { buffer } from "./buffer/index.js";
import { membershipMeasure } from "./membership.js";
import { rolloutMeasure } from "./rollout.js";
import { slopes } from "./slopes/index.js";

/** The measurements, one line each. */
export const measures: readonly Measure[] = [rolloutMeasure, membershipMeasure, buffer, slopes];
