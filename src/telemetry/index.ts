/**
 * Logs, metrics, traces and the timeline of a job.
 * @packageDocumentation
 */
export { createBoundedLabel } from "./bounded-label.js";
export { createBoundedSink, type BoundedSink } from "./bounded-sink.js";
export { readJobTimeline, type TimelineLine } from "./job-timeline.js";
export { parseLogLine } from "./log-line.js";
export {
  createLinkMeter,
  followLink,
  readLinkUse,
  type LinkMeter,
  type LinkPeer,
  type LinkUse,
} from "./link-use.js";
export { createLog, type Log, type LogFields, type LogLevel, type LogValue } from "./log.js";
export {
  createLoopDelayProbe,
  type LoopDelayOptions,
  type LoopDelayProbe,
  type ProcessUse,
} from "./loop-delay.js";
export {
  createMetrics,
  type Counter,
  type DurationHistogram,
  type HistogramSummary,
  type MetricLabels,
  type Metrics,
} from "./metrics.js";
export { createPacedEvents, type PacedFields } from "./paced-events.js";
export { createSpanExporter, type TraceSettings } from "./span-exporters.js";
export { createTracing, type TraceHeaders, type Tracing } from "./tracing.js";
