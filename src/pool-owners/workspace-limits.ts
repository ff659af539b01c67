/**
 * Keeps the runs of each workspace within its cap: counts what may be running, and limits starts to the remaining quota.
 * @packageDocumentation
 */
import { allTasks, type Resources, type Task } from "../jobs/index.js";
import { countPlaces, scale, type StepPlace, type TargetView } from "../scheduling/index.js";
import type { OwnerWorkspaces } from "../workspaces/index.js";
import type { OwnerState } from "./owner-state.js";
import type { TargetRun } from "./pool-target.js";
import { mayRunUnseen } from "./unseen-runs.js";

/**
 * Passes the current usage to the quotas at the start of a placement round; does nothing where workspaces are not
 * distinguished.
 * @param state - the owner
 * @param now - the monotonic clock
 */
export function beginQuotaRound(state: OwnerState, now: number): void {
  const { workspaces } = state;
  if (workspaces === undefined) return;
  // A configuration without workspaces may follow one with workspaces, whose quotas have to be released.
  if (workspaces.table() === undefined) workspaces.quotas.beginRound(new Map(), now);
  else workspaces.quotas.beginRound(readUsage(state), now, readUnseenRuns(state));
}

/**
 * Chooses the tasks of a step that may start within their workspace's cap.
 * @param state - the owner
 * @param place - the step
 * @param idle - the tasks of the step that could start; for a gang, all its members
 * @param views - the targets that may be used, and on which the step may be allowed
 * @returns the first tasks, as many as may start; for a gang, all or none
 */
export function limitStarts(
  state: OwnerState,
  place: StepPlace,
  idle: readonly Task[],
  views: readonly TargetView[],
): readonly Task[] {
  const workspace = idle[0]?.job.record.workspace;
  const quotas = findQuotas(state);
  if (workspace === undefined || quotas === undefined) return idle;
  const { resources, isGang, isLasting } = place.definition;
  // Quota is not held for tasks without a place, since other pools could use it; long-running tasks are the exception,
  // because machines are added for them.
  const placeable = isLasting ? idle.length : countPlaces(place, views, idle.length);
  if (!isGang) return idle.slice(0, quotas.countAllowed(workspace, resources, placeable));
  if (placeable < idle.length) return [];
  return quotas.countAllowed(workspace, scale(resources, idle.length), 1) === 1 ? idle : [];
}

/**
 * Charges a task that is started to its workspace's quota.
 * @param state - the owner
 * @param task - the task
 */
export function takeQuota(state: OwnerState, task: Task): void {
  const { workspace } = task.job.record;
  if (workspace !== undefined) findQuotas(state)?.take(workspace, task.definition.resources, 1);
}

function findQuotas({ workspaces }: OwnerState): OwnerWorkspaces["quotas"] | undefined {
  return workspaces?.table() === undefined ? undefined : workspaces.quotas;
}

/**
 * Sums the resources of all runs that may be present, by workspace. Best-effort tasks count with their processor time too,
 * because a cap limits every run of a workspace.
 */
function readUsage({ targets, unsettledStarts }: OwnerState): Map<string, Resources> {
  const usage = new Map<string, Resources>();
  const count = (runs: Iterable<TargetRun>): void => {
    for (const { task } of runs) addUsage(usage, task);
  };
  for (const { runs } of targets.values()) count(runs.values());
  for (const runs of unsettledStarts.values()) count(runs);
  return usage;
}

/** Sums the resources of tasks that may still run on targets of earlier owners which have not reported, by workspace. */
function readUnseenRuns(state: OwnerState): Map<string, Resources> {
  const unseen = new Map<string, Resources>();
  if (state.awaitedTargets.size() === 0) return unseen;
  for (const job of state.openJobs.values()) {
    if (job.formerRevision === undefined || job.record.workspace === undefined) continue;
    for (const task of allTasks(job)) {
      if (!task.succeeded && task.runs.length === 0 && mayRunUnseen(state, task)) addUsage(unseen, task);
    }
  }
  return unseen;
}

function addUsage(usage: Map<string, Resources>, { job, definition }: Task): void {
  const { workspace } = job.record;
  if (workspace === undefined) return;
  const total = usage.get(workspace) ?? { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
  total.cpuMillicores += definition.resources.cpuMillicores;
  total.memoryMegabytes += definition.resources.memoryMegabytes;
  total.accelerators += definition.resources.accelerators;
  usage.set(workspace, total);
}
