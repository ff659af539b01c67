/**
 * Facts derived from a history that several checks use.
 * @packageDocumentation
 */
import { isFinalState, type StepDefinition } from "../../jobs/index.js";
import type { RunRecord } from "../../stand-ins/index.js";
import type { SoakBounds } from "../bounds.js";
import { groupBy } from "../group-by.js";
import type { RequestRecord, SoakHistory, SoakJob } from "../history.js";

/** One violation of a promise. */
export interface Violation {
  readonly promise: string;
  /** Unix milliseconds. */
  readonly at: number;
  /** Identifiers of the affected jobs, tasks, targets, machines and entries. */
  readonly subjects: readonly string[];
  readonly detail: string;
}

/** A promise and the function that finds its violations. */
export interface SoakPromise {
  readonly name: string;
  /** The users' rule that the promise covers. */
  readonly rule: string;
  find(facts: HistoryFacts): Omit<Violation, "promise">[];
}

/** The requests for one job and their results. */
export interface JobFacts {
  readonly job: SoakJob;
  /** When the first accepting response arrived; undefined if there was none. */
  readonly acceptedAt: number | undefined;
  /** Whether the job was submitted and every submission was refused. */
  readonly isRefused: boolean;
  readonly cancelRequestedAt: number | undefined;
  readonly cancelConfirmedAt: number | undefined;
  readonly requests: readonly RequestRecord[];
}

/** A history with its requests grouped by job and its runs by task. */
export interface HistoryFacts {
  readonly history: SoakHistory;
  readonly bounds: SoakBounds;
  readonly jobs: readonly JobFacts[];
  readonly runsByTask: ReadonlyMap<string, readonly RunRecord[]>;
  /**
   * Returns whether no fault was active in a span or within the contact time before it. `ignoresPlanned` leaves out
   * normal operations, such as stops and reloads.
   */
  readonly isCalm: (from: number, to: number, ignoresPlanned?: boolean) => boolean;
}

const statusGone = 410;
const refusals = new Set([429, 503]);

/** Returns whether an HTTP status is a success. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** Derives the facts from a history. */
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
 * Checks whether traffic and faults ended long enough ago for the system to have recovered.
 * @param history - the recorded events of the soak
 * @param bounds - contains the time allowed for the recovery
 * @param at - Unix milliseconds
 * @returns false while promises on the end of the soak can't be judged
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

/** The parts of a task's name `job.occurrence.step.index` that the checks use. */
export interface TaskName {
  readonly jobId: string;
  readonly step: number;
}

/** Parses the name of a task. */
export function readTaskName(task: string): TaskName {
  const [jobId = "", , step = "0"] = task.split(".");
  return { jobId, step: Number(step) };
}

/** Returns the names of a step's tasks; the occurrence is always 0, because no job of a soak recurs. */
export function nameTasks(jobId: string, step: number, { taskCount }: StepDefinition): string[] {
  return Array.from({ length: taskCount }, (_, index) => `${jobId}.0.${step}.${index}`);
}

/** Returns whether tasks of a job run until it is cancelled. */
export function isLongRunningJob({ definition }: SoakJob): boolean {
  return definition.steps.some(({ isLasting }) => isLasting);
}

/** Returns the first request whose response contained a final state. */
export function findFinalStateRequest({ requests }: JobFacts): RequestRecord | undefined {
  return requests.find(({ state }) => state !== undefined && isFinalState(state));
}
