/**
 * How long a run takes by the progress that its target shows. Answers run times that nobody knows beforehand while
 * hundreds of tasks start at once: those that end first are the short ones, and only progress tells of the others.
 * @packageDocumentation
 */

/** What a report shows of a run. */
export interface ReportedProgress {
  /** How long it has run by its target's clock. */
  readonly elapsedMilliseconds: number;
  /** Percent of its work. */
  readonly percent: number;
}

/** Below this the whole percent that is shown says little. */
const minimumPercent = 8;
const fullPercent = 100;

/**
 * Computes how long a run takes in all.
 * @param shown - what its target shows, whatever that is
 * @returns milliseconds, no less than it has run; undefined while its progress tells nothing
 */
export function projectRunTime({ elapsedMilliseconds, percent }: ReportedProgress): number | undefined {
  if (!(elapsedMilliseconds > 0) || !(percent >= minimumPercent)) return undefined;
  return (elapsedMilliseconds * fullPercent) / Math.min(fullPercent, percent);
}

/** An end that a report lists. */
export interface ReceivedEnd {
  /** How long the run had run when its end was listed. */
  readonly receivedAfterMilliseconds: number;
  /** For so long before it was asked for that report, the target had told nothing. */
  readonly reportGapMilliseconds: number;
  /** How long the run takes by its progress, if that is known. */
  readonly projectedMilliseconds: number | undefined;
}

/** Between reports ends gather for less than this; an end that was received so late is still taken for the run's time. */
const usualReportGapMilliseconds = 150;

/**
 * Computes how long a run has taken whose end may be older than the report that lists it.
 * @param end - what is known of it
 * @returns milliseconds; undefined when the end may have come long before and no progress tells when
 */
export function timeRun(end: ReceivedEnd): number | undefined {
  const {
    receivedAfterMilliseconds,
    reportGapMilliseconds: reportGapMilliseconds,
    projectedMilliseconds,
  } = end;
  if (reportGapMilliseconds <= usualReportGapMilliseconds) return receivedAfterMilliseconds;
  if (projectedMilliseconds === undefined) return undefined;
  const earliest = receivedAfterMilliseconds - reportGapMilliseconds - usualReportGapMilliseconds;
  return Math.min(receivedAfterMilliseconds, Math.max(earliest, projectedMilliseconds));
}
