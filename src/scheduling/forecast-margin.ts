/**
 * Learns by how much forecasts of jobs' ends miss. Answers a turn at the limit of a pool: jobs that are accepted to the
 * last moment all end a little late when the forecast is a little too hopeful.
 * @packageDocumentation
 */

/** The time by which forecasts are corrected. */
export interface ForecastMargin {
  /** Takes the end of a job: how much later than forecast it came, negative for earlier. */
  learn(lateMilliseconds: number): void;
  /** What is added to a forecast. */
  milliseconds(): number;
}

/** So many of the jobs should end before their corrected forecast. */
const onTimeShare = 0.7;
const stepMilliseconds = 30;
const initialMilliseconds = 100;
const maximumMilliseconds = 1_500;
/** Jobs that seem late are not taken because others ended early: forecasts of one kind say little of another. */
const minimumMilliseconds = 0;

/**
 * Creates a margin that has learned nothing.
 * @returns the margin
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
