/**
 * Simulation of a pool that workspaces share, without network and clock: admission, job order and shares are those of an
 * owner, and the targets are modelled as one set of cores.
 * @packageDocumentation
 */
import { admitInShare, reserveJob, compareJobs, forecastEnd, planRoom } from "../../scheduling/index.js";
import type { ForecastJob, OrderedJob, RoomPlan } from "../../scheduling/index.js";
import { createRandom, type Random } from "../../shared/index.js";
import { createFairShares } from "../../workspaces/index.js";

/** Cores of the simulated pool. */
export const poolCores = 1_400;
const tickMilliseconds = 20;
const horizonMilliseconds = 60_000;
/** Mean run time of a task, and of the longest task of a step. */
const taskMilliseconds = 800;
const stepMilliseconds = 920;
const marginMilliseconds = 100;
const needs = { cpuMillicores: 3_000, memoryMegabytes: 0, accelerators: 0 };
const capacity = { cpuMillicores: poolCores * 1_000, memoryMegabytes: 0, accelerators: 0 };
const taskCoreSeconds = (taskMilliseconds * needs.cpuMillicores) / 1e6;
/** Mean tasks of a job: mean steps of a job times mean tasks of a step. */
const meanTasks = 1.6 * 8;
const maximumTries = 5;

/** A job of the simulated load, with its outcome. */
export interface SimulatedJob {
  readonly workspace: string;
  readonly requestSentAt: number;
  /** Number of tasks of each step; the steps run one after the other. */
  readonly widths: readonly number[];
  readonly coreSeconds: number;
  /** Whether the job was accepted with a forecast that it would end within its objective. */
  isPromised: boolean;
  isInTime: boolean;
}

/** An accepted job that has not ended. */
interface OpenJob extends OrderedJob {
  readonly simulatedJob: SimulatedJob;
  step: number;
  waiting: number;
  /** End times of the running tasks. */
  running: readonly number[];
  hasStarted: boolean;
  isOverShare: boolean;
  remainingMilliseconds: number;
}

/**
 * Draws the jobs of a workspace; the same seed gives the same jobs.
 * @param workspace - its name
 * @param seed - of the draws
 * @param load - cores that the workspace's jobs need, as a function of time
 * @param until - when the last jobs are submitted, in milliseconds
 * @returns the jobs in the order of submission
 */
export function drawJobs(
  workspace: string,
  seed: number,
  load: (now: number) => number,
  until: number,
): SimulatedJob[] {
  const random = createRandom(seed);
  const jobs: SimulatedJob[] = [];
  for (let now = 0; now < until; now += tickMilliseconds) {
    let expected = (load(now) / (meanTasks * taskCoreSeconds)) * (tickMilliseconds / 1_000);
    for (; random.fraction() < expected; expected -= 1) jobs.push(drawJob(workspace, now, random));
  }
  return jobs;
}

function drawJob(workspace: string, requestSentAt: number, random: Random): SimulatedJob {
  const width = random.integer(4, 12);
  const widths = random.fraction() < 0.6 ? [width, width] : [width];
  const coreSeconds = widths.length * width * taskCoreSeconds;
  return { workspace, requestSentAt, widths, coreSeconds, isPromised: false, isInTime: false };
}

const chainOf = ({ widths }: SimulatedJob): number => widths.length * stepMilliseconds;
const objectiveOf = (job: SimulatedJob): number => 1.5 * chainOf(job) + 600;

/**
 * Simulates the pool and records the outcome in the jobs. A refused caller retries, five tries in all, until its job is
 * older than its objective.
 * @param jobs - all jobs
 * @param weight - weight of a workspace as a function of time; undefined for a pool without workspaces
 * @param until - when the simulation ends, in milliseconds
 */
