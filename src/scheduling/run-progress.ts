/**
 * Computes how long a run takes from the progress that its target reports. When hundreds of tasks with unknown run times
 * start at once, the short ones end first, and only reported progress gives the run times of the others.
 * @packageDocumentation
 */

/** The progress of a run in a report of its target. */
export interface ReportedProgress {
  /** Time since its start, by the clock of its target. */
  readonly elapsedMilliseconds: number;
  /** Completed percent of its work, as reported; not validated. */
  readonly percent: number;
}

/** Below this, the rounding of a reported whole percent makes the projection too inaccurate. */
const minimumPercent = 8;
const fullPercent = 100;

/**
 * Projects the total run time from the reported progress.
 * @param progress - the reported progress, with any numbers
 * @returns milliseconds, at least the elapsed time; undefined while the progress is too low or invalid
 */
export function projectRunTime({ elapsedMilliseconds, percent }: ReportedProgress): number | undefined {
  if (!(elapsedMilliseconds > 0) || !(percent >= minimumPercent)) return undefined;
  return (elapsedMilliseconds * fullPercent) / Math.min(fullPercent, percent);
}

/** The end of a run, as listed in a report of its target. */
export interface ReceivedEnd {
  /** Time from the start of the run until the report listed its end. */
  readonly receivedAfterMilliseconds: number;
  /** Time without a report from the target before the request for this report. */
  readonly reportGapMilliseconds: number;
  /** Total run time as projected from progress; undefined if no progress was usable. */
  readonly projectedMilliseconds: number | undefined;
}

/**
 * Upper bound of the usual gap between reports. After a gap of at most this length the time of receipt counts as the end
 * of the run.
 */
const usualReportGapMilliseconds = 150;

/**
 * Computes the run time of a run that may have ended some time before the report that lists its end.
 * @param end - the listed end
 * @returns milliseconds; undefined when the run may have ended long before the report and there is no projection
 */
export function timeRun(end: ReceivedEnd): number | undefined {
  const { receivedAfterMilliseconds, reportGapMilliseconds, projectedMilliseconds } = end;
  if (reportGapMilliseconds <= usualReportGapMilliseconds) return receivedAfterMilliseconds;
  if (projectedMilliseconds === undefined) return undefined;
  const earliest = receivedAfterMilliseconds - reportGapMilliseconds - usualReportGapMilliseconds;
  return Math.min(receivedAfterMilliseconds, Math.max(earliest, projectedMilliseconds));
}
