/**
 * A turn of demand: three times what a pool holds for 10 s, then silence. Nine entries, 35 targets in five pools,
 * all in this process over loopback connections; demand goes to the pool `quotes` of 8 targets.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { Agent } from "undici";
import { OwnerAllocator, IndependentAllocator } from "../routing/index.js";
import { createRandom, delay } from "../shared/index.js";
import { startFleet, type Fleet } from "../stand-ins/fleet/index.js";
import type { Figure, Measure } from "./measure.js";
import { createTurnProbe, type AllocatorFactory, type TurnCounts, type TurnProbe } from "./turn-probe.js";

interface TurnOptions {
  readonly seed: number;
  readonly createAllocator: AllocatorFactory;
  /** Kills the pool's owner entry and lets one target fail everything after 3 s. */
  readonly faulty: boolean;
  readonly milliseconds: number;
}

interface TurnAnswer {
  readonly outcome: string;
  readonly endedAt: number;
  readonly milliseconds: number;
}

interface TurnResult {
  readonly answers: readonly TurnAnswer[];
  readonly counts: TurnCounts;
  /** Requests that found all slots of their target taken, as the targets counted. */
  readonly overSlots: number;
  /** Share of the time in which this process's event loop was busy. */
  readonly busy: number;
  /** Longest time in which the event loop did not turn, in milliseconds. */
  readonly longestStall: number;
}

const slots = 8;
const quoteTargets = 8;
const targets = { quotes: quoteTargets, nesting: 7, releases: 7, portal: 7, spare: 6 };
const entryCount = 9;
const zones = 3;
const meanRunMilliseconds = 400;
const loadFactor = 3;
const turnMilliseconds = 10_000;
const rampMilliseconds = 1_000;
const faultMilliseconds = 3_000;
const deadlineMilliseconds = 5_000;
const connections = 4_096;
const millisecondsPerSecond = 1_000;
const nanosecondsPerMillisecond = 1_000_000;
const warmUpMilliseconds = 4_000;
/** Position of the entry that is killed: the owner of the pool `quotes` among these nine. */
const deadEntry = 1;

const createOwner: AllocatorFactory = (options) => new OwnerAllocator(options);
const createIndependent: AllocatorFactory = ({ view, random }) =>
  new IndependentAllocator({ view, random, slotsPerTarget: slots });

async function runTurn(options: TurnOptions): Promise<TurnResult> {
  const probe = createTurnProbe();
  const configuration: unknown = JSON.parse(await readFile("examples/agency/text.json", "utf8"));
  const fleet = await startFleet({
    text: configuration,
    targets,
    entries: entryCount,
    zones,
    meanRunMilliseconds,
    seed: options.seed,
    createAllocator: (parts) => probe.wrap(options.createAllocator(parts)),
  });
  const watched = fleet.targets.slice(0, quoteTargets).map(({ instanceId }) => instanceId);
  probe.watch(watched, slots);
  const before = performance.eventLoopUtilization();
  const delays = monitorEventLoopDelay({ resolution: 10 });
  delays.enable();
  const answers = await sendTurn(fleet, options, probe);
  delays.disable();
  const busy = performance.eventLoopUtilization(before).utilization;
  const overSlots = fleet.targets.reduce((sum, target) => sum + target.counts().overSlots, 0);
  await fleet.close();
  const longestStall = delays.max / nanosecondsPerMillisecond;
  return { answers, counts: probe.counts, overSlots, busy, longestStall };
}

async function sendTurn(
  fleet: Fleet,
  { seed, faulty, milliseconds }: TurnOptions,
  probe: TurnProbe,
): Promise<TurnAnswer[]> {
  const random = createRandom(seed);
  const agent = new Agent({ connections, headersTimeout: 0, bodyTimeout: 0 });
  const gap = meanRunMilliseconds / (quoteTargets * slots * loadFactor);
  const startedAt = performance.now();
  const sent: Promise<TurnAnswer>[] = [];
  let isFaulty = false;
  for (let due = 0; due < milliseconds; due += random.exponential(gap)) {
    const wait = startedAt + due - performance.now();
    if (wait > 1) await delay(wait);
    if (faulty && !isFaulty && due > faultMilliseconds) {
      isFaulty = true;
      injectFaults(fleet, probe);
    }
    const entries = fleet.entries.filter((_, index) => !isFaulty || index !== deadEntry);
    const entry = entries[random.integer(0, entries.length - 1)];
    sent.push(sendOne(agent, entry?.addresses.requests ?? "", startedAt));
  }
  const answers = await Promise.all(sent);
  await agent.destroy();
  return answers;
}

function injectFaults(fleet: Fleet, probe: TurnProbe): void {
  void fleet.entries[deadEntry]?.kill();
  const target = fleet.targets[0];
  if (target === undefined) return;
  target.faults.failAll = true;
  probe.ignore(target.instanceId);
}

