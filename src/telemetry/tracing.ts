/**
 * Traces with a span for each hop, passed on in W3C trace context headers.
 * @packageDocumentation
 */
import {
  ROOT_CONTEXT,
  SpanStatusCode,
  defaultTextMapGetter,
  defaultTextMapSetter,
  trace,
  type Attributes,
  type Context,
  type Span,
} from "@opentelemetry/api";
import { W3CTraceContextPropagator } from "@opentelemetry/core";
import { BasicTracerProvider, BatchSpanProcessor, type SpanExporter } from "@opentelemetry/sdk-trace-base";

/** The headers that carry a trace from process to process. */
export type TraceHeaders = Record<string, string>;

/** Starts spans and passes their context on. */
export interface Tracing {
  /**
   * Reads the caller's context out of request headers.
   * @param headers - the request's headers
   * @returns the context, empty without a valid header
   */
  extract(headers: Readonly<Record<string, string | string[] | undefined>>): Context;
  /**
   * Writes a context into headers.
   * @param context - the context to pass on
   * @returns the headers
   */
  inject(context: Context): TraceHeaders;
  /**
   * Runs an action within a span.
   * @param name - the hop's name
   * @param parent - the context that the span belongs to
   * @param attributes - what is recorded on the span
   * @param action - gets the span's own context
   * @returns the action's result
   */
  within<Result>(
    name: string,
    parent: Context,
    attributes: Attributes,
    action: (context: Context, span: Span) => Promise<Result>,
  ): Promise<Result>;
  /** Exports what is waiting and stops. */
  close(): Promise<void>;
}

/**
 * Creates tracing.
 * @param exporter - where finished spans go; undefined records nothing
 * @returns the tracing
 */
export function createTracing(exporter: SpanExporter | undefined): Tracing {
  const spanProcessors = exporter === undefined ? [] : [new BatchSpanProcessor(exporter)];
  const provider = exporter === undefined ? undefined : new BasicTracerProvider({ spanProcessors });
  const tracer = provider?.getTracer("dogwoodhoist") ?? trace.getTracer("dogwoodhoist");
  const propagator = new W3CTraceContextPropagator();
  return {
    extract: (headers) => propagator.extract(ROOT_CONTEXT, headers, defaultTextMapGetter),
    inject: (context) => {
      const headers: TraceHeaders = {};
      propagator.inject(context, headers, defaultTextMapSetter);
      return headers;
    },
    within: async (name, parent, attributes, action) => {
      const span = tracer.startSpan(name, { attributes }, parent);
      try {
        return await action(trace.setSpan(parent, span), span);
      } catch (error) {
        span.setStatus({ code: SpanStatusCode.ERROR, message: (error as Error).message });
        throw error;
      } finally {
        span.end();
      }
    },
    close: async () => {
      await provider?.shutdown();
    },
  };
}
