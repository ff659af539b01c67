/**
 * All measurements by name.
 * @packageDocumentation
 */
import { buffer } from "./buffer/index.js";
import { claimsMeasure } from "./claims.js";
import { jobPathMeasure } from "./job-path/index.js";
import type { Measure } from "./measure.js";
import { membershipMeasure } from "./membership.js";
import { drainMeasure, movesMeasure } from "./moves.js";
import { overheadMeasure } from "./overhead.js";
import { rolloutMeasure } from "./rollout.js";
import { slopes } from "./slopes/index.js";
import { turnMeasure } from "./turn.js";
import { workspacesMeasure } from "./workspaces.js";

/** The measurements by the order of the promises that they speak for. */
export const measures: readonly Measure[] = [
  turnMeasure,
  claimsMeasure,
  overheadMeasure,
  jobPathMeasure,
  rolloutMeasure,
  membershipMeasure,
  movesMeasure,
  drainMeasure,
  buffer,
  slopes,
  workspacesMeasure,
];