async function sendOne(agent: Agent, address: string, turnStartedAt: number): Promise<TurnAnswer> {
  const startedAt = performance.now();
  const finish = (outcome: string): TurnAnswer => {
    const now = performance.now();
    return { outcome, endedAt: now - turnStartedAt, milliseconds: now - startedAt };
  };
  try {
    const response = await agent.request({
      origin: `http://${address}`,
      path: "/services/quotes/quote",
      method: "POST",
      headers: { "x-timeout-ms": String(deadlineMilliseconds), "x-team": "plants" },
      body: "panel run",
    });
    await response.body.dump();
    const outcome = response.headers["x-outcome"];
    return finish(typeof outcome === "string" ? outcome : "none");
  } catch {
    return finish("cut");
  }
}

interface TurnSummary {
  readonly goodput: number;
  readonly inTime: number;
  readonly refusedWhileFree: number;
  readonly overSlots: number;
  readonly busy: number;
  readonly longestStall: number;
  readonly failed: number;
  readonly unknown: number;
  readonly waits: readonly number[];
  readonly refusalMilliseconds: readonly number[];
}

function summarise(
  { answers, counts, overSlots, busy, longestStall }: TurnResult,
  faulty: boolean,
): TurnSummary {
  const firstMeasured = faulty ? faultMilliseconds : rampMilliseconds;
  const span = (turnMilliseconds - firstMeasured) / millisecondsPerSecond;
  const healthyTargets = faulty ? quoteTargets - 1 : quoteTargets;
  const limit = ((healthyTargets * slots) / meanRunMilliseconds) * millisecondsPerSecond * span;
  const count = (outcome: string): number => answers.filter((each) => each.outcome === outcome).length;
  const inTime = answers.filter(
    ({ outcome, milliseconds }) => outcome === "answered" && milliseconds <= deadlineMilliseconds,
  );
  const inTurn = inTime.filter(({ endedAt }) => endedAt >= firstMeasured && endedAt < turnMilliseconds);
  return {
    goodput: inTurn.length / limit,
    inTime: inTime.length / (count("answered") + count("failed") + count("unknown")),
    refusedWhileFree: counts.overloadedWhileFree / Math.max(1, counts.overloaded),
    overSlots,
    busy,
    longestStall,
    failed: count("failed"),
    unknown: count("unknown"),
    waits: [...counts.waits].sort((left, right) => left - right),
    refusalMilliseconds: answers
      .filter(({ outcome }) => outcome === "refused")
      .map(({ milliseconds }) => milliseconds)
      .sort((left, right) => left - right),
  };
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

async function compare(seed: number, faulty: boolean): Promise<Figure[]> {
  const options = { seed, faulty, milliseconds: turnMilliseconds };
  const own = summarise(await runTurn({ ...options, createAllocator: createOwner }), faulty);
  const naive = summarise(await runTurn({ ...options, createAllocator: createIndependent }), faulty);
  const prefix = faulty ? "faulty: " : "healthy: ";
  const figure = (
    name: string,
    unit: string,
    read: (summary: TurnSummary) => number,
    target?: string,
  ): Figure => ({
    name: `${prefix}${name}`,
    unit,
    value: read(own),
    baseline: read(naive),
    ...(target === undefined ? {} : { target }),
  });
  return [
    figure("goodput of the physical limit", "share", ({ goodput }) => goodput, "0.97 or more"),
    figure("answered in time of those granted a slot", "share", ({ inTime }) => inTime, "1"),
    figure("refusals while a slot stood free", "share", (each) => each.refusedWhileFree, "under 0.01"),
    figure("requests over a target's slots", "requests", ({ overSlots }) => overSlots, "0"),
    figure("event loop busy", "share", ({ busy }) => busy),
    figure("longest event loop stall", "ms", ({ longestStall }) => longestStall),
    figure("failed", "requests", ({ failed }) => failed),
    figure("unknown", "requests", ({ unknown }) => unknown),
    figure("wait for a slot p50", "ms", ({ waits }) => quantile(waits, 0.5)),
    figure("wait for a slot p99", "ms", ({ waits }) => quantile(waits, 0.99)),
    figure("time to a refusal p50", "ms", (each) => quantile(each.refusalMilliseconds, 0.5)),
    figure("time to a refusal p99", "ms", (each) => quantile(each.refusalMilliseconds, 0.99)),
  ];
}

/** Measures a turn of demand against independent entries, healthy and with faults. */
export const turnMeasure: Measure = {
  name: "turn",
  description: "A turn of 3 times a pool's capacity: owner allocator against independent entries",
  run: async (seed) => {
    // The first seconds of a process go into compiling.
    const warmUp = { seed, faulty: false, milliseconds: warmUpMilliseconds };
    await runTurn({ ...warmUp, createAllocator: createOwner });
    return [...(await compare(seed, false)), ...(await compare(seed, true))];
  },
};
