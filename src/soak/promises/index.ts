/**
 * The promises that a soak checks. Each is a pure function of the recorded history.
 * @packageDocumentation
 */
import type { SoakBounds } from "../bounds.js";
import type { SoakHistory } from "../history.js";
import {
  acceptedEnds,
  acceptedIsAnsweredAtTheEnd,
  acceptedIsKnown,
  answeredInTime,
  answeredWhileStopping,
  cancellationShows,
  completeIsTrue,
  endHasCause,
  finalStateStays,
  queuesAreFound,
} from "./answers.js";
import { readFacts, type SoakPromise, type Violation } from "./facts.js";
import { longRunningTasksRunAgain } from "./long-running.js";
import {
  cancelledStops,
  earlierStepsFirst,
  fencedStarts,
  noStartAfterLastAttempt,
  noStartAfterSuccess,
  noStartOnDraining,
  oneRunAtATime,
  refusedNeverRuns,
  rightPool,
} from "./runs.js";
import { oneHolder, processesStay, stopsInTime, waveBound, waveCompleteIsTrue } from "./environment.js";

export { hasSettled } from "./facts.js";
export type { SoakPromise, Violation } from "./facts.js";

/** All promises, in no particular order. */
export const soakPromises: readonly SoakPromise[] = [
  oneRunAtATime,
  noStartAfterSuccess,
  noStartAfterLastAttempt,
  earlierStepsFirst,
  rightPool,
  fencedStarts,
  refusedNeverRuns,
  cancelledStops,
  noStartOnDraining,
  acceptedIsKnown,
  acceptedIsAnsweredAtTheEnd,
  acceptedEnds,
  completeIsTrue,
  endHasCause,
  finalStateStays,
  cancellationShows,
  answeredInTime,
  answeredWhileStopping,
  queuesAreFound,
  longRunningTasksRunAgain,
  waveBound,
  waveCompleteIsTrue,
  oneHolder,
  processesStay,
  stopsInTime,
];

/**
 * Checks a history against all promises.
 * @param history - the recorded events of the soak
 * @param bounds - the time limits that the entries were configured with
 * @returns the violations in order of time
 */
export function findViolations(history: SoakHistory, bounds: SoakBounds): Violation[] {
  const facts = readFacts(history, bounds);
  return soakPromises
    .flatMap((promise) => promise.find(facts).map((found) => ({ promise: promise.name, ...found })))
    .sort((left, right) => left.at - right.at);
}
