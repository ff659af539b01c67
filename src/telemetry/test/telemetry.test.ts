/**
 * Log formatting, the exposition of metrics, and spans with context propagation.
 * @packageDocumentation
 */
import http from "node:http";
import type { AddressInfo } from "node:net";
import { expect, test } from "vitest";
import { createLog, createMetrics, createSpanExporter, createTracing } from "../index.js";

test("an event is one line of key=value pairs, quoted where needed", () => {
  const lines: string[] = [];
  const log = createLog("info", (line) => lines.push(line)).with({ entry: "entry-1" });
  log.write("info", "move-finished", {
    instance: "a b",
    reason: 'said "no"\nthen = left',
    count: 3,
    to: undefined,
  });
  log.write("debug", "hidden");
  expect(lines).toHaveLength(1);
  expect(lines[0]?.replace(/^time=\S+ /, "")).toBe(
    'level=info event=move-finished entry=entry-1 instance="a b" reason="said \\"no\\"\\nthen = left" count=3',
  );
});

test("a field of an event replaces a bound field of the same name, and an empty value is quoted", () => {
  const lines: string[] = [];
  const log = createLog("debug", (line) => lines.push(line)).with({ entry: "entry-1", pool: "quotes" });
  log.write("debug", "first", { pool: "parts", isHeld: false, share: Number.NaN });
  log.with({ pool: "presses", peer: undefined }).write("error", "second", { name: "", backslash: "a\\b" });
  log.write("warn", "third", { entry: undefined });
  expect(lines.map((line) => line.replace(/^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z /, ""))).toEqual([
    "level=debug event=first entry=entry-1 pool=parts isHeld=false share=NaN",
    'level=error event=second entry=entry-1 pool=presses name="" backslash=a\\b',
    "level=warn event=third pool=quotes",
  ]);
});

test("events below the log's level are not formatted", () => {
  const log = createLog("warn", () => undefined);
  const fields = {
    get costly(): string {
      throw new Error("it was read");
    },
  };
  expect(() => {
    log.write("info", "hidden", fields);
  }).not.toThrow();
  expect(() => {
    log.write("warn", "shown", fields);
  }).toThrow("it was read");
});

test("label values are escaped as in JSON", () => {
  const metrics = createMetrics();
  const values = ["plain", "", 'a"b', "back\\slash", "line\nbreak", "tab\t", "bell\u0007", "é中😀", "\ud800"];
  for (const value of values) metrics.count("answers_total", { first: "x", value });
  const lines = metrics.expose().split("\n").slice(0, -1);
  expect(lines).toEqual(
    values.map((value) => `dogwoodhoist_answers_total{first="x",value=${JSON.stringify(value)}} 1`),
  );
});

test("a handle to a series and updates by name and labels change the same series", () => {
  const metrics = createMetrics();
  const counter = metrics.counter("answers_total", { outcome: "answered" });
  counter.add();
  metrics.count("answers_total", { outcome: "answered" }, 2);
  counter.add(4);
  expect(metrics.value("answers_total", { outcome: "answered" })).toBe(7);
  metrics.histogram("wait_milliseconds").observe(5);
  metrics.observe("wait_milliseconds", 7);
  expect(metrics.summary("wait_milliseconds")?.count).toBe(2);
  let kept = 3;
  metrics.follow("held", () => kept, { pool: "quotes" });
  kept = 4;
  expect(metrics.value("held", { pool: "quotes" })).toBe(4);
  expect(metrics.expose()).toContain('dogwoodhoist_held{pool="quotes"} 4');
});

test("metrics are exposed with labels and quantiles", () => {
  const metrics = createMetrics();
  metrics.count("answers_total", { outcome: "answered" });
  metrics.count("answers_total", { outcome: "answered" }, 2);
  metrics.set("slots", 8);
  for (let value = 1; value <= 100; value += 1)
    metrics.observe("wait_milliseconds", value, { pool: "quotes" });
  const lines = metrics.expose().split("\n");
  expect(lines).toContain('dogwoodhoist_answers_total{outcome="answered"} 3');
  expect(lines).toContain("dogwoodhoist_slots 8");
  expect(lines).toContain('dogwoodhoist_wait_milliseconds_count{pool="quotes"} 100');
  const median = lines.find((line) => line.includes('quantile="0.5"'));
  expect(Math.round(Number(median?.split(" ")[1]))).toBe(50);
});

test("a span continues the caller's trace and propagates its context", async () => {
  const lines: string[] = [];
  const tracing = createTracing(
    createSpanExporter(
      { exporter: "log" },
      createLog("info", (line) => lines.push(line)),
    ),
  );
  const trace = "0af7651916cd43dd8448eb211c80319c";
  const caller = tracing.extract({ traceparent: `00-${trace}-b7ad6b7169203331-01` });
  const passedOn = await tracing.within("request", caller, {}, async (request) =>
    tracing.within("target", request, {}, async (context) => Promise.resolve(tracing.inject(context))),
  );
  await tracing.close();
  const spanOf = (name: string) =>
    Object.fromEntries(
      (lines.find((line) => line.includes(`name=${name}`)) ?? "").split(" ").map((pair) => pair.split("=")),
    ) as Record<string, string>;
  expect(passedOn.traceparent).toBe(`00-${trace}-${spanOf("target").span ?? ""}-01`);
  expect(spanOf("target").parent).toBe(spanOf("request").span);
  expect(spanOf("request").parent).toBe("b7ad6b7169203331");
});

test("the otlp exporter sends spans to a collector", async () => {
  const bodies: string[] = [];
  const collector = http.createServer((request, response) => {
    let body = "";
    request.on("data", (chunk: Buffer) => (body += chunk.toString()));
    request.on("end", () => {
      bodies.push(body);
      response.writeHead(200, { "content-type": "application/json" }).end("{}");
    });
  });
  await new Promise<void>((resolve) => collector.listen(0, "127.0.0.1", resolve));
  const address = `http://127.0.0.1:${(collector.address() as AddressInfo).port}/v1/traces`;
  const tracing = createTracing(createSpanExporter({ exporter: "otlp", address }, createLog("silent")));
  await tracing.within("queue", tracing.extract({}), { pool: "quotes" }, async () => Promise.resolve());
  await tracing.close();
  await new Promise((resolve) => collector.close(resolve));
  expect(bodies).toHaveLength(1);
  const spans = JSON.parse(bodies[0] ?? "{}") as {
    resourceSpans?: { scopeSpans: { spans: { name: string }[] }[] }[];
  };
  expect(spans.resourceSpans?.[0]?.scopeSpans[0]?.spans.map(({ name }) => name)).toEqual(["queue"]);
});
