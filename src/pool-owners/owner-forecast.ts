/**
 * Converts an owner's state to the input of the job forecast, and forecasts the end of new jobs.
 * @packageDocumentation
 */
import type { Job, JobDefinition, Occurrence, QueueTerms, Resources, Task, TaskRun } from "../jobs/index.js";
import {
  add,
  reserveJob,
  chargedResources,
  compareJobs,
  forecastEnd,
  isLongRunningJob,
  longestChainMilliseconds,
  planRoom,
  subtract,
  type ExpectedRunTime,
  type ForecastJob,
  type ForecastStep,
  type JobForecast,
  type QueueRunTimes,
} from "../scheduling/index.js";
import type { LogFields } from "../telemetry/index.js";
import { rankJob } from "./job-rank.js";
import { createOverShareCheck } from "./over-share-check.js";
import type { OwnerState, PlannedRoom } from "./owner-state.js";
import { isInService } from "./pool-target.js";

/** A job's result still has value until this many times its objective. */
const latestFactor = 3;
/** How far ahead room is planned; beyond this it is assumed to stay constant. */
export const horizonMilliseconds = 60_000;
/** A room plan is used for this many times the time that its computation took, within the two bounds below. */
const planValidityFactor = 20;
const shortestPlanValidityMilliseconds = 40;
const longestPlanValidityMilliseconds = 250;
/** Remaining time that is assumed at least, also for a task that runs longer than expected. */
const shortestRemainingMilliseconds = 50;

/** The forecast of a job's end, with the values that it is based on. */
export interface OwnerForecast extends JobForecast {
  /** The forecast end without the margin learned from earlier forecasts. */
  readonly uncorrectedEndMilliseconds: number;
  /** The time that the job's longest chain of steps takes on idle targets, by learned run times. */
  readonly chainMilliseconds: number;
  /** The same chain by the caller's estimates. */
  readonly estimatedChainMilliseconds: number;
}

/**
 * Forecasts when a job that is submitted now would end.
 * @param state - the owner
 * @param terms - the terms of the job's queue
 * @param definition - the job
 * @param ageMilliseconds - how long ago the caller first submitted the job
 * @returns the forecast, in milliseconds from now
 */
export function forecastJob(
  state: OwnerState,
  terms: QueueTerms,
  definition: JobDefinition,
  ageMilliseconds: number,
): OwnerForecast {
  const now = performance.now();
  const { step: expected } = state.runTimes.ofQueue(terms.queue);
  const plan = readRoomPlan(state, now);
  const end = forecastEnd(
    plan.room,
    describeNewJob(definition, expected),
    horizonMilliseconds,
    now - plan.plannedAt,
  );
  const endMilliseconds = end + state.forecastMargin.milliseconds();
  const chain = longestChainMilliseconds(definition, expected);
  const objective = terms.slackFactor * chain + terms.objectiveMilliseconds;
  return {
    endMilliseconds,
    uncorrectedEndMilliseconds: end,
    chainMilliseconds: chain,
    estimatedChainMilliseconds: longestChainMilliseconds(definition, (step) => step.estimateMilliseconds),
    objectiveMilliseconds: objective - ageMilliseconds,
    latestMilliseconds: latestFactor * objective - ageMilliseconds,
    startsNow: end <= chain + startToleranceMilliseconds,
  };
}

/**
 * Formats a forecast for the log.
 * @param forecast - the forecast
 * @returns the forecast end and the objective that it was compared with, and the values that both are based on, all in
 * whole milliseconds
 */
export function describeForecast(forecast: OwnerForecast): LogFields {
  return {
    endMilliseconds: Math.round(forecast.endMilliseconds),
    uncorrectedEndMilliseconds: Math.round(forecast.uncorrectedEndMilliseconds),
    objectiveMilliseconds: Math.round(forecast.objectiveMilliseconds),
    chainMilliseconds: Math.round(forecast.chainMilliseconds),
    estimatedChainMilliseconds: Math.round(forecast.estimatedChainMilliseconds),
  };
}

/**
 * Deducts the room of a job that has just been accepted from the cached plan.
 * @param state - the owner
 * @param terms - the terms of the job's queue
 * @param definition - the job
 */
export function reserveRoomForJob(state: OwnerState, terms: QueueTerms, definition: JobDefinition): void {
  const plan = state.roomPlan;
  if (plan === undefined) return;
  if (isLongRunningJob(definition) || definition.repetition !== undefined) {
    state.roomPlan = undefined;
    return;
  }
  const newJob = describeNewJob(definition, state.runTimes.ofQueue(terms.queue).step);
  const age = performance.now() - plan.plannedAt;
  state.roomPlan = { ...plan, room: reserveJob(plan.room, newJob, horizonMilliseconds, age) };
}

