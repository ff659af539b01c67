/**
 * Registry of counters, gauges and histograms, exposed in the Prometheus text format.
 * @packageDocumentation
 */
import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js/dist/HistogramBuilder.js";

/** Label values of a metric by label name. Their order is part of the series' identity. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Summary of a histogram, in milliseconds apart from the count. */
export interface HistogramSummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly maximum: number;
}

/** Handle to one series of a counter, which saves the lookup on each update. */
export interface Counter {
  /** Increments the counter, by 1 by default. */
  add(amount?: number): void;
}

/** Handle to one series of a histogram, which saves the lookup on each update. */
export interface DurationHistogram {
  /** Records a duration in milliseconds. */
  observe(milliseconds: number): void;
}

/** Registry of the process's metrics. Metric names are given without the common prefix. */
export interface Metrics {
  /**
   * Increments a counter.
   * @param name - name without prefix, such as `answers_total`
   * @param labels - labels of the series, none by default
   * @param amount - increment, 1 by default
   */
  count(name: string, labels?: MetricLabels, amount?: number): void;
  /** Sets a gauge. */
  set(name: string, value: number, labels?: MetricLabels): void;
  /** Records a duration in milliseconds. */
  observe(name: string, milliseconds: number, labels?: MetricLabels): void;
  /**
   * Returns a handle to a series of a counter, for callers that update it often.
   * @param name - name without prefix
   * @param labels - labels of the series, none by default
   * @returns the handle; the series is created with 0 if it does not exist
   */
  counter(name: string, labels?: MetricLabels): Counter;
  /**
   * Returns a handle to a series of a histogram, for callers that update it often.
   * @param name - name without prefix
   * @param labels - labels of the series, none by default
   * @returns the handle; the series is created empty if it does not exist
   */
  histogram(name: string, labels?: MetricLabels): DurationHistogram;
  /**
   * Registers a counter or gauge whose value another component keeps.
   * @param name - name without prefix
   * @param read - returns the current value; called whenever the metric is read, in place of a value set before
   * @param labels - labels of the series, none by default
   */
  follow(name: string, read: () => number, labels?: MetricLabels): void;
  /** Summarizes a histogram; undefined if the series does not exist. */
  summary(name: string, labels?: MetricLabels): HistogramSummary | undefined;
  /** Reads a counter or gauge; 0 if the series does not exist. */
  value(name: string, labels?: MetricLabels): number;
  /** Formats all metrics in the Prometheus text format. */
  expose(): string;
}

const microsecondsPerMillisecond = 1_000;
/** Longest duration that a histogram tracks (one hour); longer ones are recorded as this value. */
const maximumMicroseconds = 3_600_000_000;
/** Characters that JSON escapes; values without them skip the slower `JSON.stringify`. */
const needsEscape = /["\\\p{Cc}\p{Cs}]/u;
const exposedQuantiles = [50, 90, 99, 100];

/**
 * Creates an empty registry.
 * @returns the registry
 */
export function createMetrics(): Metrics {
  const numbers = new Map<string, NumberSeries>();
  const histograms = new Map<string, Histogram>();

  const findNumberSeries = (name: string, labels: MetricLabels): NumberSeries => {
    const key = seriesKey(name, labels);
    const existing = numbers.get(key);
    if (existing !== undefined) return existing;
    const created = new NumberSeries();
    numbers.set(key, created);
    return created;
  };
  const findHistogram = (name: string, labels: MetricLabels): Histogram => {
    const key = seriesKey(name, labels);
    const existing = histograms.get(key);
    if (existing !== undefined) return existing;
    const created = build({ highestTrackableValue: maximumMicroseconds, numberOfSignificantValueDigits: 2 });
    histograms.set(key, created);
    return created;
  };

  return {
    count: (name, labels = {}, amount = 1) => {
      findNumberSeries(name, labels).add(amount);
    },
    set: (name, value, labels = {}) => {
      findNumberSeries(name, labels).set(value);
    },
    observe: (name, milliseconds, labels = {}) => {
      record(findHistogram(name, labels), milliseconds);
    },
    counter: (name, labels = {}) => findNumberSeries(name, labels),
    histogram: (name, labels = {}) => {
      const found = findHistogram(name, labels);
      return {
        observe: (milliseconds) => {
          record(found, milliseconds);
        },
      };
    },
    follow: (name, read, labels = {}) => {
      findNumberSeries(name, labels).follow(read);
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

  /** Reads the value from another component from now on. */
  follow(read: () => number): void {
    this.#read = read;
  }

  value(): number {
    return this.#read?.() ?? this.#value;
  }
}

function record(histogram: Histogram, milliseconds: number): void {
  const microseconds = Math.max(0, Math.round(milliseconds * microsecondsPerMillisecond));
  histogram.recordValue(Math.min(microseconds, maximumMicroseconds));
}

/** Formats name and labels as in the exposition, which also serves as the key of the series. */
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
