/**
 * Runs that an earlier owner may have started and that no target has reported to this owner yet.
 * @packageDocumentation
 */
import type { Task } from "../jobs/index.js";
import type { LogFields } from "../telemetry/index.js";
import type { OwnerState } from "./owner-state.js";

/**
 * Why a task can or cannot have a run of which this owner has no record.
 * - `own-job`: no earlier owner knew the job.
 * - `accounted-for`: this owner has found the task's only run.
 * - `none-awaited`: each target that the earlier owner recorded has reported, or its leases have lapsed.
 * - `accepted-later`: the awaited targets were unused when the job was accepted.
 * - `places-not-awaited`: a long-running task whose stored places are not awaited, or not for long-running tasks.
 * - `may-run-unseen`: it may have such a run.
 */
export type UnseenRunBasis =
  "own-job" | "accounted-for" | "none-awaited" | "accepted-later" | "places-not-awaited" | "may-run-unseen";

type AwaitingState = Pick<OwnerState, "awaitedTargets">;

/**
 * Checks whether a task may have a run, started by an earlier owner, on a target that has not reported since the takeover.
 * @param state - the targets that have not reported since the takeover
 * @param task - the task
 * @returns false when this owner has a record of all of the task's runs
 */
export function mayRunUnseen(state: AwaitingState, task: Task): boolean {
  return findUnseenRunBasis(state, task) === "may-run-unseen";
}

/**
 * Finds why a task can or cannot have a run of which this owner has no record.
 * @param state - the targets that have not reported since the takeover
 * @param task - the task
 * @returns `may-run-unseen` when the task must not be started, else why it may be
 */
export function findUnseenRunBasis({ awaitedTargets: awaited }: AwaitingState, task: Task): UnseenRunBasis {
  const { job, definition, recordedPlaces, isAccountedFor } = task;
  const { formerRevision } = job;
  if (formerRevision === undefined) return "own-job";
  if (isAccountedFor) return "accounted-for";
  if (!awaited.mayRunAnywhere(formerRevision))
    return awaited.size() === 0 ? "none-awaited" : "accepted-later";
  if (!definition.isLasting) return "may-run-unseen";
  const mayRunLong = recordedPlaces.some((targetId) => awaited.mayRunLong(targetId, formerRevision));
  return mayRunLong ? "may-run-unseen" : "places-not-awaited";
}

/**
 * Describes why a task of a job that an earlier owner accepted may be started.
 * @param state - the targets that have not reported since the takeover
 * @param task - the task
 * @returns the reason, the store revision of the job, the number of awaited targets and the highest revision of a job that may
 * have runs on them, `any` without such a limit; empty for a job that this owner accepted
 */
export function describeStartBasis(state: AwaitingState, task: Task): LogFields {
  const { formerRevision } = task.job;
  if (formerRevision === undefined) return {};
  const { awaitedTargets: awaited } = state;
  const highest = awaited.highestRevision();
  return {
    startBasis: findUnseenRunBasis(state, task),
    jobRevision: formerRevision,
    awaitedTargets: awaited.size(),
    awaitedRevision: highest === Number.POSITIVE_INFINITY ? "any" : highest,
  };
}