/**
 * Converts a new job to the input of the forecast.
 * @param definition - the job
 * @param expected - expected run time of a step, in milliseconds
 * @returns the job with all tasks waiting
 */
export function describeNewJob({ steps }: JobDefinition, expected: ExpectedRunTime): ForecastJob {
  return {
    steps: steps.map((step) => ({
      waiting: step.taskCount,
      running: [],
      needs: chargedResources(step),
      runMilliseconds: expected(step),
      after: step.after,
    })),
  };
}

/** A job whose forecast end exceeds its chain time by no more than this counts as starting at once. */
const startToleranceMilliseconds = 100;

/** Returns the room that accepted jobs leave; jobs that are submitted at about the same time share one plan. */
function readRoomPlan(state: OwnerState, now: number): PlannedRoom {
  const cached = state.roomPlan;
  if (cached !== undefined && now - cached.plannedAt < cached.validMilliseconds) return cached;
  const arrivals = state.expectedRoom.map(({ resources, at }) => ({
    resources,
    atMilliseconds: Math.max(0, at - now),
  }));
  const room = planRoom(readOpenJobs(state, now), readCapacity(state), horizonMilliseconds, arrivals);
  const idealValidity = planValidityFactor * (performance.now() - now);
  const validMilliseconds = Math.min(
    longestPlanValidityMilliseconds,
    Math.max(shortestPlanValidityMilliseconds, idealValidity),
  );
  const planned = { room, plannedAt: now, validMilliseconds };
  state.roomPlan = planned;
  return planned;
}

function readOpenJobs(state: OwnerState, now: number): ForecastJob[] {
  const open = [...state.openJobs.values()].filter(({ isEnding }) => !isEnding);
  const isOverShare = createOverShareCheck(state, now);
  const ranked = open
    .map((job) => rankJob(state, job, now, isOverShare))
    .filter(({ isLasting }) => !isLasting);
  ranked.sort((left, right) => compareJobs(left, right, now));
  return ranked.flatMap(({ job }) => describeOpenJob(state, job, now));
}

/**
 * Converts an open job to the input of the forecast.
 * @param state - the owner
 * @param job - the job
 * @param now - the monotonic clock
 * @returns the remaining work of each of its occurrences
 */
export function describeOpenJob(state: OwnerState, job: Job, now: number): ForecastJob[] {
  return [...job.occurrences.values()].map((occurrence) => readOccurrence(state, job, occurrence, now));
}

function readOccurrence(state: OwnerState, job: Job, { steps }: Occurrence, now: number): ForecastJob {
  const expected = state.runTimes.ofQueue(job.record.terms.queue);
  return { steps: steps.map((tasks) => readStep(tasks, expected, now)) };
}

function readStep(tasks: readonly Task[], expected: QueueRunTimes, now: number): ForecastStep {
  const definition = tasks[0]?.definition;
  const runMilliseconds = definition === undefined ? 0 : expected.task(definition);
  const running: number[] = [];
  let waiting = 0;
  for (const { succeeded, runs } of tasks) {
    const run = runs[0];
    if (succeeded) continue;
    if (run === undefined) waiting += 1;
    else
      running.push(
        Math.max(shortestRemainingMilliseconds, remainingRunMilliseconds(tasks, run, expected, now)),
      );
  }
  const needs = definition === undefined ? noResources : chargedResources(definition);
  return { waiting, running, needs, runMilliseconds, after: definition?.after ?? [] };
}

/** Remaining time of a run: by its progress, or by how much longer other runs took that had been running as long. */
function remainingRunMilliseconds(
  [task]: readonly Task[],
  { startedAt, projectedMilliseconds }: TaskRun,
  expected: QueueRunTimes,
  now: number,
): number {
  const elapsed = now - startedAt;
  if (projectedMilliseconds !== undefined) return projectedMilliseconds - elapsed;
  return task === undefined ? 0 : expected.remaining(task.definition, elapsed);
}

const noResources: Resources = { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };

/** The capacity of all targets in service, less that of long-running tasks. */
function readCapacity(state: OwnerState): Resources {
  let total = noResources;
  for (const each of state.targets.values()) {
    const { session, runs } = each;
    if (!isInService(each)) continue;
    total = add(total, session.target().capacity);
    for (const { task } of runs.values()) {
      if (task.definition.isLasting) total = subtract(total, chargedResources(task.definition));
    }
  }
  return total;
}
