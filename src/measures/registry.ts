/**
 * All measurements by name.
 * @packageDocumentation
 */
import type { Measure } from "./measure.js";
import { membershipMeasure } from "./membership.js";
import { rolloutMeasure } from "./rollout.js";

/** The measurements, one line each. */
export const measures: readonly Measure[] = [rolloutMeasure, membershipMeasure];
