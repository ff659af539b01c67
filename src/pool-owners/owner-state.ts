/**
 * The in-memory state of an owner: the pool's jobs, its targets and the runs on them.
 * @packageDocumentation
 */
import {
  allTasks,
  countDue,
  createJob,
  describeExcess,
  hasTasks,
  openOccurrences,
  type Job,
  type JobRecord,
  type ProgressRecord,
  type Resources,
  type Task,
} from "../jobs/index.js";
import {
  createDemandForecast,
  createForecastMargin,
  createTaskRunTimes,
  type DemandForecast,
  type ForecastMargin,
  type RoomPlan,
  type TaskRunTimes,
  type UnplacedTasks,
} from "../scheduling/index.js";
import { OwnerOrders, type RegisteredTarget, type TargetOrders } from "../task-runs/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { OwnerWorkspaces } from "../workspaces/index.js";
import { AdviceCache } from "./advice-cache.js";
import type { AdviceRequests } from "./advice-requests.js";
import { createAwaitedTargets, type AwaitedTargets } from "./awaited-targets.js";
import type { OwnerJournal } from "./journal-writes.js";
import type { PoolLoad } from "./pool-load.js";
import type { PoolTarget, TargetRun, UnansweredStart } from "./pool-target.js";
import { Reservations } from "./reservations.js";
import type { StoredJobs } from "./stored-jobs.js";

/** Capacity that new targets are expected to add to the pool. */
export interface ExpectedRoom {
  readonly resources: Resources;
  /** When the capacity is expected, by the monotonic clock. */
  readonly at: number;
}

/** A plan of the room that accepted jobs leave free, cached for the forecasts of new jobs. */
export interface PlannedRoom {
  readonly room: RoomPlan;
  /** When the plan was computed, by the monotonic clock. */
  readonly plannedAt: number;
  /** How long after `plannedAt` forecasts may use the plan. */
  readonly validMilliseconds: number;
}

/** State that is shared by all parts of an owner. */
export interface OwnerState {
  readonly pool: string;
  /** Store revision at which this owner took the pool. */
  readonly takenRevision: number;
  /** Lowest run number of this owner, above all run numbers of earlier owners. */
  readonly firstRun: number;
  readonly orders: OwnerOrders;
  readonly journal: OwnerJournal;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly runTimes: TaskRunTimes;
  /** On which targets the steps of queues with an advice service may run. */
  readonly advice: AdviceCache;
  /** Targets that are kept free for steps with long-running tasks. */
  readonly reservations: Reservations;
  /** Undefined where workspaces are not distinguished. */
  readonly workspaces: OwnerWorkspaces | undefined;
  /** Rate of the work that callers submit, whether it is accepted or not. */
  readonly demand: DemandForecast;
  /** All jobs whose state can be read: open ones and ended ones within their retention. */
  readonly jobs: Map<string, Job>;
  /** Jobs that have not ended, by job id. */
  readonly openJobs: Map<string, Job>;
  /** Jobs that have ended, in the order in which they ended. */
  readonly endedJobs: Set<Job>;
  /** Pending writes of job ends, by job id. */
  readonly endings: Map<string, Promise<boolean>>;
  /** Tasks of open jobs, and of ended jobs while they still have runs, by task name. */
  readonly tasks: Map<string, Task>;
  readonly targets: Map<string, PoolTarget>;
  /** Whether this owner may still send orders to targets, by its own clock. */
  isActive(): boolean;
  /** Requests a placement round. */
  wake(): void;
  /** Called when another owner has taken over the pool. */
  supersede(reason: string): void;
  /** Targets of this pool in the registry, as last read. */
  listedTargets: ReadonlyMap<string, RegisteredTarget>;
  /**
   * Targets of earlier owners that have not reported yet and whose leases have not expired; tasks that may still run there
   * are not started elsewhere.
   */
  readonly awaitedTargets: AwaitedTargets;
  /** Unanswered starts whose target has restarted since, by target: the restarted target may still carry them out. */
  readonly unsettledStarts: Map<string, readonly TargetRun[]>;
  /** Recent starts that received no answer, by target, whether or not their outcome has become known since. */
  readonly unansweredStarts: Map<string, readonly UnansweredStart[]>;
  /** Long-running tasks without a place in the last round: those that do not run, and those that have to leave their target. */
  unplacedLongRunning: readonly UnplacedTasks[];
  /** Capacity that is about to join the pool, or that could be obtained for it. */
  expectedRoom: readonly ExpectedRoom[];
  /** The cached plan, less the room of jobs accepted since it was computed; undefined when there is none. */
  roomPlan: PlannedRoom | undefined;
  /** The pool's load as last measured, with the time by the monotonic clock; undefined before the first measurement. */
  recentLoad: { readonly load: PoolLoad; readonly readAt: number } | undefined;
  /** Safety margin of the forecasts, learned from the errors of earlier ones. */
  readonly forecastMargin: ForecastMargin;
  /** Pending writes of the records of where long-running tasks may run, by job id. */
  readonly placeRecords: Map<string, Promise<boolean>>;
}

/** The parts of an owner's state that its creator provides. */
export type OwnerParts = Pick<
  OwnerState,
  "pool" | "takenRevision" | "firstRun" | "journal" | "log" | "metrics" | "isActive" | "supersede"
> &
  Partial<Pick<OwnerState, "workspaces">> & {
    /** Sends the owner's orders, at first with `takenRevision` as their fencing token. */
    readonly orders: TargetOrders;
    /** Requests to the advice service; undefined when the settings name none. */
    readonly adviceRequests?: AdviceRequests | undefined;
  };

