/**
 * Logs, metrics and traces.
 * @packageDocumentation
 */
export { createBoundedSink, type BoundedSink } from "./bounded-sink.js";
export { readJobStory, type StoryLine } from "./job-story.js";
export { createLog, type Log, type LogFields, type LogLevel, type LogValue } from "./log.js";
export { createMetrics, type HistogramSummary, type MetricLabels, type Metrics } from "./metrics.js";
export { createSpanExporter, type TraceSettings } from "./span-exporters.js";
export { createTracing, type TraceHeaders, type Tracing } from "./tracing.js";