export function simulatePool(
  jobs: readonly SimulatedJob[],
  weight: ((workspace: string, now: number) => number | undefined) | undefined,
  until: number,
): void {
  const random = createRandom(7);
  let now = 0;
  const shares = createFairShares({ weight: (name) => weight?.(name, now), cores: () => poolCores });
  const isOver = (workspace: string): boolean => weight !== undefined && shares.isOverShare(workspace, now);
  const calls = new Map<number, { job: SimulatedJob; tries: number }[]>();
  const call = (at: number, job: SimulatedJob, tries: number): void => {
    const tick = Math.ceil(at / tickMilliseconds) * tickMilliseconds;
    calls.set(tick, [...(calls.get(tick) ?? []), { job, tries }]);
  };
  for (const job of jobs) call(job.requestSentAt, job, 1);
  let open: OpenJob[] = [];
  const admit = (plan: RoomPlan, job: SimulatedJob, tries: number): RoomPlan => {
    const { workspace, coreSeconds } = job;
    if (tries === 1) shares.noteRequested(workspace, coreSeconds, now);
    const opened = openJob(job, now);
    const newJob = describe(opened, now, stepMilliseconds);
    const end = forecastEnd(plan, newJob, horizonMilliseconds);
    const age = now - job.requestSentAt;
    const [chainMilliseconds, objective] = [chainOf(job), objectiveOf(job)];
    const forecast = {
      endMilliseconds: end + marginMilliseconds,
      objectiveMilliseconds: objective - age,
      latestMilliseconds: 3 * objective - age,
      startsNow: end <= chainMilliseconds + marginMilliseconds,
    };
    const admission = admitInShare(forecast, {
      isOverShare: isOver(workspace),
      waitMilliseconds: shares.waitMilliseconds(workspace, now),
      limitEndMilliseconds: 0,
      chainMilliseconds,
      spread: random.fraction(),
    });
    if (admission.kind === "refuse") {
      const wait = Math.ceil(admission.retryAfterMilliseconds / 1_000) * 1_000;
      if (tries < maximumTries && age < objective) call(now + wait, job, tries + 1);
      return plan;
    }
    job.isPromised = forecast.endMilliseconds <= forecast.objectiveMilliseconds;
    shares.noteAccepted(workspace, coreSeconds, now);
    open.push(opened);
    return reserveJob(plan, newJob, horizonMilliseconds, 0);
  };
  const sortOpen = (): void => {
    for (const job of open) job.isOverShare = isOver(job.simulatedJob.workspace);
    open.sort((left, right) => compareJobs(left, right, now));
  };
  for (; now < until; now += tickMilliseconds) {
    open = open.filter((job) => !advance(job, now));
    const callers = calls.get(now) ?? [];
    if (callers.length > 0) {
      sortOpen();
      const described = open.map((job) => describe(job, now, taskMilliseconds));
      let plan = planRoom(described, capacity, horizonMilliseconds);
      for (const { job, tries } of callers) plan = admit(plan, job, tries);
    }
    sortOpen();
    let places = Math.floor(capacity.cpuMillicores / needs.cpuMillicores);
    for (const { running } of open) places -= running.length;
    for (const job of open) {
      const count = Math.min(job.waiting, places);
      const ends = Array.from(
        { length: count },
        () => now + taskMilliseconds * (0.8 + 0.4 * random.fraction()),
      );
      job.running = [...job.running, ...ends];
      job.waiting -= count;
      places -= count;
    }
  }
}

function openJob(simulatedJob: SimulatedJob, acceptedAt: number): OpenJob {
  const dueAt = simulatedJob.requestSentAt + objectiveOf(simulatedJob);
  const rank = { priority: 0, isLasting: false, hasStarted: false, isOverShare: false, dueAt, acceptedAt };
  const remainingMilliseconds = chainOf(simulatedJob);
  return {
    ...rank,
    simulatedJob,
    step: 0,
    waiting: simulatedJob.widths[0] ?? 0,
    running: [],
    remainingMilliseconds,
  };
}

/** Ends the tasks that are due, and starts the next step; returns whether the job has ended. */
function advance(job: OpenJob, now: number): boolean {
  const left = job.running.filter((end) => end > now);
  job.hasStarted ||= left.length < job.running.length;
  job.running = left;
  if (job.waiting > 0 || left.length > 0) return false;
  job.step += 1;
  job.waiting = job.simulatedJob.widths[job.step] ?? 0;
  job.remainingMilliseconds -= stepMilliseconds;
  if (job.waiting > 0) return false;
  job.simulatedJob.isInTime = now <= job.dueAt;
  return true;
}

function describe({ simulatedJob, ...job }: OpenJob, now: number, runMilliseconds: number): ForecastJob {
  const steps = simulatedJob.widths.map((width, index) => ({
    waiting: index > job.step ? width : index === job.step ? job.waiting : 0,
    running: index === job.step ? job.running.map((end) => Math.max(50, end - now)) : [],
    needs,
    runMilliseconds,
    after: index === 0 ? [] : [index - 1],
  }));
  return { steps };
}
