/**
 * The state of an accepted job: its occurrences, tasks, runs and progress. Uses neither clock nor network.
 * @packageDocumentation
 */
import { hasTasks } from "./job-size.js";
import type { JobState, StepDefinition } from "./definition.js";
import type { JobRecord, ProgressRecord } from "./records.js";

/** One run of a task on a target. */
export interface TaskRun {
  readonly targetId: string;
  /** Number of the run; later runs of the task have higher numbers. */
  readonly run: number;
  /** When the start was requested, by the monotonic clock of this process. */
  readonly startedAt: number;
  /**
   * Whether the run is known to do all of the task's work, so that its run time can be learned from. False for a run that
   * continues from a checkpoint and for one that a former owner started.
   */
  readonly isWhole: boolean;
  /**
   * `starting` until the target confirms the start, `unresolved` when the start request got no answer, `missing` when the
   * target did not list the run after that, `stopping` once a stop was requested.
   */
  status: "starting" | "running" | "stopping" | "unresolved" | "missing";
  /** When the target confirmed the start, by the monotonic clock; undefined before. */
  confirmedAt: number | undefined;
  /** The target's clock when it confirmed the start; undefined before. */
  targetStartedAt?: number | undefined;
  /** Total run time projected from the last reported progress; undefined while there is no projection. */
  projectedMilliseconds?: number | undefined;
  /**
   * Whether a report of its target has listed the run. Until then, a restarted target with the same identifier may have
   * received the start.
   */
  isListed: boolean;
  /** When the target was last queried about an unanswered start, by the monotonic clock. */
  startCheckedAt?: number | undefined;
  /** When a stop was last requested, by the monotonic clock. */
  stopRequestedAt: number | undefined;
  /** When the target confirmed a stop, by the monotonic clock. */
  stopConfirmedAt: number | undefined;
  /** Last reported percent: readiness of a long-running task, completed work of any other task. */
  percent: number;
  /** When `percent` last changed, by the monotonic clock. */
  progressedAt: number;
  /** Pace in percent of full speed, 0 to 100. */
  pacePercent: number;
  /** Last reported usage: tail latency of a long-running task, processor usage of any other task. */
  usage: number;
}

/** A run that counts as ended because its target fell silent, restarted or was dropped. */
export interface DroppedRun {
  readonly run: number;
  readonly targetId: string;
  /** Why the run counts as ended. */
  readonly reason: string;
}

/** One task of a job. */
export interface Task {
  /** `job.occurrence.step.index`. */
  readonly name: string;
  readonly job: Job;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
  readonly definition: StepDefinition;
  /** Runs that may still exist on targets. */
  readonly runs: TaskRun[];
  succeeded: boolean;
  /** Run time of its successful run by the target's clock; undefined before the success, or when it is unknown. */
  runMilliseconds?: number | undefined;
  /** Number of failed runs. */
  failures: number;
  /** Numbers of the runs that are counted in `failures`. */
  readonly failedRuns: number[];
  /** Whether this owner knows the task's only run, so that no other run can exist on a target that has not answered yet. */
  isAccountedFor: boolean;
  /** Targets on which a long-running task may run, as stored in the progress record. */
  recordedPlaces: readonly string[];
  /** Highest known run number; 0 before the first run. */
  lastRun: number;
  /** The last run that counts as ended without a report of its end; undefined when there is none. */
  droppedRun?: DroppedRun | undefined;
  /** The checkpoint from which the next run continues; empty to start from the beginning. */
  checkpoint: string;
  /** Earliest time of the next start, by the monotonic clock. */
  notBefore: number;
}

/** One occurrence of a job's steps. */
export interface Occurrence {
  readonly index: number;
  /** Tasks by step. */
  readonly steps: readonly (readonly Task[])[];
}

/** An accepted job. */
export interface Job {
  readonly id: string;
  readonly record: JobRecord;
  /** Occurrences that have become due, by index. */
  readonly occurrences: Map<number, Occurrence>;
  /** How many occurrences have become due. */
  dueCount: number;
  /** Indexes of the occurrences whose tasks have all succeeded. */
  readonly finishedOccurrences: Set<number>;
  hasStarted: boolean;
  /**
   * Store revision of the record of a job that a former owner accepted, and whose tasks it may have started; undefined for
   * a job that this owner accepted.
   */
  readonly formerRevision: number | undefined;
  /** Whether the end of the job is being stored; no further tasks are started. */
  isEnding: boolean;
  finalState: ProgressRecord["finalState"];
  /** Unix time of the end, in milliseconds; undefined before. */
  endedAt: number | undefined;
  /** When it was accepted, by the monotonic clock; may lie before the start of this process for jobs that were taken over. */
  readonly acceptedAt: number;
  /** Forecast end at its acceptance, by the monotonic clock; undefined without a forecast. */
  expectedEndAt: number | undefined;
  /** When a caller first submitted it, by the monotonic clock. */
  readonly requestedAt: number;
}

/**
 * Creates a job from its records.
 * @param record - the record of the accepted job
 * @param progress - the stored progress; undefined when none was stored
 * @param acceptedAt - when it was accepted, by the monotonic clock
 * @param formerRevision - store revision of its record if a former owner accepted it; undefined otherwise
 * @returns the job without occurrences; `openOccurrences` creates them
 */
