/**
 * Demand of one pool: separates the usual load, which changes over minutes and hours, from load surges of seconds.
 * @packageDocumentation
 */
import { createRunTimeEstimator } from "./run-time-estimator.js";
import { createSurgeDetector, type SurgeShape } from "./surge-detector.js";

/** Observed demand of a pool in one second. */
export interface DemandSample {
  readonly atSeconds: number;
  readonly arrivals: number;
  /** Busy slots as reported by the platform, with a delay; undefined without a report. */
  readonly reportedBusySlots?: number;
  /** Number of requests that wait for a slot; they have arrived but not run yet. */
  readonly queued?: number;
}

/** Estimated demand of a pool. */
export interface PoolDemand {
  /** Forecast of the usual load for the time when a move that starts now has ended, in erlangs. */
  readonly load: number;
  /** Highest usual load of the last minutes, in erlangs; decides how many instances a pool may give up. */
  readonly recentPeakLoad: number;
  readonly meanRunSeconds: number;
  readonly turn: SurgeShape;
}

/** Estimates the demand of a pool. */
export interface DemandTracker {
  /** Records the demand of one second. */
  observe(sample: DemandSample): void;
  /** Records the duration of a finished run. */
  recordRun(seconds: number): void;
  /**
   * Estimates the demand from all samples so far.
   * @returns the estimate; before the first samples it rests on the declared run time and the expected surge
   */
  estimate(): PoolDemand;
}

/** Window of the median that gives the usual load; much longer than a surge, so that a surge does not change the median. */
const windowSeconds = 240;
const historyStepSeconds = 10;
const peakSteps = 60;
const trendSteps = 60;
const forecastSteps = 12;
/** Surges are not detected before this, because the usual arrivals are too uncertain to compare with. */
const surgeWarmUpSeconds = 120;

/**
 * Creates a tracker.
 * @param declaredRunSeconds - run time that the operators declared; measured runs soon outweigh it
 * @returns the tracker, without samples
 */
export function createDemandTracker(declaredRunSeconds: number): DemandTracker {
  const runTimes = createRunTimeEstimator(declaredRunSeconds);
  const surges = createSurgeDetector();
  const arrivals: number[] = [];
  const busySlots: number[] = [];
  const history: number[] = [];
  let usualArrivals = 0;
  let observed = 0;
  let queued = 0;

  const usualLoad = (): number => Math.max(usualArrivals * runTimes.meanSeconds(), median(busySlots));

  const refresh = (): void => {
    usualArrivals = median(arrivals);
    history.push(usualLoad());
    if (history.length > Math.max(peakSteps, trendSteps)) history.shift();
  };

  return {
    observe: (sample) => {
      keepLast(arrivals, sample.arrivals, windowSeconds);
      if (sample.reportedBusySlots !== undefined) {
        keepLast(busySlots, sample.reportedBusySlots, windowSeconds);
      }
      queued = sample.queued ?? 0;
      if (observed >= surgeWarmUpSeconds) surges.observe(sample.arrivals, usualArrivals);
      observed += 1;
      if (observed % historyStepSeconds === 0) refresh();
    },
    recordRun: (seconds) => {
      runTimes.record(seconds);
    },
    estimate: () => {
      const now = usualLoad();
      const first = history[0] ?? now;
      const rise = Math.max(0, now - first) / Math.max(1, history.length);
      const turn = surges.shape();
      const meanRunSeconds = runTimes.meanSeconds();
      // Requests that are still queued after a surge have to be worked off in addition to the usual load.
      const backlogLoad = (queued * meanRunSeconds) / windowSeconds;
      return {
        load: now + rise * forecastSteps + backlogLoad,
        recentPeakLoad: Math.max(now, ...history.slice(-peakSteps)),
        meanRunSeconds,
        turn,
      };
    },
  };
}

function keepLast(values: number[], value: number, count: number): void {
  values.push(value);
  if (values.length > count) values.shift();
}

function median(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
