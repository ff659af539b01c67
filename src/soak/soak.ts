/**
 * Runs one soak: starts a session, injects the planned faults while callers submit jobs, and checks the promises.
 * @packageDocumentation
 */
import { monitorEventLoopDelay } from "node:perf_hooks";
import { createRandom, delay, type Random } from "../shared/index.js";
import type { SoakBounds } from "./bounds.js";
import { Callers } from "./callers.js";
import { readClock } from "./clock.js";
import { faultInjectors, type FaultContext } from "./faults.js";
import { divideTime, planFaults, type FaultName, type PlannedFault, type SoakTimes } from "./fault-plan.js";
import { createHistory, type SoakHistory } from "./history.js";
import { drawJob, type JobKind } from "./job-plan.js";
import { startSession, type PlatformSession, type SoakSize } from "./platform-session.js";
import { findViolations, hasSettled, type Violation } from "./promises/index.js";
import { watchProcessors } from "./processor-watch.js";
import { planRestarts, type RestartVariant } from "./restart-plan.js";
import { RestartRounds } from "./restart-rounds.js";
import { samplePools } from "./samples.js";
import type { SoakWire } from "./wire.js";

/** Options of a soak. */
export interface SoakOptions {
  readonly wire: SoakWire;
  readonly seed: number;
  readonly seconds: number;
  readonly size: SoakSize;
  readonly bounds: SoakBounds;
  /** The kinds of faults to draw from. */
  readonly faults: readonly FaultName[];
  /** Plays rounds of restarts and cuts with mixed jobs, in these variants, in place of drawn faults; undefined for none. */
  readonly restarts?: readonly RestartVariant[] | undefined;
  /** A bundle to run in place of one that is built from these sources. */
  readonly program?: string | undefined;
  /** The folder of the program, the settings and the logs. */
  readonly folder: string;
}

/** The result of a soak. */
export interface SoakResult {
  readonly seed: number;
  readonly history: SoakHistory;
  readonly planned: readonly PlannedFault[];
  readonly violations: readonly Violation[];
  /** The longest event loop delay of this process, which runs the stand-ins and the callers. */
  readonly longestHoldUpMilliseconds: number;
}

interface Soak {
  readonly options: SoakOptions;
  readonly history: SoakHistory;
  readonly session: PlatformSession;
  readonly callers: Callers;
  readonly random: Random;
  readonly times: SoakTimes;
  readonly callerPlans: Promise<unknown>[];
}

const jobsPerSecondAndPool = 1;
const longRunningJobsPerPool = 2;
const mixedJobMilliseconds = 150;
/** With more than one pool, mixed jobs come twice as often. */
const mixedJobMillisecondsOfPools = 75;
const sampleMilliseconds = 250;
const statusMilliseconds = 100;
const readyMilliseconds = 3_000;
const longestSettleMilliseconds = 30_000;
const nanosecondsPerMillisecond = 1e6;
/** Gives the callers a random sequence that is independent of the fault plan. */
const callerSeedOffset = 0x5eed;

/**
 * Runs a soak.
 * @param options - seed, length, size and the adapter of the wire
 * @returns the history and the broken promises
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { wire, seed, seconds, bounds } = options;
  const history = createHistory();
  const movesClocks = options.restarts?.includes("clock-jump") === true;
  const session = await startSession({ ...options, history, movesClocks });
  const random = createRandom(seed + callerSeedOffset);
  const callers = new Callers({ wire, entries: session.entries, history, random });
  const times = divideTime(seconds);
  const planned = options.restarts === undefined ? planFaults(seed, times, options.faults) : [];
  const soak: Soak = { options, history, session, callers, random, times, callerPlans: [] };
  const eventLoopDelay = monitorEventLoopDelay({ resolution: 10 });
  eventLoopDelay.enable();
  const stopSampling = startSampling(soak);
  await delay(readyMilliseconds);
  recordStart(soak);
  await Promise.all([injectFaults(soak, planned), playRestarts(soak), submitJobs(soak), delay(times.endsAt)]);
  await waitUntilSettled(soak);
  history.endedAt = readClock();
  stopSampling();
  await Promise.allSettled(soak.callerPlans);
  eventLoopDelay.disable();
  const violations = findViolations(history, bounds);
  callers.close();
  await session.close();
  return {
    seed,
    history,
    planned,
    violations,
    longestHoldUpMilliseconds: eventLoopDelay.max / nanosecondsPerMillisecond,
  };
}

function recordStart({ history, times }: Soak): void {
  history.startedAt = readClock();
  history.trafficEndedAt = history.startedAt + times.trafficEndsAt;
}

/** A shortage of processor time can outlast the planned end. Promises that hold after the last fault need its end. */
async function waitUntilSettled({ history, options: { bounds } }: Soak): Promise<void> {
  const latest = readClock() + longestSettleMilliseconds;
  while (readClock() < latest && !hasSettled(history, bounds, readClock())) await delay(sampleMilliseconds);
}