export function createJob(
  record: JobRecord,
  progress: ProgressRecord | undefined,
  acceptedAt: number,
  formerRevision?: number,
): Job {
  const job: Job = {
    id: record.jobId,
    record,
    occurrences: new Map(),
    dueCount: 0,
    finishedOccurrences: new Set(),
    hasStarted: progress !== undefined && hasStoredOutcome(progress),
    formerRevision,
    isEnding: false,
    finalState: progress?.finalState,
    endedAt: progress?.endedAt,
    acceptedAt,
    expectedEndAt: undefined,
    requestedAt: acceptedAt - (record.acceptedAt - record.requestedAt),
  };
  return job;
}

/** Whether the stored progress contains the end of the job or of any run. */
function hasStoredOutcome({ succeeded, failures, finalState }: ProgressRecord): boolean {
  return finalState !== undefined || succeeded.length > 0 || Object.keys(failures).length > 0;
}

/**
 * Counts the occurrences that are due.
 * @param record - the record of the job
 * @param unixMilliseconds - the current Unix time
 * @returns how many occurrences have become due; 1 for a job that runs once
 */
export function countDue({ definition: { repetition } }: JobRecord, unixMilliseconds: number): number {
  if (repetition === undefined) return 1;
  const elapsed = unixMilliseconds - repetition.startAtMilliseconds;
  if (elapsed < 0) return 0;
  if (repetition.intervalMilliseconds <= 0) return repetition.occurrences;
  return Math.min(repetition.occurrences, 1 + Math.floor(elapsed / repetition.intervalMilliseconds));
}

/**
 * Creates the tasks of occurrences that have become due.
 * @param job - the job
 * @param dueCount - how many occurrences are due in total; those that exist already stay
 * @param progress - stored progress from which the new tasks start
 */
export function openOccurrences(job: Job, dueCount: number, progress?: ProgressRecord): void {
  const succeeded = new Set(progress?.succeeded);
  for (let index = job.dueCount; index < dueCount; index += 1) {
    const occurrence = createOccurrence(job, index, succeeded, progress);
    job.occurrences.set(index, occurrence);
    noteIfFinished(job, occurrence);
  }
  job.dueCount = Math.max(job.dueCount, dueCount);
}

function createOccurrence(
  job: Job,
  index: number,
  succeeded: ReadonlySet<string>,
  progress: ProgressRecord | undefined,
): Occurrence {
  const steps = job.record.definition.steps.map((definition, step) =>
    Array.from({ length: definition.taskCount }, (_, position): Task => {
      const key = `${index}.${step}.${position}`;
      return {
        name: `${job.id}.${key}`,
        job,
        occurrence: index,
        step,
        index: position,
        definition,
        runs: [],
        succeeded: succeeded.has(key),
        failures: progress?.failures[key] ?? 0,
        failedRuns: [...(progress?.failedRuns?.[key] ?? [])],
        isAccountedFor: false,
        recordedPlaces: progress?.places?.[key] ?? [],
        lastRun: 0,
        checkpoint: "",
        notBefore: 0,
      };
    }),
  );
  return { index, steps };
}

/**
 * Whether the tasks of a step may run: all tasks of the steps in its `after` list have succeeded.
 * @param occurrence - the occurrence of the job
 * @param step - the index of the step
 * @returns true when the tasks may run
 */
export function isStepReady(occurrence: Occurrence, step: number): boolean {
  const after = occurrence.steps[step]?.[0]?.definition.after ?? [];
  return after.every((earlier) => occurrence.steps[earlier]?.every(({ succeeded }) => succeeded) === true);
}

/**
 * Records that a task has succeeded; the success of one member of a gang counts for all members.
 * @param task - the task that succeeded
 * @returns the tasks that had not succeeded before; none for long-running tasks
 */
export function noteSuccess(task: Task): Task[] {
  const occurrence = task.job.occurrences.get(task.occurrence);
  if (occurrence === undefined || task.definition.isLasting) return [];
  const members = task.definition.isGang ? (occurrence.steps[task.step] ?? []) : [task];
  const fresh = members.filter(({ succeeded }) => !succeeded);
  for (const member of fresh) member.succeeded = true;
  noteIfFinished(task.job, occurrence);
  return fresh;
}

function noteIfFinished(job: Job, occurrence: Occurrence): void {
  const isDone = occurrence.steps.every((tasks) => tasks.every(({ succeeded }) => succeeded));
  if (isDone) job.finishedOccurrences.add(occurrence.index);
}

/** Whether all tasks of all occurrences of a job have succeeded; true also for a job without tasks. */
export function isWorkDone(job: Job): boolean {
  const { definition } = job.record;
  if (!hasTasks(definition)) return true;
  return job.finishedOccurrences.size >= (definition.repetition?.occurrences ?? 1);
}

/**
 * Returns the state of a job as callers see it.
 * @param job - the job
 * @returns the final state once it is set, else whether the job has started
 */
export function readJobState(job: Job): JobState {
  if (job.finalState !== undefined) return job.finalState;
  return job.hasStarted ? "active" : "queued";
}

/** All tasks of the occurrences that exist now. */
export function allTasks(job: Job): Task[] {
  return [...job.occurrences.values()].flatMap(({ steps }) => steps.flat());
}
