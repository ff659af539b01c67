/**
 * Demand of one pool: its usual load over minutes and hours told apart from its turns of seconds.
 * @packageDocumentation
 */
import { createRunTimeEstimator } from "./run-time-estimator.js";
import { createSurgeDetector, type SurgeShape } from "./surge-detector.js";

/** What was seen of a pool in one second. */
export interface DemandSample {
  readonly atSeconds: number;
  readonly arrivals: number;
  /** Busy slots by the platform's reports, which lag; undefined without a report. */
  readonly reportedBusySlots?: number;
  /** Requests that wait; they arrived but have not run. */
  readonly queued?: number;
}

/** Estimated demand of a pool. */
export interface PoolDemand {
  /** Usual load when a move that starts now has ended, in erlangs. */
  readonly load: number;
  /** Highest usual load of the last minutes, in erlangs; instances are given up by this one. */
  readonly recentPeakLoad: number;
  readonly meanRunSeconds: number;
  readonly turn: SurgeShape;
}

/** Estimates the demand of a pool. */
export interface DemandTracker {
  /** Takes one second of arrivals. */
  observe(sample: DemandSample): void;
  /** Takes a finished run. */
  recordRun(seconds: number): void;
  /**
   * Estimates the demand.
   * @returns the estimate
   */
  estimate(): PoolDemand;
}

const windowSeconds = 240;
const historyStepSeconds = 10;
const peakSteps = 60;
const trendSteps = 60;
const forecastSteps = 12;
const surgeWarmUpSeconds = 120;

/**
 * Creates a tracker.
 * @param declaredRunSeconds - declared run time, weak evidence
 * @returns the tracker
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
      // The usual arrivals of the first seconds are not known well enough to tell a turn from them.
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
      // Requests left over when a turn has passed have to be worked off beside the usual ones.
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
