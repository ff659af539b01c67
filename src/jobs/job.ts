/**
 * An accepted job while it runs: its tasks, their order, attempts and state. No clock and no network of its own.
 * @packageDocumentation
 */
import { isFinalState, type JobState, type StepDefinition } from "./definition.js";
import type { JobRecord, ProgressRecord } from "./records.js";

/** Where one run of a task is. */
export interface TaskRun {
  readonly targetId: string;
  readonly run: number;
  /** When the start was asked for, by the process's monotonic clock. */
  readonly startedAt: number;
  /** Whether the run does all of the task's work, so that its time can be learned from. */
  readonly isWhole: boolean;
  /**
   * `starting` until the target confirmed it, `unresolved` when no answer came, `missing` when the target did not show
   * it after that, `stopping` once a stop was asked for.
   */
  status: "starting" | "running" | "stopping" | "unresolved" | "missing";
  /** When the target confirmed the start, by the monotonic clock; undefined before. */
  confirmedAt: number | undefined;
  /** The target's clock when it confirmed the start; undefined before. */
  targetStartedAt?: number | undefined;
  /** How long it takes in all by the progress that its target showed last; undefined while that tells nothing. */
  projectedMilliseconds?: number | undefined;
  /** Whether a report of its target has shown it; until then a later life under the identifier may have taken the start. */
  isListed: boolean;
  /** When a start without an answer was last looked for, by the monotonic clock. */
  checkedAt?: number | undefined;
  /** When a stop was last asked for, by the monotonic clock. */
  stopRequestedAt: number | undefined;
  /** When the target confirmed a stop, by the monotonic clock. */
  stopConfirmedAt: number | undefined;
  /** Percent of a long-running task's readiness or of a task's work, as the target reported last. */
  percent: number;
  /** When `percent` last changed, by the monotonic clock. */
  progressedAt: number;
  /** Share of its speed, 0 to 100. */
  pacePercent: number;
  /** A long-running task's tail latency, or the processor use of another, as reported last. */
  usage: number;
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
  /** Runs that may still be present on targets. */
  readonly runs: TaskRun[];
  succeeded: boolean;
  /** How long its run took by the target's clock; undefined before its success, or when that is not known. */
  runMilliseconds?: number | undefined;
  failures: number;
  /** The runs that count among the failures. */
  readonly failedRuns: number[];
  /** Whether this owner has seen its only run: no other can be on a target that has not answered yet. */
  isAccountedFor: boolean;
  /** Targets on which a long-running task may run, as the store knows it. */
  recordedPlaces: readonly string[];
  lastRun: number;
  /** Where a next run goes on; empty for the beginning. */
  checkpoint: string;
  /** Not started before this time, by the monotonic clock. */
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
  /** Occurrences that are due and not yet done. */
  readonly occurrences: Map<number, Occurrence>;
  /** How many occurrences have become due. */
  dueCount: number;
  /** Occurrences whose tasks have all succeeded. */
  readonly finishedOccurrences: Set<number>;
  hasStarted: boolean;
  /** Whether an earlier owner accepted it, which may have started its tasks. */
  readonly isFromFormerOwner: boolean;
  /** Whether its end is being stored; nothing more is started. */
  isEnding: boolean;
  finalState: ProgressRecord["finalState"];
  /** Unix time of the end. */
  endedAt: number | undefined;
  /** When it was accepted, by the monotonic clock; earlier than the process for jobs that were taken over. */
  readonly acceptedAt: number;
  /** When it should end by the forecast at its acceptance, by the monotonic clock; undefined without one. */
  expectedEndAt: number | undefined;
  /** When a caller first handed it in, by the monotonic clock. */
  readonly requestedAt: number;
}

/**
 * Creates a job from its records.
 * @param record - the accepted job
 * @param progress - what was stored of its progress, if anything
 * @param acceptedAt - when it was accepted, by the monotonic clock
 * @param isFromFormerOwner - whether an earlier owner accepted it
 * @returns the job, its due occurrences still to be created by `openOccurrences`
 */
export function createJob(
  record: JobRecord,
  progress: ProgressRecord | undefined,
  acceptedAt: number,
  isFromFormerOwner: boolean,
): Job {
  const job: Job = {
    id: record.jobId,
    record,
    occurrences: new Map(),
    dueCount: 0,
    finishedOccurrences: new Set(),
    hasStarted: progress !== undefined && hasEndedRuns(progress),
    isFromFormerOwner,
    isEnding: false,
    finalState: progress?.finalState,
    endedAt: progress?.endedAt,
    acceptedAt,
    expectedEndAt: undefined,
    requestedAt: acceptedAt - (record.acceptedAt - record.requestedAt),
  };
  return job;
}

