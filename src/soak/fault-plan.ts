/**
 * The faults of a soak, all drawn from its seed before it starts.
 * @packageDocumentation
 */
import { createRandom, type Random } from "../shared/index.js";

/** Every kind of fault. */
export const faultNames = [
  "entry-kill",
  "entry-kill-all",
  "entry-pause",
  "entry-stop",
  "entry-stop-series",
  "entry-reload",
  "store-slow",
  "store-down",
  "store-refusing",
  "store-lost-answers",
  "store-late-writes",
  "store-forgets",
  "store-link-silent",
  "store-link-one-way",
  "store-link-reset",
  "store-link-delay",
  "store-open-connections-silent",
  "target-restart",
  "target-crash",
  "target-drain",
  "target-late-orders",
  "target-link-silent",
  "target-link-one-way",
  "target-link-reset",
  "target-link-delay",
  "target-open-connections-silent",
  "configuration-change",
  "configuration-storm",
  "wave",
  "burst",
  "cancellations",
  "poison",
] as const;

/** A kind of fault. */
export type FaultName = (typeof faultNames)[number];

/** One fault as it will be played. */
export interface PlannedFault {
  readonly name: FaultName;
  /** Milliseconds after the start. */
  readonly at: number;
  readonly durationMilliseconds: number;
  /** Selects among entries or targets, from 0 to 1. */
  readonly choice: number;
  /** How many or how much, from 0 to 1. */
  readonly amount: number;
}

/** How long a soak's parts take. */
export interface SoakTimes {
  /** Faults come from here on. */
  readonly firstFaultAt: number;
  /** Faults, new jobs and changes have ended. */
  readonly trafficEndsAt: number;
  readonly endsAt: number;
}

const warmUpMilliseconds = 7_000;
const settleMilliseconds = 17_000;
const shortestFaultMilliseconds = 800;
const longestFaultMilliseconds = 5_500;
const longestOffsetMilliseconds = 2_500;
const maximumConcurrentFaults = 4;
const shortestGapMilliseconds = 300;
const longestGapMilliseconds = 12_000;
const millisecondsPerSecond = 1_000;

/**
 * Divides a soak into its parts.
 * @param seconds - its whole length
 * @returns when each part begins
 */
export function divideTime(seconds: number): SoakTimes {
  const endsAt = Math.max(seconds * millisecondsPerSecond, warmUpMilliseconds + settleMilliseconds);
  return { firstFaultAt: warmUpMilliseconds, trafficEndsAt: endsAt - settleMilliseconds, endsAt };
}

/**
 * Draws the faults: series of some that overlap, with gaps that are sometimes long enough to be calm.
 * @param seed - equal seeds give equal plans
 * @param times - the parts of the soak
 * @param names - the kinds to draw from
 * @returns the faults by time; none without kinds
 */
export function planFaults(seed: number, times: SoakTimes, names: readonly FaultName[]): PlannedFault[] {
  const random = createRandom(seed);
  const faults: PlannedFault[] = [];
  let at = times.firstFaultAt;
  while (names.length > 0 && at < times.trafficEndsAt - shortestFaultMilliseconds) {
    const series = drawSeries(random, at, times.trafficEndsAt, names);
    faults.push(...series);
    const seriesEnd = Math.max(...series.map((fault) => fault.at + fault.durationMilliseconds));
    // Most gaps are short, so that series run into each other's effects; few are long enough to be calm.
    at = seriesEnd + shortestGapMilliseconds + random.fraction() ** 2 * longestGapMilliseconds;
  }
  return faults.sort((left, right) => left.at - right.at);
}

function drawSeries(
  random: Random,
  from: number,
  latest: number,
  names: readonly FaultName[],
): PlannedFault[] {
  const count = random.integer(1, maximumConcurrentFaults);
  return Array.from({ length: count }, () => {
    const name = names[random.integer(0, names.length - 1)] ?? "entry-kill";
    const drawnAt = from + random.integer(0, longestOffsetMilliseconds);
    const at = Math.min(drawnAt, latest - shortestFaultMilliseconds);
    const drawnDuration = random.integer(shortestFaultMilliseconds, longestFaultMilliseconds);
    const durationMilliseconds = Math.min(drawnDuration, latest - at);
    return { name, at, durationMilliseconds, choice: random.fraction(), amount: random.fraction() };
  });
}
