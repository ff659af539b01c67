/**
 * What several checks read out of a history.
 * @packageDocumentation
 */
import { isFinalState, type StepDefinition } from "../../jobs/index.js";
import type { RunRecord } from "../../stand-ins/index.js";
import type { SoakBounds } from "../bounds.js";
import { groupBy } from "../group-by.js";
import type { RequestRecord, SoakHistory, SoakJob } from "../history.js";

/** One broken promise. */
export interface Violation {
  readonly promise: string;
  /** Unix milliseconds. */
  readonly at: number;
  /** Identifiers of what is concerned: jobs, tasks, targets, machines, entries. */
  readonly subjects: readonly string[];
  readonly detail: string;
}

/** A promise and how a breach is found. */
export interface SoakPromise {
  readonly name: string;
  /** The users' rule that it stands for. */
  readonly rule: string;
  find(facts: HistoryFacts): Omit<Violation, "promise">[];
}

/** What callers know of one job. */
export interface JobFacts {
  readonly job: SoakJob;
  /** When the first acceptance was answered; undefined for never. */
  readonly acceptedAt: number | undefined;
  /** Whether every request to hand it in was refused. */
  readonly isRefused: boolean;
  readonly cancelRequestedAt: number | undefined;
  readonly cancelConfirmedAt: number | undefined;
  readonly requests: readonly RequestRecord[];
}

/** A history with what is known of its jobs, tasks and calm times. */
export interface HistoryFacts {
  readonly history: SoakHistory;
  readonly bounds: SoakBounds;
  readonly jobs: readonly JobFacts[];
  readonly runsByTask: ReadonlyMap<string, readonly RunRecord[]>;
  /** Whether nothing was played in a span, nor so shortly before it that it counts; announced doings may be left out. */
  readonly isCalm: (from: number, to: number, ignoresPlanned?: boolean) => boolean;
}

const statusGone = 410;
const refusals = new Set([429, 503]);

/** Tells whether an answer is a success. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** Reads the facts of a history. */
export function readFacts(history: SoakHistory, bounds: SoakBounds): HistoryFacts {
  const requestsByJob = groupBy(history.requests, ({ jobId }) => jobId);
  const runsByTask = groupBy(history.runs, ({ task }) => task);
  for (const runs of runsByTask.values()) runs.sort((left, right) => left.from - right.from);
  return {
    history,
    bounds,
    jobs: [...history.jobs.values()].map((job) => readJob(job, requestsByJob.get(job.jobId) ?? [])),
    runsByTask,
    isCalm: (from, to, ignoresPlanned = false) =>
      history.faults.every(
        (fault) =>
          (ignoresPlanned && fault.isPlanned) ||
          fault.from > to ||
          fault.to + bounds.contactMilliseconds < from,
      ),
  };
}

/**
 * Tells whether traffic and faults have ended so long ago that all must be in order again.
 * @param history - what was seen
 * @param bounds - how long that may take
 * @param at - the time that is judged
 * @returns false while promises on the end cannot be judged
 */
export function hasSettled({ faults, trafficEndedAt }: SoakHistory, bounds: SoakBounds, at: number): boolean {
  const last = Math.max(trafficEndedAt, ...faults.map(({ to }) => to));
  return last + bounds.finishMilliseconds <= at;
}

function readJob(job: SoakJob, unordered: readonly RequestRecord[]): JobFacts {
  const requests = [...unordered].sort((left, right) => left.endedAt - right.endedAt);
  const submissions = requests.filter(({ kind }) => kind === "submit");
  const cancels = requests.filter(({ kind }) => kind === "cancel");
  const cancelTimes = cancels.map(({ sentAt }) => sentAt);
  return {
    job,
    requests,
    acceptedAt: submissions.find(({ status }) => isSuccess(status))?.endedAt,
    isRefused: submissions.length > 0 && submissions.every(({ status }) => refusals.has(status)),
    cancelRequestedAt: cancelTimes.length === 0 ? undefined : Math.min(...cancelTimes),
    cancelConfirmedAt: cancels.find(({ status }) => isSuccess(status) || status === statusGone)?.endedAt,
  };
}

/** A task of a job by its name, which is `job.occurrence.step.index`. */
export interface TaskName {
  readonly jobId: string;
  readonly step: number;
}

/** Reads the name of a task. */
export function readTaskName(task: string): TaskName {
  const [jobId = "", , step = "0"] = task.split(".");
  return { jobId, step: Number(step) };
}

/** The names of a step's tasks; no job of a soak repeats. */
export function nameTasks(jobId: string, step: number, { taskCount }: StepDefinition): string[] {
  return Array.from({ length: taskCount }, (_, index) => `${jobId}.0.${step}.${index}`);
}

/** Tells whether a job's tasks run until it is cancelled. */
export function isLongRunningJob({ definition }: SoakJob): boolean {
  return definition.steps.some(({ isLasting }) => isLasting);
}

/** The first request that told a final state. */
export function findFinalStateRequest({ requests }: JobFacts): RequestRecord | undefined {
  return requests.find(({ state }) => state !== undefined && isFinalState(state));
}
