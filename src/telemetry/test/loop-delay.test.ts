/**
 * The event loop delay probe with a simulated clock, and the traffic counters.
 * @packageDocumentation
 */
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import {
  createLinkMeter,
  createLog,
  createLoopDelayProbe,
  createMetrics,
  followLink,
  readLinkUse,
  type LoopDelayProbe,
  type Metrics,
} from "../index.js";

const intervalMilliseconds = 100;
let probe: LoopDelayProbe;
let metrics: Metrics;
let lines: string[];
/** Simulated stall: milliseconds by which the probe's clock is ahead of the clock that fires the timers. */
let stalled: number;
let bytesSent: number;

beforeEach(() => {
  vi.useFakeTimers({ now: 0 });
  metrics = createMetrics();
  lines = [];
  stalled = 0;
  bytesSent = 1_000;
  probe = createLoopDelayProbe({
    log: createLog("info", (line) => lines.push(line)),
    metrics,
    use: () => ({ bytesSent, bytesReceived: 0, ordersInFlight: 7 }),
    now: () => Date.now() + stalled,
  });
});
afterEach(() => {
  probe.close();
  vi.useRealTimers();
});

function advanceTime(milliseconds: number): void {
  vi.advanceTimersByTime(milliseconds);
}

test("timers that run on time are recorded but not logged", () => {
  advanceTime(20_000);
  expect(lines).toEqual([]);
  expect(metrics.summary("loop_delay_milliseconds")?.count).toBe(200);
  expect(metrics.summary("loop_delay_milliseconds")?.maximum).toBe(0);
  expect(metrics.value("processor_share")).toBeGreaterThanOrEqual(0);
});

test("a stall is logged once, with its length and the traffic of the window", () => {
  advanceTime(1_000);
  stalled = 420;
  bytesSent = 51_000;
  advanceTime(10_000);
  expect(lines).toHaveLength(1);
  expect(lines[0]).toMatch(/level=info event=process-load windowMilliseconds=3\d\d\d delayMaximum=420 /);
  expect(lines[0]).toMatch(
    /delayTail=42\d processorShare=\S+ bytesSent=50000 bytesReceived=0 ordersInFlight=7$/,
  );
  expect(Math.round(metrics.summary("loop_delay_milliseconds")?.maximum ?? 0)).toBeGreaterThanOrEqual(420);
});

test("a continuous delay is logged once per window", () => {
  for (let step = 0; step < 60; step += 1) {
    stalled += 400;
    advanceTime(intervalMilliseconds);
  }
  // 60 steps of half a second are ten windows.
  expect(lines.length).toBeGreaterThanOrEqual(8);
  expect(lines.length).toBeLessThanOrEqual(10);
});

test("a closed probe measures nothing", () => {
  advanceTime(1_000);
  probe.close();
  stalled = 5_000;
  advanceTime(10_000);
  expect(metrics.summary("loop_delay_milliseconds")?.count).toBe(10);
  expect(lines).toEqual([]);
});

test("the total traffic is the sum over all kinds of peers, including an estimate for the headers of messages", () => {
  const targets = createLinkMeter(metrics, "targets");
  targets.sent(100);
  targets.received(50);
  followLink(metrics, "peers", { sent: () => 7_000, received: () => 3_000 });
  const { bytesSent: sent, bytesReceived: received } = readLinkUse(metrics);
  expect(sent).toBeGreaterThan(7_100);
  expect(received).toBeGreaterThan(3_050);
  expect(metrics.value("link_bytes_total", { with: "peers", direction: "sent" })).toBe(7_000);
  expect(metrics.expose()).toContain('dogwoodhoist_link_bytes_total{with="peers",direction="received"} 3000');
});
