/**
 * Counters, gauges and histograms, read in the Prometheus text exposition format.
 * @packageDocumentation
 */
import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js/dist/HistogramBuilder.js";

/** The label values of a metric. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Quantiles of a histogram, in its unit. */
export interface HistogramSummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly maximum: number;
}

/** One series of a counter, found once and used often. */
export interface Counter {
  /** Adds to the counter, 1 by default. */
  add(amount?: number): void;
}

/** One series of a histogram, found once and used often. */
export interface DurationHistogram {
  /** Records a duration in milliseconds. */
  observe(milliseconds: number): void;
}

/** Records what the process does. */
export interface Metrics {
  /**
   * Adds to a counter.
   * @param name - the metric's name without prefix, such as `answers_total`
   * @param labels - its labels
   * @param amount - what is added, 1 by default
   */
  count(name: string, labels?: MetricLabels, amount?: number): void;
  /** Sets a gauge. */
  set(name: string, value: number, labels?: MetricLabels): void;
  /** Records a duration in milliseconds. */
  observe(name: string, milliseconds: number, labels?: MetricLabels): void;
  /**
   * Finds a series of a counter, for a caller that adds to it often.
   * @param name - the metric's name without prefix
   * @param labels - its labels
   * @returns the series
   */
  counter(name: string, labels?: MetricLabels): Counter;
  /**
   * Finds a series of a histogram, for a caller that records in it often.
   * @param name - the metric's name without prefix
   * @param labels - its labels
   * @returns the series
   */
  histogram(name: string, labels?: MetricLabels): DurationHistogram;
  /**
   * Takes a counter or gauge from whoever keeps it.
   * @param name - the metric's name without prefix
   * @param read - tells its value whenever it is read
   * @param labels - its labels
   */
  follow(name: string, read: () => number, labels?: MetricLabels): void;
  /** Summarises a histogram; undefined when nothing was recorded. */
  summary(name: string, labels?: MetricLabels): HistogramSummary | undefined;
  /** Reads a counter or gauge; 0 when it was never written. */
  value(name: string, labels?: MetricLabels): number;
  /** Writes all metrics in the text exposition format. */
  expose(): string;
}

const microsecondsPerMillisecond = 1_000;
const highestMicroseconds = 3_600_000_000;
/** Characters that JSON writes in another form. */
const needsEscape = /["\\\p{Cc}\p{Cs}]/u;
const exposedQuantiles = [50, 90, 99, 100];

/**
 * Creates an empty set of metrics.
 * @returns the metrics
 */
export function createMetrics(): Metrics {
  const numbers = new Map<string, NumberSeries>();
  const histograms = new Map<string, Histogram>();

  const number = (name: string, labels: MetricLabels): NumberSeries => {
    const key = seriesKey(name, labels);
    const existing = numbers.get(key);
    if (existing !== undefined) return existing;
    const created = new NumberSeries();
    numbers.set(key, created);
    return created;
  };
  const histogram = (name: string, labels: MetricLabels): Histogram => {
    const key = seriesKey(name, labels);
    const existing = histograms.get(key);
    if (existing !== undefined) return existing;
    const created = build({ highestTrackableValue: highestMicroseconds, numberOfSignificantValueDigits: 2 });
    histograms.set(key, created);
    return created;
  };

  return {
    count: (name, labels = {}, amount = 1) => {
      number(name, labels).add(amount);
    },
    set: (name, value, labels = {}) => {
      number(name, labels).set(value);
    },
    observe: (name, milliseconds, labels = {}) => {
      record(histogram(name, labels), milliseconds);
    },
    counter: (name, labels = {}) => number(name, labels),
    histogram: (name, labels = {}) => {
      const found = histogram(name, labels);
      return {
        observe: (milliseconds) => {
          record(found, milliseconds);
        },
      };
    },
    follow: (name, read, labels = {}) => {
      number(name, labels).follow(read);
    },
    summary: (name, labels = {}) => {
      const found = histograms.get(seriesKey(name, labels));
      return found === undefined ? undefined : summarise(found);
    },
    value: (name, labels = {}) => numbers.get(seriesKey(name, labels))?.value() ?? 0,
    expose: () => [...exposeNumbers(numbers), ...exposeHistograms(histograms), ""].join("\n"),
  };
}

/** One series of a counter or gauge. */
class NumberSeries implements Counter {
  #value = 0;
  #read: (() => number) | undefined;

  add(amount = 1): void {
    this.#value += amount;
  }

  set(value: number): void {
    this.#value = value;
  }

  /** Takes the value from whoever keeps it. */
  follow(read: () => number): void {
    this.#read = read;
  }

  value(): number {
    return this.#read?.() ?? this.#value;
  }
}

function record(histogram: Histogram, milliseconds: number): void {
  const microseconds = Math.max(0, Math.round(milliseconds * microsecondsPerMillisecond));
  histogram.recordValue(Math.min(microseconds, highestMicroseconds));
}

/** Names a series as the exposition writes it. */
function seriesKey(name: string, labels: MetricLabels): string {
  let pairs = "";
  for (const label in labels) {
    const value = labels[label] ?? "";
    const quoted = needsEscape.test(value) ? JSON.stringify(value) : `"${value}"`;
    pairs += pairs === "" ? `${label}=${quoted}` : `,${label}=${quoted}`;
  }
  return pairs === "" ? name : `${name}{${pairs}}`;
}

function summarise(histogram: Histogram): HistogramSummary {
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
  return { count: histogram.totalCount, p50: at(50), p99: at(99), maximum: at(100) };
}

function exposeNumbers(numbers: ReadonlyMap<string, NumberSeries>): string[] {
  return [...numbers].map(([key, series]) => `dogwoodhoist_${key} ${series.value()}`);
}

function exposeHistograms(histograms: ReadonlyMap<string, Histogram>): string[] {
  return [...histograms].flatMap(([key, histogram]) => {
    const [name = key, labels = ""] = key.split(/(?=\{)/);
    const inner = labels.slice(1, -1);
    const quantiles = exposedQuantiles.map((percentile) => {
      const quantile = `quantile="${percentile / 100}"`;
      const all = inner === "" ? quantile : `${inner},${quantile}`;
      const value = histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
      return `dogwoodhoist_${name}{${all}} ${value}`;
    });
    return [...quantiles, `dogwoodhoist_${name}_count${labels} ${histogram.totalCount}`];
  });
}
