/**
 * Exporters for finished spans.
 * @packageDocumentation
 */
import { ExportResultCode, hrTimeToMilliseconds } from "@opentelemetry/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import type { ReadableSpan, SpanExporter } from "@opentelemetry/sdk-trace-base";
import type { Log } from "./log.js";

/** Destination of finished spans; `address` is the URL of an OTLP collector over HTTP. */
export type TraceSettings =
  | { readonly exporter: "none" }
  | { readonly exporter: "log" }
  | { readonly exporter: "otlp"; readonly address: string };

/**
 * Creates the configured exporter.
 * @param settings - destination of finished spans
 * @param log - receives the spans if the exporter is `log`
 * @returns the exporter; undefined if spans are not recorded
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

/** Logs finished spans. */
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
