/**
 * Draws the jobs that callers submit from the random source of the soak.
 * @packageDocumentation
 */
import type { JobDefinition, StepDefinition } from "../jobs/index.js";
import type { Random } from "../shared/index.js";
import type { CallerPlan } from "./callers.js";
import type { SoakJob } from "./history.js";

/** A queue that callers submit jobs to. */
export interface SoakQueue {
  readonly queue: string;
  readonly pool: string;
  readonly attempts: number;
  /** The racks of the pool's targets. */
  readonly racks: readonly string[];
}

/**
 * How a job's tasks behave: they succeed, fail on their first run, fail always, run until the job is cancelled, or succeed after
 * a time that is long for a third of the jobs (`mixed`).
 */
export type JobKind = "plain" | "flaky" | "poison" | "lasting" | "mixed";

const identifierDigits = 16;
const hexadecimal = 16;
const millicoresPerCore = 1_000;
const memoryPerTask = 512;
const maximumSteps = 3;
const maximumTasksPerStep = 6;
const shortestTaskMilliseconds = 150;
const longestTaskMilliseconds = 1_200;
const longRunningTasks = 3;
const longRunningStartMilliseconds = 500;
const longShare = 1 / 3;
const longMilliseconds = [8_000, 14_000] as const;
const shortMilliseconds = [500, 1_700] as const;
const maximumMixedTasks = 3;
/** Little enough that tasks of targets that are cut off have room on the others. */
const mixedMillicores = 500;
const flakyShare = 0.1;
const cancelShare = 0.08;
const longRunningCancelShare = 0.3;
const resubmissionShare = 0.1;
const latestCancelMilliseconds = 4_000;
const latestLongRunningCancelMilliseconds = 20_000;

/** Draws a job for a queue and the requests that a caller sends for it; the kind is drawn too unless it is given. */
export function drawJob(random: Random, queue: SoakQueue, wanted?: JobKind): CallerPlan {
  const kind = wanted ?? (random.fraction() < flakyShare ? "flaky" : "plain");
  const isLasting = kind === "lasting";
  const spec = `${kind} ${random.integer(0, Number.MAX_SAFE_INTEGER)}`;
  const definition: JobDefinition = {
    spec,
    steps: drawStepsOf(kind, random, queue),
  };
  const { queue: name, pool, attempts } = queue;
  const job: SoakJob = { queue: name, pool, attempts, jobId: drawIdentifier(random), definition };
  const latest = isLasting ? latestLongRunningCancelMilliseconds : latestCancelMilliseconds;
  const isCancelled = random.fraction() < (isLasting ? longRunningCancelShare : cancelShare);
  const cancelAfterMilliseconds = isCancelled ? random.integer(0, latest) : undefined;
  const isResubmitted = random.fraction() < resubmissionShare;
  const repeatAfterMilliseconds = isResubmitted ? random.integer(0, latestCancelMilliseconds) : undefined;
  return { job, cancelAfterMilliseconds, resubmitAfterMilliseconds: repeatAfterMilliseconds };
}

function drawIdentifier(random: Random): string {
  const digits = Array.from({ length: identifierDigits }, () =>
    random.integer(0, hexadecimal - 1).toString(hexadecimal),
  );
  return digits.join("");
}

function drawStepsOf(kind: JobKind, random: Random, queue: SoakQueue): StepDefinition[] {
  if (kind === "lasting") return [drawLongRunningStep(random)];
  return kind === "mixed" ? [drawMixedStep(random, queue.racks)] : drawSteps(random);
}

/** The data of each step is in one rack, so that tasks run on all targets and don't fill a few. */
function drawMixedStep(random: Random, racks: readonly string[]): StepDefinition {
  const [least, most] = random.fraction() < longShare ? longMilliseconds : shortMilliseconds;
  const taskCount = random.integer(1, maximumMixedTasks);
  return {
    ...drawTasks(random),
    taskCount,
    resources: { cpuMillicores: mixedMillicores, memoryMegabytes: memoryPerTask, accelerators: 0 },
    estimateMilliseconds: random.integer(least, most),
    preferredRack: racks[random.integer(0, racks.length - 1)],
  };
}

function drawSteps(random: Random): StepDefinition[] {
  return Array.from({ length: random.integer(1, maximumSteps) }, (_, index) => ({
    ...drawTasks(random),
    after: index === 0 || random.fraction() < 0.2 ? [] : [random.integer(0, index - 1)],
  }));
}

function drawTasks(random: Random): StepDefinition {
  return {
    taskCount: random.integer(1, maximumTasksPerStep),
    resources: {
      cpuMillicores: random.integer(1, 2) * millicoresPerCore,
      memoryMegabytes: memoryPerTask,
      accelerators: 0,
    },
    estimateMilliseconds: random.integer(shortestTaskMilliseconds, longestTaskMilliseconds),
    after: [],
    isCheckpointed: false,
    isGang: false,
    prefersOneRack: false,
    allowsCopies: false,
    isLasting: false,
    isFiller: false,
  };
}

function drawLongRunningStep(random: Random): StepDefinition {
  return {
    ...drawTasks(random),
    taskCount: longRunningTasks,
    estimateMilliseconds: longRunningStartMilliseconds,
    isLasting: true,
    maximumUnavailable: 1,
  };
}
