/**
 * Plans the faults of a soak from its seed before the soak starts.
 * @packageDocumentation
 */
import { createRandom, type Random } from "../shared/index.js";

/** The names of all kinds of faults. */
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

/** The name of a kind of fault. */
export type FaultName = (typeof faultNames)[number];

/** One fault that will be injected. */
export interface PlannedFault {
  readonly name: FaultName;
  /** Milliseconds after the start of the soak. */
  readonly at: number;
  readonly durationMilliseconds: number;
  /** Selects entries or targets by their relative position in the list, from 0 to 1. */
  readonly choice: number;
  /** Severity or number of affected items, as a share of the maximum from 0 to 1. */
  readonly amount: number;
}

/** The phases of a soak, in milliseconds after its start. */
export interface SoakTimes {
  /** The earliest fault. */
  readonly firstFaultAt: number;
  /** From this time on there are no faults, new jobs or configuration changes. */
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
 * Divides a soak into phases.
 * @param seconds - length of the soak; extended if it is too short for warm-up and settling
 * @returns the boundaries of the phases
 */
export function divideTime(seconds: number): SoakTimes {
  const endsAt = Math.max(seconds * millisecondsPerSecond, warmUpMilliseconds + settleMilliseconds);
  return { firstFaultAt: warmUpMilliseconds, trafficEndsAt: endsAt - settleMilliseconds, endsAt };
}

/**
 * Draws series of overlapping faults, with gaps between the series that are sometimes long enough for the system to recover.
 * @param seed - equal seeds give equal plans
 * @param times - the phases of the soak
 * @param names - the kinds to draw from
 * @returns the faults in order of time; empty if there are no kinds
 */
export function planFaults(seed: number, times: SoakTimes, names: readonly FaultName[]): PlannedFault[] {
  const random = createRandom(seed);
  const faults: PlannedFault[] = [];
  let at = times.firstFaultAt;
  while (names.length > 0 && at < times.trafficEndsAt - shortestFaultMilliseconds) {
    const series = drawSeries(random, at, times.trafficEndsAt, names);
    faults.push(...series);
    const seriesEnd = Math.max(...series.map((fault) => fault.at + fault.durationMilliseconds));
    // Most gaps are short, so that the effects of successive series overlap; a few are long enough to recover.
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
