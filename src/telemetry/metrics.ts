/**
 * Counters, gauges and histograms, read in the Prometheus text exposition format.
 * @packageDocumentation
 */
import { build, type Histogram } from "hdr-histogram-js";

/** The label values of a metric. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Quantiles of a histogram, in its unit. */
export interface HistogramSummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly maximum: number;
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
  /** Summarises a histogram; undefined when nothing was recorded. */
  summary(name: string, labels?: MetricLabels): HistogramSummary | undefined;
  /** Reads a counter or gauge; 0 when it was never written. */
  value(name: string, labels?: MetricLabels): number;
  /** Writes all metrics in the text exposition format. */
  expose(): string;
}

const microsecondsPerMillisecond = 1_000;
const highestMicroseconds = 3_600_000_000;
const exposedQuantiles = [50, 90, 99, 100];

/**
 * Creates an empty set of metrics.
 * @returns the metrics
 */
export function createMetrics(): Metrics {
  const numbers = new Map<string, number>();
  const histograms = new Map<string, Histogram>();

  const histogram = (key: string): Histogram => {
    const existing = histograms.get(key);
    if (existing !== undefined) return existing;
    const created = build({ highestTrackableValue: highestMicroseconds, numberOfSignificantValueDigits: 2 });
    histograms.set(key, created);
    return created;
  };

  return {
    count: (name, labels = {}, amount = 1) => {
      const key = seriesKey(name, labels);
      numbers.set(key, (numbers.get(key) ?? 0) + amount);
    },
    set: (name, value, labels = {}) => {
      numbers.set(seriesKey(name, labels), value);
    },
    observe: (name, milliseconds, labels = {}) => {
      const microseconds = Math.max(0, Math.round(milliseconds * microsecondsPerMillisecond));
      histogram(seriesKey(name, labels)).recordValue(Math.min(microseconds, highestMicroseconds));
    },
    summary: (name, labels = {}) => {
      const found = histograms.get(seriesKey(name, labels));
      return found === undefined ? undefined : summarise(found);
    },
    value: (name, labels = {}) => numbers.get(seriesKey(name, labels)) ?? 0,
    expose: () => [...exposeNumbers(numbers), ...exposeHistograms(histograms), ""].join("\n"),
  };
}

function seriesKey(name: string, labels: MetricLabels): string {
  const pairs = Object.entries(labels).map(([label, value]) => `${label}=${JSON.stringify(value)}`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(",")}}`;
}

function summarise(histogram: Histogram): HistogramSummary {
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
  return { count: histogram.totalCount, p50: at(50), p99: at(99), maximum: at(100) };
}

function exposeNumbers(numbers: ReadonlyMap<string, number>): string[] {
  return [...numbers].map(([key, value]) => `dogwoodhoist_${key} ${value}`);
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
