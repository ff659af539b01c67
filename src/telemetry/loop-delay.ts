/**
 * How late a process's timers run, which tells whether it is given the processor time that it needs.
 * @packageDocumentation
 */
import { build } from "hdr-histogram-js/dist/HistogramBuilder.js";
import type { Log } from "./log.js";
import type { DurationHistogram, Metrics } from "./metrics.js";

/** What a process has done so far, as its load is told. */
export interface ProcessUse {
  readonly bytesSent: number;
  readonly bytesReceived: number;
  /** Orders to targets that wait for an answer now. */
  readonly ordersInFlight: number;
}

/** Settings of a probe. */
export interface LoopDelayOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  /** Tells what the process has done so far. */
  readonly use: () => ProcessUse;
  /** The monotonic clock; the process's own by default. */
  readonly now?: () => number;
}

/** Measures how late timers run until it is closed. */
export interface LoopDelayProbe {
  close(): void;
}

const intervalMilliseconds = 100;
const windowMilliseconds = 3_000;
/** A window in which a timer ran later than this is told. */
const notableMilliseconds = 100;
const longestMilliseconds = 600_000;
const microsecondsPerMillisecond = 1_000;
const tail = 99;

/**
 * Creates a probe and starts its timer. It writes one line for each window in which a timer ran notably late.
 * @param options - where it tells what it measures
 * @returns the running probe
 */
export function createLoopDelayProbe(options: LoopDelayOptions): LoopDelayProbe {
  return new TimerProbe(options);
}

/** Measures by a timer that is set again whenever it has run. */
class TimerProbe implements LoopDelayProbe {
  readonly #options: LoopDelayOptions;
  readonly #now: () => number;
  readonly #delays: DurationHistogram;
  readonly #window = build({
    highestTrackableValue: longestMilliseconds,
    numberOfSignificantValueDigits: 2,
  });
  #timer: NodeJS.Timeout;
  #dueAt: number;
  #windowStart: number;
  #maximum = 0;
  #processor = process.cpuUsage();
  #use: ProcessUse;

  constructor(options: LoopDelayOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#delays = options.metrics.histogram("loop_delay_milliseconds");
    this.#windowStart = this.#now();
    this.#use = options.use();
    this.#dueAt = this.#windowStart + intervalMilliseconds;
    this.#timer = this.#arm();
  }

  close(): void {
    clearTimeout(this.#timer);
  }

  #arm(): NodeJS.Timeout {
    const timer = setTimeout(() => {
      this.#measure();
    }, intervalMilliseconds);
    return timer.unref();
  }

  #measure(): void {
    const now = this.#now();
    const late = Math.max(0, now - this.#dueAt);
    this.#delays.observe(late);
    this.#window.recordValue(Math.min(Math.round(late), longestMilliseconds));
    this.#maximum = Math.max(this.#maximum, late);
    if (now - this.#windowStart >= windowMilliseconds) this.#finishWindow(now);
    this.#dueAt = now + intervalMilliseconds;
    this.#timer = this.#arm();
  }

  #finishWindow(now: number): void {
    const milliseconds = now - this.#windowStart;
    const share = this.#takeProcessorShare(milliseconds);
    this.#options.metrics.set("processor_share", share);
    const before = this.#use;
    this.#use = this.#options.use();
    if (this.#maximum > notableMilliseconds) this.#tell(milliseconds, share, before);
    this.#windowStart = now;
    this.#maximum = 0;
    this.#window.reset();
  }

  #takeProcessorShare(milliseconds: number): number {
    const { user, system } = process.cpuUsage(this.#processor);
    this.#processor = process.cpuUsage();
    return (user + system) / microsecondsPerMillisecond / milliseconds;
  }

  #tell(milliseconds: number, processorShare: number, before: ProcessUse): void {
    const { bytesSent, bytesReceived, ordersInFlight } = this.#use;
    this.#options.log.write("info", "process-load", {
      windowMilliseconds: Math.round(milliseconds),
      delayMaximum: Math.round(this.#maximum),
      delayTail: this.#window.getValueAtPercentile(tail),
      processorShare: Number(processorShare.toFixed(2)),
      bytesSent: bytesSent - before.bytesSent,
      bytesReceived: bytesReceived - before.bytesReceived,
      ordersInFlight,
    });
  }
}
