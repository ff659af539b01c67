/**
 * The probe of late timers, by a clock that the test moves, and the link's use that it tells.
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
/** How much later than the timers' clock the process's clock is: time in which it did not run. */
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

function pass(milliseconds: number): void {
  vi.advanceTimersByTime(milliseconds);
}

test("a process in time records it and writes nothing", () => {
  pass(20_000);
  expect(lines).toEqual([]);
  expect(metrics.summary("loop_delay_milliseconds")?.count).toBe(200);
  expect(metrics.summary("loop_delay_milliseconds")?.maximum).toBe(0);
  expect(metrics.value("processor_share")).toBeGreaterThanOrEqual(0);
});

test("a stall is told once, with its length and what the process did in the window", () => {
  pass(1_000);
  stalled = 420;
  bytesSent = 51_000;
  pass(10_000);
  expect(lines).toHaveLength(1);
  expect(lines[0]).toMatch(/level=info event=process-load windowMilliseconds=3\d\d\d delayMaximum=420 /);
  expect(lines[0]).toMatch(
    /delayTail=42\d processorShare=\S+ bytesSent=50000 bytesReceived=0 ordersInFlight=7$/,
  );
  expect(Math.round(metrics.summary("loop_delay_milliseconds")?.maximum ?? 0)).toBeGreaterThanOrEqual(420);
});

test("a process that is late all the time writes one line for each window", () => {
  for (let turn = 0; turn < 60; turn += 1) {
    stalled += 400;
    pass(intervalMilliseconds);
  }
  // Sixty turns of half a second are ten windows.
  expect(lines.length).toBeGreaterThanOrEqual(8);
  expect(lines.length).toBeLessThanOrEqual(10);
});

test("nothing is measured after the probe was closed", () => {
  pass(1_000);
  probe.close();
  stalled = 5_000;
  pass(10_000);
  expect(metrics.summary("loop_delay_milliseconds")?.count).toBe(10);
  expect(lines).toEqual([]);
});

test("the use of the link is the sum over all peers, messages with an estimate for their headers", () => {
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
