/**
 * Log lines, the exposition of metrics, and spans with their context.
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

test("a span joins the caller's trace and passes its context on", async () => {
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

test("spans reach a collector over OTLP", async () => {
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