/** Tells whether any run of the job has ended so that it was stored. */
function hasEndedRuns({ succeeded, failures, finalState }: ProgressRecord): boolean {
  return finalState !== undefined || succeeded.length > 0 || Object.keys(failures).length > 0;
}

/**
 * Counts the occurrences that are due.
 * @param record - the job
 * @param unixMilliseconds - the time of day
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
 * @param dueCount - how many occurrences are due
 * @param progress - stored progress that the new tasks begin with
 */
export function openOccurrences(job: Job, dueCount: number, progress?: ProgressRecord): void {
  const succeeded = new Set(progress?.succeeded);
  for (let index = job.dueCount; index < dueCount; index += 1) {
    const occurrence = createOccurrence(job, index, succeeded, progress);
    job.occurrences.set(index, occurrence);
    settleOccurrence(job, occurrence);
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
 * Tells whether the tasks of a step may run: all earlier steps that it names have succeeded.
 * @param occurrence - the occurrence
 * @param step - the step's position
 * @returns true when they may
 */
export function isStepReady(occurrence: Occurrence, step: number): boolean {
  const after = occurrence.steps[step]?.[0]?.definition.after ?? [];
  return after.every((earlier) => occurrence.steps[earlier]?.every(({ succeeded }) => succeeded) === true);
}

/**
 * Notes that a task has succeeded; one end stands for all members of a gang.
 * @param task - the task
 * @returns the tasks that have newly succeeded
 */
export function noteSuccess(task: Task): Task[] {
  const occurrence = task.job.occurrences.get(task.occurrence);
  if (occurrence === undefined || task.definition.isLasting) return [];
  const members = task.definition.isGang ? (occurrence.steps[task.step] ?? []) : [task];
  const fresh = members.filter(({ succeeded }) => !succeeded);
  for (const member of fresh) member.succeeded = true;
  settleOccurrence(task.job, occurrence);
  return fresh;
}

function settleOccurrence(job: Job, occurrence: Occurrence): void {
  const isDone = occurrence.steps.every((tasks) => tasks.every(({ succeeded }) => succeeded));
  if (isDone) job.finishedOccurrences.add(occurrence.index);
}

/** Tells whether all work of a job has succeeded. */
export function isWorkDone(job: Job): boolean {
  const total = job.record.definition.repetition?.occurrences ?? 1;
  return job.finishedOccurrences.size >= total;
}

/**
 * Tells what callers see.
 * @param job - the job
 * @returns its state
 */
export function readJobState(job: Job): JobState {
  if (job.finalState !== undefined) return job.finalState;
  return job.hasStarted ? "active" : "queued";
}

/** All tasks of a job that exist now. */
export function allTasks(job: Job): Task[] {
  return [...job.occurrences.values()].flatMap(({ steps }) => steps.flat());
}

/**
 * Writes a job's progress for the store.
 * @param job - the job
 * @returns the record
 */
export function encodeProgress(job: Job): ProgressRecord {
  const { finalState, endedAt } = job;
  // An ended job's tasks no longer matter.
  if (finalState !== undefined && isFinalState(finalState)) {
    return { finalState, endedAt, succeeded: [], failures: {} };
  }
  const tasks = allTasks(job);
  const key = ({ occurrence, step, index }: Task): string => `${occurrence}.${step}.${index}`;
  const failed = tasks.filter((task) => task.failures > 0);
  const failures = failed.map((task) => [key(task), task.failures] as const);
  const failedRuns = failed.map((task): [string, number[]] => [key(task), [...task.failedRuns]]);
  const places = tasks
    .filter(({ recordedPlaces }) => recordedPlaces.length > 0)
    .map((task): [string, string[]] => [key(task), [...task.recordedPlaces]]);
  return {
    succeeded: tasks.filter(({ succeeded }) => succeeded).map(key),
    failures: Object.fromEntries(failures),
    ...(failed.length > 0 ? { failedRuns: Object.fromEntries(failedRuns) } : {}),
    ...(places.length > 0 ? { places: Object.fromEntries(places) } : {}),
  };
}
