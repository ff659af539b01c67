/**
 * What an owner holds in memory: the pool's jobs, its targets and the runs on them.
 * @packageDocumentation
 */
import {
  allTasks,
  countDue,
  createJob,
  openOccurrences,
  type Job,
  type JobRecord,
  type ProgressRecord,
  type Resources,
  type Task,
  type TaskRun,
} from "../jobs/index.js";
import {
  createDemandForecast,
  createForecastMargin,
  createTaskRunTimes,
  type ForecastMargin,
  type RoomPlan,
  type TaskRunTimes,
  type UnplacedTasks,
  type WorkRate,
} from "../scheduling/index.js";
import type { RegisteredTarget, TargetOrders, TargetSession } from "../task-runs/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { OwnerWorkspaces } from "../workspaces/index.js";
import type { OwnerJournal } from "./journal-writes.js";
import type { PoolLoad } from "./pool-load.js";

/** A run together with its task. */
export interface TargetRun {
  readonly task: Task;
  readonly run: TaskRun;
}

/** A target of the pool. */
export interface PoolTarget {
  readonly session: TargetSession;
  /** Runs that may be present, by task. */
  readonly runs: Map<string, TargetRun>;
  /** Whether the store says that this target may run something; a next owner looks there. */
  isRecorded: boolean;
  /** Whether it is being emptied. */
  isVacating: boolean;
  /** Not used before this time, by the monotonic clock. */
  blockedUntil: number;
  /** Rises with failures and refusals, falls with successes. */
  failureScore: number;
  /** Pace of its best-effort tasks. */
  pacePercent: number;
  /** When its last report came, by the monotonic clock; undefined before. */
  reportedAt?: number | undefined;
  /** Highest sequence among its ends that have been handled. */
  handledSequence: number;
  /** Ends when all ends so far are stored and acknowledged. */
  acknowledging: Promise<void>;
}

/** Room that machines bring to the pool. */
export interface ExpectedRoom {
  readonly resources: Resources;
  /** When it comes, by the monotonic clock. */
  readonly at: number;
}

/** The room that accepted jobs leave. */
export interface PlannedRoom {
  readonly room: RoomPlan;
  /** By the monotonic clock. */
  readonly plannedAt: number;
  /** It serves callers so long. */
  readonly validMilliseconds: number;
}

/** A start that brought no answer. */
export interface UnansweredStart {
  readonly task: string;
  readonly run: number;
  /** When it was asked for, by the monotonic clock. */
  readonly startedAt: number;
}

/** What every part of an owner works with. */
export interface OwnerState {
  readonly pool: string;
  readonly fencingToken: number;
  /** Runs are numbered from here, above those of earlier owners. */
  readonly firstRun: number;
  readonly orders: TargetOrders;
  readonly journal: OwnerJournal;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly runTimes: TaskRunTimes;
  /** Undefined where nobody tells workspaces apart. */
  readonly workspaces: OwnerWorkspaces | undefined;
  /** Work that callers ask for, accepted or not. */
  readonly demand: WorkRate;
  /** All jobs that are answered for. */
  readonly jobs: Map<string, Job>;
  /** Those of them that have not ended, by name. */
  readonly openJobs: Map<string, Job>;
  /** Those that have, in the order of their ends. */
  readonly endedJobs: Set<Job>;
  /** Ends of jobs that are being stored, by job. */
  readonly endings: Map<string, Promise<boolean>>;
  /** Tasks of jobs that go on, by name. */
  readonly tasks: Map<string, Task>;
  readonly targets: Map<string, PoolTarget>;
  /** Whether this owner may still give orders, by its own clock. */
  isActive(): boolean;
  /** Asks for a round of placing. */
  wake(): void;
  /** Another owner has taken over. */
  supersede(reason: string): void;
  /** The registry's targets of this pool, as last read. */
  listedTargets: ReadonlyMap<string, RegisteredTarget>;
  /** Targets of earlier owners that have neither reported nor lost their leases; what may run there waits. */
  awaitedTargets: Set<string>;
  /** Starts without an answer whose target has started again: the new life may still carry them out. By target. */
  readonly unsettledStarts: Map<string, readonly TargetRun[]>;
  /** Starts that brought no answer lately, settled since or not. By target. */
  readonly unansweredStarts: Map<string, readonly UnansweredStart[]>;
  /** Long-running tasks for which the last round found no place: they run nowhere, or have to leave their target. */
  unplacedLongRunning: readonly UnplacedTasks[];
  /** Room that is on its way to the pool, or could be had for it. */
  expectedRoom: readonly ExpectedRoom[];
  /** Planned for the callers of this moment, less what jobs take that were accepted meanwhile; undefined without one. */
  roomPlan: PlannedRoom | undefined;
  /** The pool's load as it was read last, with when, by the monotonic clock; undefined before. */
  recentLoad: { readonly load: PoolLoad; readonly readAt: number } | undefined;
  /** By how much forecasts have missed. */
  readonly forecastMargin: ForecastMargin;
  /** Records of where long-running tasks may run, on their way to the store, by job. */
  readonly placeRecords: Map<string, Promise<boolean>>;
}

