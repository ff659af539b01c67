/**
 * Learns the margin by which forecasts of jobs' ends are corrected. During a load surge at the capacity limit of a pool,
 * jobs are accepted up to their latest possible start. If the forecast is slightly too optimistic, all of them end late.
 * @packageDocumentation
 */

/** A learned correction of forecasts. */
export interface ForecastMargin {
  /** Learns from an ended job: how much later than its uncorrected forecast it ended, negative for earlier. */
  learn(lateMilliseconds: number): void;
  /** The time to add to a forecast. */
  milliseconds(): number;
}

/** The share of jobs that should end before their corrected forecast. */
const onTimeShare = 0.7;
/** Scales how far one ended job moves the margin. */
const stepMilliseconds = 30;
const initialMilliseconds = 100;
const maximumMilliseconds = 1_500;
/**
 * The margin is never negative: it would accept jobs with a late forecast because others ended early, but errors of one
 * kind of job predict little about another kind.
 */
const minimumMilliseconds = 0;

/**
 * Creates a margin that has not learned from any job.
 * @returns the margin, at its initial value
 */
export function createForecastMargin(): ForecastMargin {
  let margin = initialMilliseconds;
  return {
    learn: (late) => {
      const change = late > margin ? onTimeShare : onTimeShare - 1;
      margin = Math.min(
        maximumMilliseconds,
        Math.max(minimumMilliseconds, margin + change * stepMilliseconds),
      );
    },
    milliseconds: () => margin,
  };
}