function submitJob(
  { callers, random, session, callerPlans: errands }: Soak,
  kind?: JobKind,
  isCancelled = false,
): void {
  const queue = session.queues[random.integer(0, session.queues.length - 1)];
  if (queue === undefined) return;
  const plan = drawJob(random, queue, kind);
  const cancelAfterMilliseconds = isCancelled ? random.integer(0, 2_000) : plan.cancelAfterMilliseconds;
  errands.push(callers.runPlan({ ...plan, cancelAfterMilliseconds }));
}

async function submitJobs(soak: Soak): Promise<void> {
  const { session, random, history } = soak;
  const pools = session.queues.length;
  for (let count = 0; count < pools * longRunningJobsPerPool; count += 1) submitJob(soak, "lasting");
  const kind = soak.options.restarts === undefined ? undefined : "mixed";
  const mixedMilliseconds = pools === 1 ? mixedJobMilliseconds : mixedJobMillisecondsOfPools;
  const meanMilliseconds = kind === "mixed" ? mixedMilliseconds : 1_000 / (pools * jobsPerSecondAndPool);
  while (readClock() < history.trafficEndedAt) {
    submitJob(soak, kind);
    await delay(random.exponential(meanMilliseconds));
  }
}

async function playRestarts({ history, session, times, options }: Soak): Promise<void> {
  const { restarts, seed, size, bounds } = options;
  if (restarts === undefined) return;
  await new RestartRounds(session, history).play(planRestarts(seed, times, size, bounds, restarts));
}

async function injectFaults(soak: Soak, planned: readonly PlannedFault[]): Promise<void> {
  const { history, session } = soak;
  const stage: FaultContext = {
    session,
    submitJobs: (count, nature, areCancelled) => {
      for (let handedIn = 0; handedIn < count; handedIn += 1) submitJob(soak, nature, areCancelled);
    },
  };
  const injections = planned.map(async (fault) => {
    await delay(history.startedAt + fault.at - readClock());
    const { isPlanned, inject: play } = faultInjectors[fault.name];
    const record = {
      name: fault.name,
      subject: `${fault.choice.toFixed(2)}/${fault.amount.toFixed(2)}`,
      from: readClock(),
      to: Number.POSITIVE_INFINITY,
      isPlanned,
    };
    history.faults.push(record);
    await play(stage, fault);
    record.to = readClock();
  });
  await Promise.all(injections);
}

/** Samples pools, wave states and processor shortages until the returned function is called. */
function startSampling({ history, session, options: { wire } }: Soak): () => void {
  const readStatus = (): void => {
    for (const wave of history.waves) {
      const value = session.engine.range(wire.waveStatusKey(wave.wave))[0]?.value;
      if (value !== undefined && wire.isWaveComplete(value)) wave.completeAt ??= readClock();
    }
  };
  const timers = [
    setInterval(() => {
      samplePools(history, session.targets);
    }, sampleMilliseconds),
    setInterval(readStatus, statusMilliseconds),
  ];
  const stopWatching = watchProcessors(
    () => [
      { name: "stand-ins and callers", processId: process.pid },
      ...session.entries.map(({ entryId, processId }) => ({ name: entryId, processId })),
    ],
    history.faults,
  );
  return () => {
    stopWatching();
    for (const timer of timers) clearInterval(timer);
  };
}
