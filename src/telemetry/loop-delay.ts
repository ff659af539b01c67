/**
 * Measures the event loop delay: how late timers run, which shows whether the process gets the CPU time it needs.
 * @packageDocumentation
 */
import { build } from "hdr-histogram-js/dist/HistogramBuilder.js";
import type { Log } from "./log.js";
import type { DurationHistogram, Metrics } from "./metrics.js";

/** Counters of the process that are logged with its load. */
export interface ProcessUse {
  /** Total since the process started; the log shows the difference within the window. */
  readonly bytesSent: number;
  /** Total since the process started; the log shows the difference within the window. */
  readonly bytesReceived: number;
  /** Orders to targets that have no response yet. */
  readonly ordersInFlight: number;
}

/** Dependencies of a probe. */
export interface LoopDelayOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  /** Reads the current counters of the process; called once for each window. */
  readonly use: () => ProcessUse;
  /** Monotonic clock in milliseconds; `performance.now` by default. */
  readonly now?: () => number;
}

/** Measures the event loop delay until it is closed. */
export interface LoopDelayProbe {
  close(): void;
}

/** Interval of the timer whose delay is measured. */
const intervalMilliseconds = 100;
/** Minimum length of the windows over which the CPU share and the delays are summarized. */
const windowMilliseconds = 3_000;
/** A window is logged if a timer in it ran later than this. */
const logThresholdMilliseconds = 100;
/** Upper bound of the histogram of a window; longer delays are recorded as this value. */
const maximumTrackedMilliseconds = 600_000;
const microsecondsPerMillisecond = 1_000;
const tailPercentile = 99;

/**
 * Creates a probe and starts its timer. The probe logs each window in which a timer ran later than the threshold.
 * @param options - log and metrics that receive the measurements
 * @returns the running probe; it does not keep the process alive
 */
export function createLoopDelayProbe(options: LoopDelayOptions): LoopDelayProbe {
  return new TimerProbe(options);
}

/** Measures with a timer that is restarted after each run, so that one stall is counted once. */
class TimerProbe implements LoopDelayProbe {
  readonly #options: LoopDelayOptions;
  readonly #now: () => number;
  readonly #delayMetric: DurationHistogram;
  readonly #windowDelays = build({
    highestTrackableValue: maximumTrackedMilliseconds,
    numberOfSignificantValueDigits: 2,
  });
  #timer: NodeJS.Timeout;
  #dueAt: number;
  #windowStart: number;
  #maximumDelay = 0;
  #processorUsage = process.cpuUsage();
  #use: ProcessUse;

  constructor(options: LoopDelayOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#delayMetric = options.metrics.histogram("loop_delay_milliseconds");
    this.#windowStart = this.#now();
    this.#use = options.use();
    this.#dueAt = this.#windowStart + intervalMilliseconds;
    this.#timer = this.#startTimer();
  }

  close(): void {
    clearTimeout(this.#timer);
  }

  #startTimer(): NodeJS.Timeout {
    const timer = setTimeout(() => {
      this.#measure();
    }, intervalMilliseconds);
    return timer.unref();
  }

  #measure(): void {
    const now = this.#now();
    const delay = Math.max(0, now - this.#dueAt);
    this.#delayMetric.observe(delay);
    this.#windowDelays.recordValue(Math.min(Math.round(delay), maximumTrackedMilliseconds));
    this.#maximumDelay = Math.max(this.#maximumDelay, delay);
    if (now - this.#windowStart >= windowMilliseconds) this.#closeWindow(now);
    this.#dueAt = now + intervalMilliseconds;
    this.#timer = this.#startTimer();
  }

  #closeWindow(now: number): void {
    const milliseconds = now - this.#windowStart;
    const share = this.#readProcessorShare(milliseconds);
    this.#options.metrics.set("processor_share", share);
    const before = this.#use;
    this.#use = this.#options.use();
    if (this.#maximumDelay > logThresholdMilliseconds) this.#logWindow(milliseconds, share, before);
    this.#windowStart = now;
    this.#maximumDelay = 0;
    this.#windowDelays.reset();
  }

  #readProcessorShare(milliseconds: number): number {
    const { user, system } = process.cpuUsage(this.#processorUsage);
    this.#processorUsage = process.cpuUsage();
    return (user + system) / microsecondsPerMillisecond / milliseconds;
  }

  #logWindow(milliseconds: number, processorShare: number, before: ProcessUse): void {
    const { bytesSent, bytesReceived, ordersInFlight } = this.#use;
    this.#options.log.write("info", "process-load", {
      windowMilliseconds: Math.round(milliseconds),
      delayMaximum: Math.round(this.#maximumDelay),
      delayTail: this.#windowDelays.getValueAtPercentile(tailPercentile),
      processorShare: Number(processorShare.toFixed(2)),
      bytesSent: bytesSent - before.bytesSent,
      bytesReceived: bytesReceived - before.bytesReceived,
      ordersInFlight,
    });
  }
}
