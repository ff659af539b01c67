/**
 * Puts a home's state into the form of the forecast.
 * @packageDocumentation
 */
import type { Job, JobDefinition, Occurrence, QueueTerms, Resources, Task } from "../jobs/index.js";
import {
  add,
  chargedResources,
  compareJobs,
  forecastEnd,
  longestChainMilliseconds,
  planRoom,
  subtract,
  type ForecastJob,
  type ForecastStep,
  type JobForecast,
} from "../scheduling/index.js";
import { rankJob } from "./job-rank.js";
import { isInService, type HomeState, type PlannedRoom } from "./home-state.js";

/** A job is worth something until this many times its objective. */
const latestFactor = 3;
const horizonMilliseconds = 20_000;
/** A plan of the room serves callers for so long, unless a job is accepted meanwhile. */
const planAgeMilliseconds = 40;
/** A task that runs longer than expected is expected to end soon. */
const shortestRestMilliseconds = 50;

/** A home's forecast. */
export interface HomeForecast extends JobForecast {
  /** The end without what was learned from earlier forecasts. */
  readonly uncorrectedEndMilliseconds: number;
}

/**
 * Forecasts a job that comes now.
 * @param state - the home
 * @param terms - the terms of the job's queue
 * @param definition - the job
 * @param ageMilliseconds - how long ago the caller first handed it in
 * @returns the forecast
 */
export function forecastJob(
  state: HomeState,
  terms: QueueTerms,
  definition: JobDefinition,
  ageMilliseconds: number,
): HomeForecast {
  const now = performance.now();
  const ratio = state.runTimes.ratio(terms.queue);
  const plan = readRoomPlan(state, now);
  const asked: ForecastJob = {
    steps: definition.steps.map((step) => ({
      waiting: step.taskCount,
      running: [],
      needs: chargedResources(step),
      runMilliseconds: step.estimateMilliseconds * ratio,
      after: step.after,
    })),
  };
  const end = forecastEnd(plan.room, asked, horizonMilliseconds, now - plan.plannedAt);
  const endMilliseconds = end + state.forecastMargin.milliseconds();
  const chain = longestChainMilliseconds(definition, ratio);
  const objective = terms.slackFactor * chain + terms.objectiveMilliseconds;
  return {
    endMilliseconds,
    uncorrectedEndMilliseconds: end,
    objectiveMilliseconds: objective - ageMilliseconds,
    latestMilliseconds: latestFactor * objective - ageMilliseconds,
    startsNow: end <= chain + gracePerJobMilliseconds,
  };
}

/** A job that ends so little after its shortest time has not waited. */
const gracePerJobMilliseconds = 100;

/** The room that accepted jobs leave; many callers that come together share one plan. */
function readRoomPlan(state: HomeState, now: number): PlannedRoom {
  const known = state.roomPlan;
  if (known !== undefined && now - known.plannedAt < planAgeMilliseconds) return known;
  const arrivals = state.expectedRoom.map(({ resources, at }) => ({
    resources,
    atMilliseconds: Math.max(0, at - now),
  }));
  const room = planRoom(readOpenJobs(state, now), readCapacity(state), horizonMilliseconds, arrivals);
  const planned = { room, plannedAt: now };
  state.roomPlan = planned;
  return planned;
}

function readOpenJobs(state: HomeState, now: number): ForecastJob[] {
  const open = [...state.openJobs.values()].filter(({ isEnding }) => !isEnding);
  const ranked = open.map((job) => rankJob(state, job, now)).filter(({ isLasting }) => !isLasting);
  ranked.sort((left, right) => compareJobs(left, right, now));
  return ranked.flatMap(({ job }) =>
    [...job.occurrences.values()].map((occurrence) => readOccurrence(state, job, occurrence, now)),
  );
}

function readOccurrence(state: HomeState, job: Job, { steps }: Occurrence, now: number): ForecastJob {
  const ratio = state.runTimes.ratio(job.record.terms.queue);
  return { steps: steps.map((tasks) => readStep(tasks, ratio, now)) };
}

function readStep(tasks: readonly Task[], ratio: number, now: number): ForecastStep {
  const definition = tasks[0]?.definition;
  const runMilliseconds = (definition?.estimateMilliseconds ?? 0) * ratio;
  const running: number[] = [];
  let waiting = 0;
  for (const { succeeded, runs } of tasks) {
    const run = runs[0];
    if (succeeded) continue;
    if (run === undefined) waiting += 1;
    else running.push(Math.max(shortestRestMilliseconds, run.startedAt + runMilliseconds - now));
  }
  const needs = definition === undefined ? noResources : chargedResources(definition);
  return { waiting, running, needs, runMilliseconds, after: definition?.after ?? [] };
}

const noResources: Resources = { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };

/** The room of all targets in use, less what lasting tasks take of it. */
function readCapacity(state: HomeState): Resources {
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
