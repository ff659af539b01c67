/**
 * Seeded arrivals of a day: busy hours with slow ramps, and turns of seconds followed by near silence.
 * @packageDocumentation
 */
import type { SurgeShape } from "../../capacity/index.js";
import type { Random } from "../../shared/index.js";
import type { PoolProfile } from "./deployments.js";

/** Seconds of the measured day. */
export const daySeconds = 86_400;

const hourSeconds = 3_600;
const busyHours = 10;
const rampHours = 1.5;
const quietShare = 0.15;
const meanTurnGapSeconds = 900;
/** The true shape of all turns. */
export const trueTurn: SurgeShape = { ratio: 3, seconds: 8 };
const silenceSeconds = 16;
const silenceShare = 0.1;
const fractionsOfNormal = 12;

/**
 * Draws the arrivals of each second of a day.
 * @param pool - the pool
 * @param random - the source of randomness
 * @returns arrivals by second
 */
export function drawArrivals(pool: PoolProfile, random: Random): number[] {
  const factors = drawTurnFactors(random);
  return factors.map((factor, second) => {
    const mean = (readUsualLoad(pool, second) / pool.runSeconds) * factor;
    return Math.max(0, Math.round(mean + Math.sqrt(mean) * drawNormal(random)));
  });
}

/**
 * Reads the true usual load.
 * @param pool - the pool
 * @param second - second of the day
 * @returns the load without turns, in erlangs
 */
export function readUsualLoad(pool: PoolProfile, second: number): number {
  return pool.peakLoad * shiftShare(second / hourSeconds, pool.busyFromHour);
}

function drawTurnFactors(random: Random): number[] {
  const factors = new Array<number>(daySeconds).fill(1);
  let start = random.exponential(meanTurnGapSeconds);
  while (start < daySeconds) {
    const first = Math.floor(start);
    factors.fill(trueTurn.ratio, first, first + trueTurn.seconds);
    factors.fill(silenceShare, first + trueTurn.seconds, first + trueTurn.seconds + silenceSeconds);
    start = first + trueTurn.seconds + silenceSeconds + random.exponential(meanTurnGapSeconds);
  }
  return factors;
}

function shiftShare(hour: number, busyFromHour: number): number {
  const sinceStart = (hour - busyFromHour + 24) % 24;
  const rising = smoothStep(sinceStart / rampHours);
  const falling = smoothStep((sinceStart - busyHours) / rampHours);
  return quietShare + (1 - quietShare) * (rising - falling);
}

function smoothStep(progress: number): number {
  const bounded = Math.min(1, Math.max(0, progress));
  return bounded * bounded * (3 - 2 * bounded);
}

function drawNormal(random: Random): number {
  let sum = 0;
  for (let count = 0; count < fractionsOfNormal; count += 1) sum += random.fraction();
  return sum - fractionsOfNormal / 2;
}
