/**
 * A pool that workspaces share, played without network and clock: admission, order and shares are those of an owner,
 * the targets are one room of cores.
 * @packageDocumentation
 */
import { admitInShare, bookJob, compareJobs, forecastEnd, planRoom } from "../../scheduling/index.js";
import type { ForecastJob, OrderedJob, RoomPlan } from "../../scheduling/index.js";
import { createRandom, type Random } from "../../shared/index.js";
import { createFairShares } from "../../workspaces/index.js";

/** The pool's cores. */
export const poolCores = 1_400;
const tickMilliseconds = 20;
const horizonMilliseconds = 60_000;
/** A task's mean time, and that of the longest of a step's tasks. */
const taskMilliseconds = 800;
const stepMilliseconds = 920;
const marginMilliseconds = 100;
const needs = { cpuMillicores: 3_000, memoryMegabytes: 0, accelerators: 0 };
const capacity = { cpuMillicores: poolCores * 1_000, memoryMegabytes: 0, accelerators: 0 };
const taskCoreSeconds = (taskMilliseconds * needs.cpuMillicores) / 1e6;
/** Steps of a job and tasks of a step, on the mean. */
const meanTasks = 1.6 * 8;
const maximumTries = 5;

/** A job of the load. */
export interface SimulatedJob {
  readonly workspace: string;
  readonly requestSentAt: number;
  /** Tasks of its steps, one step after the other. */
  readonly widths: readonly number[];
  readonly coreSeconds: number;
  /** Whether it was accepted by a forecast that it would be in time. */
  isPromised: boolean;
  isInTime: boolean;
}

interface OpenJob extends OrderedJob {
  readonly simulatedJob: SimulatedJob;
  step: number;
  waiting: number;
  /** Ends of the tasks that run. */
  running: readonly number[];
  hasStarted: boolean;
  isOverShare: boolean;
  remainingMilliseconds: number;
}

/**
 * Draws the jobs of a workspace, the same for the same seed.
 * @param workspace - its name
 * @param seed - of the draws
 * @param load - cores that it asks for at a time
 * @param until - when the last jobs come
 * @returns the jobs in the order in which they come
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
 * Plays jobs; what became of them is noted in them. Callers that were refused come again while their time lasts.
 * @param jobs - all jobs
 * @param weight - a workspace's weight at a time; undefined for a pool that knows no workspaces
 * @param until - when the play ends
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
    const asked = describe(opened, now, stepMilliseconds);
    const end = forecastEnd(plan, asked, horizonMilliseconds);
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
    return bookJob(plan, asked, horizonMilliseconds, 0);
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

function openJob(played: SimulatedJob, acceptedAt: number): OpenJob {
  const dueAt = played.requestSentAt + objectiveOf(played);
  const rank = { priority: 0, isLasting: false, hasStarted: false, isOverShare: false, dueAt, acceptedAt };
  const remainingMilliseconds = chainOf(played);
  return {
    ...rank,
    simulatedJob: played,
    step: 0,
    waiting: played.widths[0] ?? 0,
    running: [],
    remainingMilliseconds,
  };
}

/** Ends tasks; tells whether the job has ended. */
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

function describe(
  { simulatedJob: played, ...job }: OpenJob,
  now: number,
  runMilliseconds: number,
): ForecastJob {
  const steps = played.widths.map((width, index) => ({
    waiting: index > job.step ? width : index === job.step ? job.waiting : 0,
    running: index === job.step ? job.running.map((end) => Math.max(50, end - now)) : [],
    needs,
    runMilliseconds,
    after: index === 0 ? [] : [index - 1],
  }));
  return { steps };
}
