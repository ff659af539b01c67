/**
 * The job path of one home without HTTP: processor time for each task, and the time from acceptance to the first start,
 * by the rate of jobs and by the number of targets.
 * @packageDocumentation
 */
import { build } from "hdr-histogram-js";
import { HomeKeeper, openEntrySession } from "../../job-homes/index.js";
import type { JobHome, JobSubmission } from "../../job-homes/index.js";
import type { QueueTerms, StepDefinition } from "../../jobs/index.js";
import { delay } from "../../shared/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/store/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import type { Figure, Measure } from "../measure.js";
import { createMeasuredTargets } from "./targets.js";

const pool = "presses";
const seconds = 6;
const warmUpSeconds = 3;
const tasksPerStep = 6;
const runMilliseconds = 600;
const coresPerTarget = 32;
/** Jobs a second, targets of the home. */
const sizes = [
  { jobsPerSecond: 15, targets: 10 },
  { jobsPerSecond: 30, targets: 20 },
  { jobsPerSecond: 60, targets: 40 },
] as const;
const microsecondsPerMillisecond = 1_000;
const leaseMilliseconds = 3_000;
/** Of nine submissions one finds room: what callers do while a pool is short. */
const refusedPerAccepted = 8;

const terms: QueueTerms = {
  queue: "quotes",
  pool,
  priority: 0,
  attempts: 2,
  slackFactor: 1.6,
  objectiveMilliseconds: 600,
  needsAdvice: false,
};

/** Measures one home in this process; stand-ins that cost little are part of it. */
export const jobPathMeasure: Measure = {
  name: "jobs",
  description: "one home without HTTP: processor time for each task, from acceptance to start",
  run: async () => {
    const figures: Figure[] = [];
    for (const { jobsPerSecond, targets } of sizes) {
      const label = `${jobsPerSecond} jobs/s, ${targets} targets`;
      figures.push(...(await measureHome(jobsPerSecond, targets, 0, label)));
    }
    const [{ jobsPerSecond, targets }] = sizes;
    const label = `${jobsPerSecond} jobs/s and ${refusedPerAccepted} times as many refused`;
    figures.push(...(await measureHome(jobsPerSecond, targets, refusedPerAccepted, label)));
    return figures;
  },
};

async function measureHome(
  jobsPerSecond: number,
  targetCount: number,
  refused: number,
  label: string,
): Promise<Figure[]> {
  const engine = createStoreEngine();
  const store = new MemoryStoreClient(engine, createStoreFaults());
  const log = createLog("silent");
  const self = { entryId: "a", incarnation: 1, peerAddress: "127.0.0.1:1", zone: "zone" };
  const session = openEntrySession({ store, self, log, leaseMilliseconds });
  const { listed, orders, startedAt } = createMeasuredTargets(
    pool,
    targetCount,
    coresPerTarget,
    runMilliseconds,
  );
  const keeper = new HomeKeeper({
    entryId: "a",
    store,
    session,
    directory: { entries: () => new Map([["a", 1]]), homes: () => new Map(), ageMilliseconds: () => 0 },
    pools: () => [pool],
    listedTargets: () => listed,
    orders,
    advice: undefined,
    log,
    metrics: createMetrics(),
    runLeaseMilliseconds: 5_000,
    retentionMilliseconds: 120_000,
    settleMilliseconds: 0,
  });
  void keeper.run();
  while (keeper.home(pool) === undefined) await delay(10);
  const home = keeper.home(pool);
  if (home === undefined) throw new Error("the pool has no home");
  await delay(300);
  await play(home, jobsPerSecond, refused, warmUpSeconds, "warm");
  const before = process.cpuUsage();
  const acceptedAt = await play(home, jobsPerSecond, refused, seconds, "job");
  const used = process.cpuUsage(before);
  await delay(2_000);
  await keeper.close();
  await session.close();
  engine.close();
  const tasks = jobsPerSecond * seconds * tasksPerStep * 2;
  const waits = build({ numberOfSignificantValueDigits: 3 });
  for (const [jobId, at] of acceptedAt) {
    const first = startedAt.get(`${jobId}.0.0.0`);
    if (first !== undefined) waits.recordValue(Math.max(0, (first - at) * microsecondsPerMillisecond));
  }
  const toMilliseconds = (value: number): number => value / microsecondsPerMillisecond;
  return [
    { name: `${label}: processor time for each task`, value: (used.user + used.system) / tasks, unit: "µs" },
    { name: `${label}: share of a core`, value: (used.user + used.system) / (seconds * 1e6), unit: "share" },
    {
      name: `${label}: acceptance to start, p50`,
      value: toMilliseconds(waits.getValueAtPercentile(50)),
      unit: "ms",
    },
    {
      name: `${label}: acceptance to start, p99`,
      value: toMilliseconds(waits.getValueAtPercentile(99)),
      unit: "ms",
    },
  ];
}

/** Hands jobs in evenly; returns when each was accepted. */
async function play(
  home: JobHome,
  jobsPerSecond: number,
  refused: number,
  length: number,
  prefix: string,
): Promise<Map<string, number>> {
  const acceptedAt = new Map<string, number>();
  const startedAt = performance.now();
  const submit = async (submission: JobSubmission): Promise<void> => {
    const outcome = await home.submit(submission);
    if (outcome.kind === "accepted") acceptedAt.set(submission.jobId, performance.now());
  };
  for (let index = 0; index < jobsPerSecond * length; index += 1) {
    const wait = startedAt + (index * 1_000) / jobsPerSecond - performance.now();
    if (wait > 0) await delay(wait);
    void submit(describeJob(`${prefix}-${index}`, tasksPerStep));
    for (let other = 0; other < refused; other += 1) {
      void submit(describeJob(`${prefix}-${index}-refused-${other}`, 5_000));
    }
  }
  return acceptedAt;
}

function describeJob(jobId: string, taskCount: number): JobSubmission {
  const step: StepDefinition = {
    taskCount,
    resources: { cpuMillicores: 1_800, memoryMegabytes: 500, accelerators: 0 },
    estimateMilliseconds: runMilliseconds,
    after: [],
    isCheckpointed: false,
    isGang: false,
    prefersOneRack: false,
    allowsCopies: false,
    isLasting: false,
    isFiller: false,
  };
  const definition = { spec: "spec", steps: [step, { ...step, after: [0] }] };
  return { jobId, terms, definition, deadlineMilliseconds: 3_000 };
}
