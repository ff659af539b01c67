/**
 * Where finished spans go.
 * @packageDocumentation
 */
import { ExportResultCode, hrTimeToMilliseconds } from "@opentelemetry/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import type { ReadableSpan, SpanExporter } from "@opentelemetry/sdk-trace-base";
import type { Log } from "./log.js";

/** Settings of the export of spans. */
export type TraceSettings =
  | { readonly exporter: "none" }
  | { readonly exporter: "log" }
  | { readonly exporter: "otlp"; readonly address: string };

/**
 * Creates the exporter that the settings name.
 * @param settings - where spans go
 * @param log - takes the spans of the `log` exporter
 * @returns the exporter, undefined when spans are not recorded
 */
export function createSpanExporter(settings: TraceSettings, log: Log): SpanExporter | undefined {
  switch (settings.exporter) {
    case "none":
      return undefined;
    case "log":
      return new LogSpanExporter(log);
    case "otlp":
      return new OTLPTraceExporter({ url: settings.address });
  }
}

/** Writes finished spans as log lines. */
class LogSpanExporter implements SpanExporter {
  readonly #log: Log;

  constructor(log: Log) {
    this.#log = log;
  }

  export(spans: ReadableSpan[], done: (result: { code: ExportResultCode }) => void): void {
    for (const span of spans) {
      this.#log.write("info", "span", {
        name: span.name,
        trace: span.spanContext().traceId,
        span: span.spanContext().spanId,
        parent: span.parentSpanContext?.spanId,
        milliseconds: Number(hrTimeToMilliseconds(span.duration).toFixed(3)),
      });
    }
    done({ code: ExportResultCode.SUCCESS });
  }

  async shutdown(): Promise<void> {
    await Promise.resolve();
  }
}
