/**
 * Fits a straight line through measured points, to carry a cost from small sizes to the intended one.
 * @packageDocumentation
 */
import type { Figure } from "../measure.js";

/** One measured point. */
export interface Point {
  readonly size: number;
  readonly cost: number;
}

/** A straight line `cost = intercept + slope * size`. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

/** What a series measures. */
export interface SeriesDescription {
  readonly name: string;
  /** Unit of the cost, such as `bytes`. */
  readonly unit: string;
  /** What the size counts, such as `instance`. */
  readonly per: string;
}

/**
 * Fits a line by least squares.
 * @param points - at least two points of different sizes
 * @returns the line
 */
export function fitLine(points: readonly Point[]): Line {
  const meanSize = mean(points.map(({ size }) => size));
  const meanCost = mean(points.map(({ cost }) => cost));
  const covariance = mean(points.map(({ size, cost }) => (size - meanSize) * (cost - meanCost)));
  const variance = mean(points.map(({ size }) => (size - meanSize) ** 2));
  const slope = covariance / variance;
  return { slope, intercept: meanCost - slope * meanSize };
}

/**
 * Describes a series as figures: its points, its slope and its intercept.
 * @param series - what it measures
 * @param points - the measured points
 * @returns the figures
 */
export function describeSeries(series: SeriesDescription, points: readonly Point[]): Figure[] {
  const { slope, intercept } = fitLine(points);
  const { name, unit, per } = series;
  return [
    ...points.map(({ size, cost }) => ({ name: `${name} at ${size}`, value: cost, unit })),
    { name: `${name}, slope`, value: slope, unit: `${unit}/${per}` },
    { name: `${name}, intercept`, value: intercept, unit },
  ];
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
