/**
 * Forecasts when a job would end within the room that its workspace's cap allows. A job that cannot meet its objective
 * within the cap is refused at once, however much room the pool has.
 * @packageDocumentation
 */
import type { JobDefinition, QueueTerms, Resources } from "../jobs/index.js";
import {
  add,
  reserveJob,
  fits,
  forecastEnd,
  isLongRunningJob,
  planRoom,
  scale,
  subtract,
  plannableShare,
  type ForecastJob,
  type RoomPlan,
} from "../scheduling/index.js";
import { describeNewJob, describeOpenJob, horizonMilliseconds } from "./owner-forecast.js";
import type { OwnerState } from "./owner-state.js";

/** Forecasts jobs within the caps of their workspaces. */
export interface WorkspaceRooms {
  /**
   * Forecasts when a job that is submitted now would end.
   * @returns milliseconds from now; 0 when the workspace has no cap, or room for all of the job's tasks at once
   */
  forecast(workspace: string, terms: QueueTerms, definition: JobDefinition, now: number): number;
  /** Deducts the room of a job that is accepted now from its workspace's room. */
  reserve(workspace: string, terms: QueueTerms, definition: JobDefinition, now: number): void;
}

/** The room and the open jobs of a workspace in this pool, cached for a short time. */
interface CachedRoom {
  readonly readAt: number;
  readonly room: Resources;
  readonly jobs: ForecastJob[];
  /** Resources that the running and waiting tasks need together. */
  taken: Resources;
  /** Computed only when the open jobs and a new one no longer fit into the room at once; undefined before. */
  plan: RoomPlan | undefined;
}

const noResources: Resources = { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
/** Jobs that are submitted within this time share one reading of the room. */
const validMilliseconds = 100;
/** Bounds the cache; more workspaces are not expected to submit jobs within its validity. */
const maximumCachedWorkspaces = 1_000;
/**
 * Scales a cap so that a plan can use all of it: a plan uses only a part of its room (`plannableShare`), which suits the
 * room of targets, but a cap can be used to the last core. The 1e-9 guards against rounding below the cap.
 */
const capScale = (1 + 1e-9) / plannableShare;

/**
 * Creates the forecasts within workspace caps for an owner.
 * @param state - the owner
 * @returns the forecasts, with an empty cache
 */
export function createWorkspaceRooms(state: OwnerState): WorkspaceRooms {
  const cache = new Map<string, CachedRoom>();
  const readRoom = (workspace: string, now: number): CachedRoom | undefined => {
    const cached = cache.get(workspace);
    if (cached !== undefined && now - cached.readAt < validMilliseconds) return cached;
    const whole = readWorkspaceRoom(state, workspace);
    if (cache.size >= maximumCachedWorkspaces) cache.clear();
    cache.delete(workspace);
    if (whole === undefined) return undefined;
    const [jobs, longRunning] = readJobs(state, workspace, now);
    const room = subtract(
      whole,
      longRunning.reduce((sum, job) => add(sum, runningNeeds(job)), noResources),
    );
    const taken = jobs.reduce((sum, job) => add(sum, totalNeeds(job)), noResources);
    const current = { readAt: now, room, jobs, taken, plan: undefined };
    cache.set(workspace, current);
    return current;
  };
  const describe = ({ queue }: QueueTerms, definition: JobDefinition): ForecastJob =>
    describeNewJob(definition, state.runTimes.ofQueue(queue).step);
  return {
    forecast: (workspace, terms, definition, now) => {
      const current = readRoom(workspace, now);
      if (current === undefined) return 0;
      const newJob = describe(terms, definition);
      if (fits(current.room, add(current.taken, totalNeeds(newJob)))) return 0;
      current.plan ??= planRoom(current.jobs, scale(current.room, capScale), horizonMilliseconds);
      return forecastEnd(current.plan, newJob, horizonMilliseconds, now - current.readAt);
    },
    reserve: (workspace, terms, definition, now) => {
      const current = readRoom(workspace, now);
      if (current === undefined) return;
      const newJob = describe(terms, definition);
      current.taken = add(current.taken, totalNeeds(newJob));
      if (current.plan === undefined) current.jobs.push(newJob);
      else current.plan = reserveJob(current.plan, newJob, horizonMilliseconds, now - current.readAt);
    },
  };
}

/**
 * Reads how much of a workspace the pool may run.
 * @param state - the owner
 * @param workspace - the workspace's name
 * @returns the workspace's room in this pool, infinite for each resource that its cap does not limit; undefined for a
 * workspace without a cap
 */
export function readWorkspaceRoom(
  { workspaces }: Pick<OwnerState, "workspaces">,
  workspace: string,
): Resources | undefined {
  const room = workspaces?.quotas.room(workspace);
  const cap = workspaces?.table()?.find(workspace)?.cap;
  if (room === undefined || cap === undefined) return room;
  const bounded = (amount: number, limit: number): number =>
    limit === 0 ? Number.POSITIVE_INFINITY : amount;
  return {
    cpuMillicores: bounded(room.cpuMillicores, cap.cpuMillicores),
    memoryMegabytes: bounded(room.memoryMegabytes, cap.memoryMegabytes),
    accelerators: bounded(room.accelerators, cap.accelerators),
  };
}

/** The open short jobs and the open long-running jobs of a workspace, each in the order of acceptance. */
function readJobs(state: OwnerState, workspace: string, now: number): [ForecastJob[], ForecastJob[]] {
  const jobs: [ForecastJob[], ForecastJob[]] = [[], []];
  for (const job of state.openJobs.values()) {
    const { record, isEnding } = job;
    if (record.workspace !== workspace || isEnding) continue;
    jobs[isLongRunningJob(record.definition) ? 1 : 0].push(...describeOpenJob(state, job, now));
  }
  return jobs;
}

/** Resources of the running tasks of a job. */
function runningNeeds({ steps }: ForecastJob): Resources {
  return steps.reduce((sum, { running, needs }) => add(sum, scale(needs, running.length)), noResources);
}

/** Resources of all remaining tasks of a job, running and waiting. */
function totalNeeds({ steps }: ForecastJob): Resources {
  return steps.reduce(
    (sum, { waiting, running, needs }) => add(sum, scale(needs, waiting + running.length)),
    noResources,
  );
}
