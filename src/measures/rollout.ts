/**
 * Measures how long accepted changes take to be in force in every entry, healthy and under faults.
 * @packageDocumentation
 */
import { createRandom, delay, type Random } from "../shared/index.js";
import { waitUntil } from "../stand-ins/fleet/index.js";
import { createMetrics, type HistogramSummary } from "../telemetry/index.js";
import type { Figure, Measure } from "./measure.js";
import { startRollOutFleet, type RollOutFleet } from "./rollout-fleet.js";

const changes = 200;
const pauseBetweenMilliseconds = 20;
const everywhereTimeoutMilliseconds = 10_000;
const idleMilliseconds = 5_000;
const millisecondsPerSecond = 1_000;
const catchUpPollMilliseconds = 10;

/** Roll-out of 200 changes in each of three conditions. */
export const rolloutMeasure: Measure = {
  name: "rollout",
  description: "200 changes on 9 entries: healthy, one entry paused, store watch silent",
  run: async (seed) => {
    const rollOut = await startRollOutFleet(seed);
    const random = createRandom(seed);
    const idle = await countIdleCalls(rollOut);
    const healthy = await measureChanges(rollOut, random);
    rollOut.pause();
    const paused = await measureChanges(rollOut, random);
    const catchUp = await measureCatchUp(rollOut);
    rollOut.fleet.store.faults.muteWatches = true;
    const silent = await measureChanges(rollOut, random);
    await rollOut.close();
    return [
      ...describe("healthy, 8 entries in this process", healthy, "p99 250 ms"),
      ...describe("one entry paused, the other 8", paused, "5 s"),
      { name: "paused entry, from resuming to the newest", value: catchUp, unit: "ms", target: "5 s" },
      ...describe("store watch silent", silent, "5 s"),
      { name: "store calls when idle, 9 entries", value: idle, unit: "calls/s" },
      {
        name: "store calls for a change, idle ones taken off",
        value: healthy.calls - (idle * healthy.seconds) / changes,
        unit: "calls",
      },
    ];
  },
};

interface Result {
  readonly summary: HistogramSummary | undefined;
  readonly missed: number;
  /** Store calls of all entries for each change, idle ones included. */
  readonly calls: number;
  readonly seconds: number;
}

async function measureChanges(rollOut: RollOutFleet, random: Random): Promise<Result> {
  const metrics = createMetrics();
  const callsBefore = countCalls(rollOut);
  const startedAt = performance.now();
  let missed = 0;
  for (let index = 0; index < changes; index += 1) {
    const milliseconds = await rollOutOne(rollOut, random);
    if (milliseconds === undefined) missed += 1;
    else metrics.observe("roll_out", milliseconds);
    await delay(pauseBetweenMilliseconds);
  }
  return {
    summary: metrics.summary("roll_out"),
    missed,
    calls: (countCalls(rollOut) - callsBefore) / changes,
    seconds: (performance.now() - startedAt) / millisecondsPerSecond,
  };
}

/** Applies a change through any entry; returns the time from its sending until it was in force in all. */
async function rollOutOne(
  { fleet, text: operatorConfiguration }: RollOutFleet,
  random: Random,
): Promise<number | undefined> {
  const entry = fleet.entries[random.integer(0, fleet.entries.length - 1)];
  const baseRevision = entry?.configuration.revision() ?? 0;
  const inForceAt = new Map<string, number>();
  const unsubscribe = fleet.entries.map(({ entryId, configuration }) =>
    configuration.events.on("inForce", ({ revision }) => {
      if (revision === baseRevision + 1) inForceAt.set(entryId, performance.now());
    }),
  );
  const sentAt = performance.now();
  const response = await fetch(`http://${entry?.addresses.operators ?? ""}/operator/configuration`, {
    method: "POST",
    body: JSON.stringify({
      changeId: `change-${baseRevision}`,
      author: "measure",
      baseRevision,
      text: operatorConfiguration,
    }),
  });
  await response.text();
  const isEverywhere = (): boolean => inForceAt.size === fleet.entries.length;
  const arrived = response.ok && (await waitUntil(isEverywhere, everywhereTimeoutMilliseconds));
  for (const stop of unsubscribe) stop();
  return arrived ? Math.max(...inForceAt.values()) - sentAt : undefined;
}

async function measureCatchUp(rollOut: RollOutFleet): Promise<number> {
  const newest = rollOut.fleet.entries[0]?.configuration.revision() ?? 0;
  const startedAt = performance.now();
  rollOut.resume();
  while ((await rollOut.pausedRevision()) < newest) await delay(catchUpPollMilliseconds);
  return performance.now() - startedAt;
}

async function countIdleCalls(rollOut: RollOutFleet): Promise<number> {
  const before = countCalls(rollOut);
  await delay(idleMilliseconds);
  return ((countCalls(rollOut) - before) * millisecondsPerSecond) / idleMilliseconds;
}

function countCalls({ fleet }: RollOutFleet): number {
  const { reads, writes, leases, watches } = fleet.store.engine.counts;
  return reads + writes + leases + watches;
}

function describe(name: string, { summary, missed }: Result, target: string): Figure[] {
  return [
    { name: `${name}: p50`, value: summary?.p50 ?? 0, unit: "ms" },
    { name: `${name}: p99`, value: summary?.p99 ?? 0, unit: "ms", target },
    { name: `${name}: maximum`, value: summary?.maximum ?? 0, unit: "ms", target: "5 s" },
    { name: `${name}: not everywhere within 10 s`, value: missed, unit: "changes", target: "0" },
  ];
}
