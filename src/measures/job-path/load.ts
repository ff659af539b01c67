/**
 * Callers of an owner: jobs that find room, jobs that are refused again and again, and jobs that wait.
 * @packageDocumentation
 */
import type { PoolOwner, JobSubmission } from "../../pool-owners/index.js";
import { jobPrefix, progressPrefix, type QueueTerms, type StepDefinition } from "../../jobs/index.js";
import { delay } from "../../shared/index.js";
import { maximumTransactionEntries, type TransactionalStore } from "../../store/index.js";

/** What callers ask an owner for. */
export interface OwnerLoad {
  /** Jobs that are accepted, a second. */
  readonly jobsPerSecond: number;
  /** Submissions that are refused, a second. */
  readonly refusedPerSecond: number;
}

/** The pool of the measured owner. */
export const measuredPool = "presses";
/** How long every task runs. */
export const runMilliseconds = 640;
/** What every task takes. */
export const coresPerTask = 1.8;
const tasksPerStep = 8;
const millicoresPerCore = 1_000;
/** Of five jobs three have a second step. */
const secondSteps = [true, false, true, false, true];
/** Tasks of a job, on the mean. */
export const tasksPerJob =
  (tasksPerStep * (secondSteps.length + secondSteps.filter(Boolean).length)) / secondSteps.length;
/** A task that needs so much finds no room: its forecast looks through the whole plan, as in a pool that is full. */
const refusedResources = { cpuMillicores: 100_000_000, memoryMegabytes: 500, accelerators: 0 };
/** Callers hand a refused job in so often. */
const attemptsPerRefused = 4;
const deadlineMilliseconds = 3_000;
const roundMilliseconds = 5;

const terms: QueueTerms = {
  queue: "quotes",
  pool: measuredPool,
  priority: 0,
  attempts: 2,
  slackFactor: 1.6,
  objectiveMilliseconds: 600,
  needsAdvice: false,
};

/**
 * Hands jobs in evenly.
 * @param owner - the owner
 * @param load - how many a second
 * @param seconds - for how long
 * @param prefix - of the jobs' identifiers
 * @returns when each job was accepted, by the monotonic clock
 */
export async function playLoad(
  owner: PoolOwner,
  load: OwnerLoad,
  seconds: number,
  prefix: string,
): Promise<Map<string, number>> {
  const acceptedAt = new Map<string, number>();
  const startedAt = performance.now();
  const submit = async (submission: JobSubmission): Promise<void> => {
    const outcome = await owner.submit(submission);
    if (outcome.kind === "accepted") acceptedAt.set(submission.jobId, performance.now());
  };
  let [accepted, refused] = [0, 0];
  for (let elapsed = 0; elapsed < seconds; elapsed = (performance.now() - startedAt) / 1_000) {
    for (; accepted < elapsed * load.jobsPerSecond; accepted += 1) {
      void submit(describeJob(`${prefix}-${accepted}`, secondSteps[accepted % secondSteps.length] === true));
    }
    for (; refused < elapsed * load.refusedPerSecond; refused += 1) {
      const job = Math.floor(refused / attemptsPerRefused);
      void submit(describeJob(`${prefix}-refused-${job}`, true, { resources: refusedResources }));
    }
    await delay(roundMilliseconds);
  }
  return acceptedAt;
}

/**
 * Hands in jobs that wait for a target that does not come.
 * @param owner - the owner
 * @param count - how many
 */
export async function addWaitingJobs(owner: PoolOwner, count: number): Promise<void> {
  const jobs = Array.from({ length: count }, (_, index) =>
    describeJob(`waiting-${index}`, index % 2 === 0, {
      requiredLabel: "none",
      resources: { cpuMillicores: 1, memoryMegabytes: 1, accelerators: 0 },
    }),
  );
  await Promise.all(jobs.map(async (job) => owner.submit(job)));
}

/**
 * Stores jobs that have ended just now, for an owner that is yet to come.
 * @param store - the store
 * @param count - how many
 */
export async function storeEndedJobs(store: TransactionalStore, count: number): Promise<void> {
  const now = Date.now();
  const ended = { finalState: "complete", endedAt: now, succeeded: [], failures: {} };
  const writes = Array.from({ length: count }, (_, index) => {
    const { jobId, terms: jobTerms, definition } = describeJob(`ended-${index}`, true);
    const record = { jobId, terms: jobTerms, definition, acceptedAt: now, requestedAt: now };
    return [
      { key: `${jobPrefix}${jobId}`, value: record },
      { key: `${progressPrefix}${jobId}`, value: ended },
    ];
  }).flat();
  for (let first = 0; first < writes.length; first += maximumTransactionEntries) {
    await store.transact({ expected: [], writes: writes.slice(first, first + maximumTransactionEntries) });
  }
}

function describeJob(
  jobId: string,
  hasSecondStep: boolean,
  changes: Partial<StepDefinition> = {},
): JobSubmission {
  const step: StepDefinition = {
    taskCount: tasksPerStep,
    resources: { cpuMillicores: coresPerTask * millicoresPerCore, memoryMegabytes: 500, accelerators: 0 },
    estimateMilliseconds: runMilliseconds,
    after: [],
    isCheckpointed: false,
    isGang: false,
    prefersOneRack: false,
    allowsCopies: false,
    isLasting: false,
    isFiller: false,
    ...changes,
  };
  const steps = hasSecondStep ? [step, { ...step, after: [0] }] : [step];
  return { jobId, terms, definition: { spec: "spec", steps }, deadlineMilliseconds };
}