/**
 * Creates the state of an owner that holds no jobs and no targets yet.
 * @param parts - the store, orders, log and metrics that the owner uses, and its identity
 * @returns the state
 */
export function createOwnerState({ adviceRequests, orders, ...parts }: OwnerParts): OwnerState {
  const { log, metrics, pool } = parts;
  const onAdvice = (): void => {
    state.wake();
  };
  const state: OwnerState = {
    workspaces: undefined,
    ...parts,
    orders: new OwnerOrders(orders, parts.takenRevision),
    advice: new AdviceCache({ requests: adviceRequests, log, metrics, pool, onAdvice }),
    reservations: new Reservations({ pool, log, metrics }),
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
    awaitedTargets: createAwaitedTargets(),
    placeRecords: new Map(),
    unsettledStarts: new Map(),
    unansweredStarts: new Map(),
    unplacedLongRunning: [],
    expectedRoom: [],
    roomPlan: undefined,
    recentLoad: undefined,
  };
  return state;
}

/**
 * Loads the stored jobs of a pool into its owner.
 * @param state - the owner
 * @param stored - accepted jobs of the pool, their store revisions and their progress
 */
export function loadJobs(state: OwnerState, { records, revisions, progress }: StoredJobs): void {
  const endedAt = ({ jobId }: JobRecord): number => progress.get(jobId)?.endedAt ?? 0;
  const byEnd = [...records].sort((left, right) => endedAt(left) - endedAt(right));
  for (const record of byEnd) {
    const formerRevision = revisions.get(record.jobId) ?? 0;
    const job = addJob(state, record, progress.get(record.jobId), Date.now(), formerRevision);
    reportOversized(state, job);
  }
}

/** Logs that a stored job is too large to run, so that an operator can cancel it. */
function reportOversized({ log, pool }: OwnerState, { id, record, finalState }: Job): void {
  const excess = describeExcess(record.definition);
  if (excess === undefined || finalState !== undefined || !hasTasks(record.definition)) return;
  log.write("error", "job-oversized", { job: id, queue: record.terms.queue, pool, excess });
}

/**
 * Adds a job to the owner.
 * @param state - the owner
 * @param record - the accepted job
 * @param progress - the job's stored progress; undefined when none is stored
 * @param unixMilliseconds - the current Unix time
 * @param formerRevision - store revision of the record of a job that an earlier owner accepted; undefined for other jobs
 * @returns the job
 */
export function addJob(
  state: OwnerState,
  record: JobRecord,
  progress: ProgressRecord | undefined,
  unixMilliseconds: number,
  formerRevision?: number,
): Job {
  const age = Math.max(0, unixMilliseconds - record.acceptedAt);
  const job = createJob(record, progress, performance.now() - age, formerRevision);
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
 * Moves a job from the open to the ended jobs; its state can still be read.
 * @param state - the owner
 * @param job - the job, whose end is stored
 */
export function retireJob(state: OwnerState, job: Job): void {
  state.openJobs.delete(job.id);
  state.endedJobs.add(job);
  dropTasks(state, job);
}

/**
 * Removes an ended job from the owner's memory.
 * @param state - the owner
 * @param job - the ended job
 */
export function forgetJob(state: OwnerState, job: Job): void {
  state.jobs.delete(job.id);
  state.endedJobs.delete(job);
}

/**
 * Creates the tasks of occurrences that have become due. A job that is too large gets none: it may have been stored by
 * another version, and the other jobs of the pool must not suffer from it. It can be read and cancelled.
 * @param state - the owner
 * @param job - the job
 * @param unixMilliseconds - the current Unix time
 * @param progress - stored progress of the new tasks; undefined when none is stored
 */
export function openDueOccurrences(
  state: OwnerState,
  job: Job,
  unixMilliseconds: number,
  progress?: ProgressRecord,
): void {
  const due = countDue(job.record, unixMilliseconds);
  if (due <= job.dueCount || !canBeOpened(job)) return;
  openOccurrences(job, due, progress);
  for (const task of allTasks(job)) state.tasks.set(task.name, task);
}

/** Whether the tasks of a job fit into memory; a job without tasks has nothing to create. */
function canBeOpened({ record: { definition } }: Job): boolean {
  return hasTasks(definition) && describeExcess(definition) === undefined;
}

/** Removes the tasks of an ended job, except those with runs that are still present on targets. */
function dropTasks(state: OwnerState, job: Job): void {
  for (const task of allTasks(job)) {
    if (task.runs.length === 0) state.tasks.delete(task.name);
  }
}

/**
 * Removes a run that is no longer present on its target.
 * @param state - the owner
 * @param target - the target
 * @param present - the run
 */
export function removeRun(state: OwnerState, target: PoolTarget, { task, run }: TargetRun): void {
  // The target may have restarted meanwhile, which moves the run to the state of the restarted target.
  for (const { runs } of [target, state.targets.get(run.targetId) ?? target]) {
    if (runs.get(task.name)?.run === run) runs.delete(task.name);
  }
  const position = task.runs.indexOf(run);
  if (position >= 0) task.runs.splice(position, 1);
  if (task.job.finalState !== undefined && task.runs.length === 0) state.tasks.delete(task.name);
}

/** Whether a task needs no further runs: it has succeeded, or its job has ended or is ending. */
export function isTaskOver({ job, succeeded }: Task): boolean {
  return succeeded || job.isEnding || job.finalState !== undefined;
}
