/**
 * Measures moves and drains with nine entries: how long each takes and how many calls to the store it costs.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { build as createHistogram } from "hdr-histogram-js";
import { startFleet, waitUntil, type Fleet } from "../stand-ins/index.js";
import type { Figure, Measure } from "./measure.js";

const entryCount = 9;
const zoneCount = 3;
const poolSize = 6;
const operationCount = 20;
const killedOperationCount = 5;
const meanRunMilliseconds = 80;
const timeoutMilliseconds = 60_000;
const idleMilliseconds = 3_000;

type Operation = "move" | "drain";

interface OperationTimes {
  readonly milliseconds: readonly number[];
  readonly unfinished: number;
  readonly calls: number;
  readonly elapsedMilliseconds: number;
}

/** Moves instances between two pools, healthy and with one entry killed. */
export const movesMeasure: Measure = {
  name: "moves",
  description: "time and store calls of a move with nine entries, healthy and with one entry killed",
  run: async (seed) => measureOperations("move", seed),
};

/** Drains and restores instances, healthy and with one entry killed. */
export const drainMeasure: Measure = {
  name: "drain",
  description: "time and store calls of a drain with nine entries, healthy and with one entry killed",
  run: async (seed) => measureOperations("drain", seed),
};

async function measureOperations(operation: Operation, seed: number): Promise<Figure[]> {
  const configuration: unknown = JSON.parse(
    await readFile(new URL("../../examples/agency/text.json", import.meta.url), "utf8"),
  );
  const fleet = await startFleet({
    text: configuration,
    targets: { quotes: poolSize, spare: poolSize },
    entries: entryCount,
    zones: zoneCount,
    meanRunMilliseconds,
    seed,
  });
  const idleCallsPerSecond = await measureIdleCalls(fleet);
  const healthy = await repeat(fleet, operation, operationCount, "healthy");
  await fleet.entries[entryCount - 1]?.kill();
  const killed = await repeat(fleet, operation, killedOperationCount, "killed");
  await fleet.close();
  return [
    { name: "store calls of nine idle entries", value: idleCallsPerSecond, unit: "calls/s" },
    ...describeTimes(`${operation}, healthy`, healthy, idleCallsPerSecond),
    ...describeTimes(`${operation}, one entry killed`, killed, idleCallsPerSecond),
  ];
}

function countCalls({ store }: Fleet): number {
  const { reads, writes, leases, watches } = store.engine.counts;
  return reads + writes + leases + watches;
}

async function measureIdleCalls(fleet: Fleet): Promise<number> {
  const before = countCalls(fleet);
  await waitUntil(() => false, idleMilliseconds);
  return ((countCalls(fleet) - before) / idleMilliseconds) * 1_000;
}

async function repeat(
  fleet: Fleet,
  operation: Operation,
  count: number,
  label: string,
): Promise<OperationTimes> {
  const milliseconds: number[] = [];
  const callsBefore = countCalls(fleet);
  const startedAt = performance.now();
  let unfinished = 0;
  for (let index = 0; index < count; index += 1) {
    const taken = await runOne(fleet, operation, `${label}-${index}`);
    if (taken === undefined) unfinished += 1;
    else milliseconds.push(taken);
  }
  const elapsedMilliseconds = performance.now() - startedAt;
  return { milliseconds, unfinished, calls: countCalls(fleet) - callsBefore, elapsedMilliseconds };
}

async function runOne(fleet: Fleet, operation: Operation, changeId: string): Promise<number | undefined> {
  const placement = fleet.entries[0]?.placement;
  const target = placement?.serving("spare")[0] ?? placement?.serving("quotes")[0];
  if (placement === undefined || target === undefined) return undefined;
  const { instanceId } = target;
  const pool = operation === "drain" ? target.pool : target.pool === "spare" ? "quotes" : "spare";
  const state = operation === "drain" ? "stopped" : "serving";
  const body = operation === "drain" ? { instanceId, changeId } : { instanceId, pool, changeId };
  const isDone = (): boolean => {
    const placed = placement.find(instanceId);
    return placed?.pool === pool && placed.state === state;
  };
  const startedAt = performance.now();
  await send(fleet, operation, body);
  const finished = await waitUntil(isDone, timeoutMilliseconds);
  const taken = performance.now() - startedAt;
  if (operation === "drain" && finished) {
    await send(fleet, "restore", { instanceId, changeId: `${changeId}-restore` });
    await waitUntil(() => placement.find(instanceId)?.state === "serving");
  }
  return finished ? taken : undefined;
}

async function send(fleet: Fleet, command: string, body: unknown): Promise<void> {
  const address = fleet.entries[0]?.addresses.operators ?? "";
  await fetch(`http://${address}/operator/${command}`, { method: "POST", body: JSON.stringify(body) });
}

function describeTimes(name: string, times: OperationTimes, idleCallsPerSecond: number): Figure[] {
  const histogram = createHistogram();
  for (const value of times.milliseconds) histogram.recordValue(Math.round(value));
  const count = times.milliseconds.length;
  const idleCalls = (idleCallsPerSecond * times.elapsedMilliseconds) / 1_000;
  return [
    { name: `${name}: p50`, value: histogram.getValueAtPercentile(50), unit: "ms" },
    { name: `${name}: maximum`, value: histogram.maxValue, unit: "ms" },
    { name: `${name}: finished`, value: count, unit: `of ${count + times.unfinished}` },
    {
      name: `${name}: store calls beyond idle`,
      value: (times.calls - idleCalls) / Math.max(1, count),
      unit: "calls each",
    },
  ];
}
