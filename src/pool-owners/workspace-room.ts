/**
 * When a job would end in the room that its workspace may have. Answers a workspace whose cap is full: a job that its cap
 * keeps beyond its objective is refused at once, whatever room the pool has.
 * @packageDocumentation
 */
import type { JobDefinition, QueueTerms, Resources } from "../jobs/index.js";
import {
  add,
  bookJob,
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

/** Forecasts jobs in the room of their workspaces. */
export interface WorkspaceRooms {
  /**
   * Forecasts a job that comes now.
   * @returns when it would end, from now; 0 where its workspace has room for all of its work at once
   */
  forecast(workspace: string, terms: QueueTerms, definition: JobDefinition, now: number): number;
  /** Takes the room of a job that is accepted now. */
  reserve(workspace: string, terms: QueueTerms, definition: JobDefinition, now: number): void;
}

/** What a workspace has here, read for the callers of this moment. */
interface CachedRoom {
  readonly readAt: number;
  readonly room: Resources;
  readonly jobs: ForecastJob[];
  /** What its running and waiting tasks take together. */
  taken: Resources;
  /** Made when the room is near. */
  plan: RoomPlan | undefined;
}

const noResources: Resources = { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
/** Callers that come together share what was read. */
const validMilliseconds = 100;
/** More workspaces than that do not call within a moment. */
const maximumCachedWorkspaces = 1_000;
/** A cap can be used to its last core, unlike the room of targets, of which a plan leaves a part; above 1 by rounding. */
const capScale = (1 + 1e-9) / plannableShare;

/**
 * Creates forecasts for an owner.
 * @param state - the owner
 * @returns the forecasts
 */
export function createWorkspaceRooms(state: OwnerState): WorkspaceRooms {
  const cache = new Map<string, CachedRoom>();
  const read = (workspace: string, now: number): CachedRoom | undefined => {
    const last = cache.get(workspace);
    if (last !== undefined && now - last.readAt < validMilliseconds) return last;
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
    const found = { readAt: now, room, jobs, taken, plan: undefined };
    cache.set(workspace, found);
    return found;
  };
  const describe = ({ queue }: QueueTerms, definition: JobDefinition): ForecastJob =>
    describeNewJob(definition, state.runTimes.ofQueue(queue).step);
  return {
    forecast: (workspace, terms, definition, now) => {
      const found = read(workspace, now);
      if (found === undefined) return 0;
      const asked = describe(terms, definition);
      if (fits(found.room, add(found.taken, totalNeeds(asked)))) return 0;
      found.plan ??= planRoom(found.jobs, scale(found.room, capScale), horizonMilliseconds);
      return forecastEnd(found.plan, asked, horizonMilliseconds, now - found.readAt);
    },
    reserve: (workspace, terms, definition, now) => {
      const found = read(workspace, now);
      if (found === undefined) return;
      const asked = describe(terms, definition);
      found.taken = add(found.taken, totalNeeds(asked));
      if (found.plan === undefined) found.jobs.push(asked);
      else found.plan = bookJob(found.plan, asked, horizonMilliseconds, now - found.readAt);
    },
  };
}

/**
 * Reads what the pool may run of a workspace.
 * @param state - the owner
 * @param workspace - the workspace's name
 * @returns its room here, infinite where its cap sets no limit; undefined for one without a cap
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

/** The workspace's open jobs in the order in which they came, those with long-running tasks apart. */
function readJobs(state: OwnerState, workspace: string, now: number): [ForecastJob[], ForecastJob[]] {
  const jobs: [ForecastJob[], ForecastJob[]] = [[], []];
  for (const job of state.openJobs.values()) {
    const { record, isEnding } = job;
    if (record.workspace !== workspace || isEnding) continue;
    jobs[isLongRunningJob(record.definition) ? 1 : 0].push(...describeOpenJob(state, job, now));
  }
  return jobs;
}

/** What running tasks take. */
function runningNeeds({ steps }: ForecastJob): Resources {
  return steps.reduce((sum, { running, needs }) => add(sum, scale(needs, running.length)), noResources);
}

/** What all tasks that are left take together. */
function totalNeeds({ steps }: ForecastJob): Resources {
  return steps.reduce(
    (sum, { waiting, running, needs }) => add(sum, scale(needs, waiting + running.length)),
    noResources,
  );
}
