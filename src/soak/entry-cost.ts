/**
 * Measures the processor time, wake-ups and store calls of entries while they start, are idle and are under load, grouped
 * by the role of the entry.
 * @packageDocumentation
 */
import { entryPrefix } from "../pool-owners/index.js";
import { createRandom, delay } from "../shared/index.js";
import type { SoakBounds } from "./bounds.js";
import { Callers } from "./callers.js";
import { createHistory } from "./history.js";
import { drawJob } from "./job-plan.js";
import { startSession, type PlatformSession, type SoakSize } from "./platform-session.js";
import { readProcess, type ProcessReading } from "./process-readings.js";
import type { SoakWire } from "./wire.js";

/** Options of a cost measurement. */
export interface EntryCostOptions {
  readonly wire: SoakWire;
  readonly bounds: SoakBounds;
  readonly size: SoakSize;
  readonly seed: number;
  /** Length of the idle phase, and of the load phase after it. */
  readonly seconds: number;
  readonly jobsPerSecond: number;
  /** Additional Node.js arguments of the entries, for example to record a profile. */
  readonly runtimeArguments: readonly string[];
  /** The folder of the program, the settings and the logs. */
  readonly folder: string;
}

/** The role of an entry at the end of the measurement: it owns pools, relays orders, or does neither. */
export type EntryRole = "owner" | "relay" | "neither";

/** The cost of one entry in one phase: the total for the start, the rate per second for the other phases. */
export interface EntryCost {
  readonly entryId: string;
  readonly processId: number;
  readonly role: EntryRole;
  readonly span: SpanName;
  /** Processor time in milliseconds. */
  readonly processorMilliseconds: number;
  readonly wakeUps: number;
  /** Increase of the entry's counters, by metric series. */
  readonly counts: ReadonlyMap<string, number>;
}

type SpanName = "start" | "rest" | "load";
type Readings = ReadonlyMap<string, ProcessReading>;

/** Time for entries to take over pools and leader roles after the last one has joined. */
const settleMilliseconds = 2_000;
const longestJoinMilliseconds = 30_000;
const pollMilliseconds = 100;
const millisecondsPerSecond = 1_000;
const emptyReading: ProcessReading = { processorMilliseconds: 0, wakeUps: 0, counters: new Map() };

/**
 * Starts a fleet and measures the processor time, wake-ups and counters of each entry.
 * @param options - size, seed and length of the measurement
 * @returns one cost for each entry and phase
 */
export async function measureEntryCosts(options: EntryCostOptions): Promise<EntryCost[]> {
  const { seconds, seed, wire } = options;
  const history = createHistory();
  const session = await startSession({ ...options, history });
  await waitUntilJoined(session);
  await delay(settleMilliseconds);
  const started = await readAll(session);
  await delay(seconds * millisecondsPerSecond);
  const rested = await readAll(session);
  const random = createRandom(seed);
  const callers = new Callers({ wire, entries: session.entries, history, random });
  const callerPlans = await submitJobs(options, session, callers);
  const loaded = await readAll(session);
  history.endedAt = 0;
  const holders = new Set(session.owners().values());
  const processIds = new Map(session.entries.map(({ entryId, processId = 0 }) => [entryId, processId]));
  await Promise.allSettled(callerPlans);
  callers.close();
  // A process that exits by itself can still write its profile; a killed one can't.
  await Promise.all(session.entries.map(async (entry) => entry.stop()));
  await session.close();
  const costs = [
    ...compare("start", new Map(), started, 1),
    ...compare("rest", started, rested, seconds),
    ...compare("load", rested, loaded, seconds),
  ];
  return costs.map((cost) => ({
    ...cost,
    role: findRole(cost.entryId, holders, loaded),
    processId: processIds.get(cost.entryId) ?? 0,
  }));
}

async function waitUntilJoined({ engine, entries }: PlatformSession): Promise<void> {
  const endsAt = performance.now() + longestJoinMilliseconds;
  const joined = (): number => engine.range(entryPrefix, `${entryPrefix}~`).length;
  while (joined() < entries.length && performance.now() < endsAt) await delay(pollMilliseconds);
}

