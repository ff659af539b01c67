/**
 * Seeded arrivals of a day: busy hours with slow ramps, and turns of seconds followed by near silence.
 * @packageDocumentation
 */
import type { Random } from "../../shared/index.js";
import type { PoolProfile } from "./deployments.js";

/** Seconds of the measured day. */
export const daySeconds = 86_400;

const hourSeconds = 3_600;
const busyHours = 10;
const rampHours = 1.5;
const quietShare = 0.15;
const meanTurnGapSeconds = 900;
const turnSeconds = 8;
const turnRatio = 3;
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
  const peakArrivals = pool.peakLoad / pool.runSeconds;
  const factors = drawTurnFactors(random);
  return factors.map((factor, second) => {
    const mean = peakArrivals * shiftShare(second / hourSeconds, pool.busyFromHour) * factor;
    return Math.max(0, Math.round(mean + Math.sqrt(mean) * drawNormal(random)));
  });
}

function drawTurnFactors(random: Random): number[] {
  const factors = new Array<number>(daySeconds).fill(1);
  let start = random.exponential(meanTurnGapSeconds);
  while (start < daySeconds) {
    const first = Math.floor(start);
    factors.fill(turnRatio, first, first + turnSeconds);
    factors.fill(silenceShare, first + turnSeconds, first + turnSeconds + silenceSeconds);
    start = first + turnSeconds + silenceSeconds + random.exponential(meanTurnGapSeconds);
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
