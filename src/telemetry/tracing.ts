/**
 * Distributed tracing with one span per hop; the context is propagated in W3C Trace Context headers.
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

/** Headers that propagate a trace context between processes. */
export type TraceHeaders = Record<string, string>;

/** Records spans and propagates their context. */
export interface Tracing {
  /**
   * Reads the caller's trace context from request headers.
   * @param headers - request headers, with names in lower case
   * @returns the context; the root context if there is no valid `traceparent` header
   */
  extract(headers: Readonly<Record<string, string | string[] | undefined>>): Context;
  /**
   * Creates the headers that propagate a context.
   * @param context - context of the current span
   * @returns the headers; empty if the context has no valid span
   */
  inject(context: Context): TraceHeaders;
  /**
   * Runs an action within a new span. If the action throws, the span's status is set to error and the error is rethrown.
   * @param name - name of the span, such as `queue`
   * @param parent - context of the parent span
   * @param attributes - initial attributes of the span
   * @param action - receives the context to propagate and the span
   * @returns the result of the action
   */
  within<Result>(
    name: string,
    parent: Context,
    attributes: Attributes,
    action: (context: Context, span: Span) => Promise<Result>,
  ): Promise<Result>;
  /** Exports the pending spans and shuts the exporter down. */
  close(): Promise<void>;
}

/**
 * Creates the tracing of a process.
 * @param exporter - destination of finished spans; undefined disables recording, but contexts are still propagated
 * @returns the tracing; it must be closed to export the last spans
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