async function submitJobs(
  { seconds, jobsPerSecond, seed }: EntryCostOptions,
  { queues }: PlatformSession,
  callers: Callers,
): Promise<Promise<void>[]> {
  const random = createRandom(seed);
  const errands: Promise<void>[] = [];
  const endsAt = performance.now() + seconds * millisecondsPerSecond;
  while (performance.now() < endsAt) {
    const queue = queues[random.integer(0, queues.length - 1)];
    if (queue !== undefined) errands.push(callers.runPlan(drawJob(random, queue, "plain")));
    await delay(random.exponential(millisecondsPerSecond / jobsPerSecond));
  }
  return errands;
}

async function readAll({ entries }: PlatformSession): Promise<Readings> {
  const readings = entries.map(async ({ entryId, processId, metricsPort }) => {
    const reading = processId === undefined ? emptyReading : await readProcess(processId, metricsPort);
    return [entryId, reading] as const;
  });
  return new Map(await Promise.all(readings));
}

function findRole(entryId: string, holders: ReadonlySet<string>, loaded: Readings): EntryRole {
  if (holders.has(entryId)) return "owner";
  return countRelayed(loaded.get(entryId)) > 0 ? "relay" : "neither";
}

function countRelayed(reading: ProcessReading | undefined): number {
  const relayed = [...(reading?.counters ?? [])].filter(([series]) =>
    series.includes("relayed_orders_total"),
  );
  return relayed.reduce((sum, [, count]) => sum + count, 0);
}

function compare(
  span: SpanName,
  from: Readings,
  to: Readings,
  seconds: number,
): Omit<EntryCost, "role" | "processId">[] {
  return [...to].map(([entryId, reading]) => {
    const before = from.get(entryId) ?? emptyReading;
    const counts = [...reading.counters].map(([series, count]) => {
      return [series, (count - (before.counters.get(series) ?? 0)) / seconds] as const;
    });
    return {
      entryId,
      span,
      processorMilliseconds: (reading.processorMilliseconds - before.processorMilliseconds) / seconds,
      wakeUps: (reading.wakeUps - before.wakeUps) / seconds,
      counts: new Map(counts),
    };
  });
}

const spans: readonly SpanName[] = ["start", "rest", "load"];
const roles: readonly EntryRole[] = ["owner", "relay", "neither"];
const shownSeries = /store_calls_total|caller_answers|relayed_orders_total|target_calls|frames|log_lines/;

/**
 * Formats costs: for each phase and role the mean over its entries, per second except for the start.
 * @param costs - the measured costs
 * @returns lines of text
 */
export function formatEntryCosts(costs: readonly EntryCost[]): string {
  const lines = spans.flatMap((span) =>
    roles.flatMap((role) => {
      const found = costs.filter((cost) => cost.span === span && cost.role === role);
      return found.length === 0 ? [] : describe(span, role, found);
    }),
  );
  return lines.join("\n");
}

function describe(span: SpanName, role: EntryRole, costs: readonly EntryCost[]): string[] {
  const mean = (read: (cost: EntryCost) => number): number =>
    costs.reduce((sum, cost) => sum + read(cost), 0) / costs.length;
  const milliseconds = costs.map((cost) => cost.processorMilliseconds).sort((left, right) => left - right);
  const [least = 0, most = 0] = [milliseconds[0], milliseconds.at(-1)];
  const series = new Set(costs.flatMap(({ counts }) => [...counts.keys()]));
  const counted = [...series]
    .filter((name) => shownSeries.test(name))
    .map((name) => [name, mean(({ counts }) => counts.get(name) ?? 0)] as const)
    .filter(([, rate]) => rate > 0);
  return [
    `${span} ${role} entries=${costs.length} processor=${mean((cost) => cost.processorMilliseconds).toFixed(2)} ms ` +
      `(${least.toFixed(2)} to ${most.toFixed(2)}) wakeUps=${mean((cost) => cost.wakeUps).toFixed(1)} processes=${costs.map(({ processId }) => processId).join(",")}`,
    ...counted.map(([name, rate]) => `    ${name} ${rate.toFixed(2)}`),
  ];
}