/** What an owner is created with; all else it finds out. */
export type OwnerParts = Pick<
  OwnerState,
  "pool" | "fencingToken" | "firstRun" | "orders" | "journal" | "log" | "metrics" | "isActive" | "supersede"
> &
  Partial<Pick<OwnerState, "workspaces">>;

/**
 * Creates the state of an owner that knows no job and no target.
 * @param parts - what the owner works with
 * @returns the state
 */
export function createOwnerState(parts: OwnerParts): OwnerState {
  return {
    workspaces: undefined,
    ...parts,
    runTimes: createTaskRunTimes(),
    demand: createDemandForecast(),
    forecastMargin: createForecastMargin(),
    jobs: new Map(),
    openJobs: new Map(),
    endedJobs: new Set(),
    endings: new Map(),
    tasks: new Map(),
    targets: new Map(),
    wake: () => undefined,
    listedTargets: new Map(),
    awaitedTargets: new Set(),
    placeRecords: new Map(),
    unsettledStarts: new Map(),
    unansweredStarts: new Map(),
    unplacedLongRunning: [],
    expectedRoom: [],
    roomPlan: undefined,
    recentLoad: undefined,
  };
}

/**
 * Fills an owner with what the store holds of its pool.
 * @param state - the owner
 * @param records - accepted jobs of the pool
 * @param progress - stored progress by job
 */
export function loadJobs(
  state: OwnerState,
  records: readonly JobRecord[],
  progress: ReadonlyMap<string, ProgressRecord>,
): void {
  const endedAt = ({ jobId }: JobRecord): number => progress.get(jobId)?.endedAt ?? 0;
  const byEnd = [...records].sort((left, right) => endedAt(left) - endedAt(right));
  for (const record of byEnd) addJob(state, record, progress.get(record.jobId), Date.now(), true);
}

/**
 * Adds a job to the owner.
 * @param state - the owner
 * @param record - the accepted job
 * @param progress - what the store holds of its progress
 * @param unixMilliseconds - the time of day
 * @param isFromFormerOwner - whether an earlier owner accepted it
 * @returns the job
 */
export function addJob(
  state: OwnerState,
  record: JobRecord,
  progress: ProgressRecord | undefined,
  unixMilliseconds: number,
  isFromFormerOwner: boolean,
): Job {
  const age = Math.max(0, unixMilliseconds - record.acceptedAt);
  const job = createJob(record, progress, performance.now() - age, isFromFormerOwner);
  state.jobs.set(job.id, job);
  if (job.finalState !== undefined) {
    state.endedJobs.add(job);
    return job;
  }
  state.openJobs.set(job.id, job);
  openDueOccurrences(state, job, unixMilliseconds, progress);
  return job;
}

/**
 * Takes a job out of those that are worked on; it is still answered for.
 * @param state - the owner
 * @param job - the job, whose end is stored
 */
export function retireJob(state: OwnerState, job: Job): void {
  state.openJobs.delete(job.id);
  state.endedJobs.add(job);
  dropTasks(state, job);
}

/**
 * Forgets a job that has ended.
 * @param state - the owner
 * @param job - the job
 */
export function forgetJob(state: OwnerState, job: Job): void {
  state.jobs.delete(job.id);
  state.endedJobs.delete(job);
}

/**
 * Creates the tasks of occurrences that have become due.
 * @param state - the owner
 * @param job - the job
 * @param unixMilliseconds - the time of day
 * @param progress - stored progress that the new tasks begin with
 */
export function openDueOccurrences(
  state: OwnerState,
  job: Job,
  unixMilliseconds: number,
  progress?: ProgressRecord,
): void {
  const due = countDue(job.record, unixMilliseconds);
  if (due <= job.dueCount) return;
  openOccurrences(job, due, progress);
  for (const task of allTasks(job)) state.tasks.set(task.name, task);
}

/** Drops the tasks of a job that has ended; runs that are still present stay with their targets. */
function dropTasks(state: OwnerState, job: Job): void {
  for (const task of allTasks(job)) {
    if (task.runs.length === 0) state.tasks.delete(task.name);
  }
}

/**
 * Notes that a run is no longer present on a target.
 * @param state - the owner
 * @param target - the target
 * @param present - the run
 */
export function removeRun(state: OwnerState, target: PoolTarget, { task, run }: TargetRun): void {
  // The run may have been carried over to the next life of its target.
  for (const { runs } of [target, state.targets.get(run.targetId) ?? target]) {
    if (runs.get(task.name)?.run === run) runs.delete(task.name);
  }
  const position = task.runs.indexOf(run);
  if (position >= 0) task.runs.splice(position, 1);
  if (task.job.finalState !== undefined && task.runs.length === 0) state.tasks.delete(task.name);
}

/**
 * Tells whether a target's room can be counted on.
 * @param target - the target
 * @returns false for one that is being emptied, that leaves, that left, or that does not answer
 */
export function isInService({ session, isVacating }: PoolTarget): boolean {
  const isReady = session.isListed() && session.target().state === "ready";
  return isReady && !isVacating && session.failuresInARow() === 0;
}

/** Tells whether nothing more is to run for a task. */
export function isTaskOver({ job, succeeded }: Task): boolean {
  return succeeded || job.isEnding || job.finalState !== undefined;
}
