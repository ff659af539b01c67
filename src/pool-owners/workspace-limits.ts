/**
 * Keeps what workspaces have running within their caps: what may be running of each, and which starts still have room.
 * @packageDocumentation
 */
import { allTasks, type Resources, type Task } from "../jobs/index.js";
import { countPlaces, scale, type StepPlace, type TargetView } from "../scheduling/index.js";
import type { OwnerWorkspaces } from "../workspaces/index.js";
import type { OwnerState, TargetRun } from "./owner-state.js";
import { mayRunUnseen } from "./unseen-runs.js";

/**
 * Begins a round of placing, where the configuration holds workspaces.
 * @param state - the owner
 * @param now - the monotonic clock
 */
export function beginQuotaRound(state: OwnerState, now: number): void {
  const { workspaces } = state;
  if (workspaces === undefined) return;
  // Without workspaces the quotas are told so once more: they may have worked with an earlier configuration.
  if (workspaces.table() === undefined) workspaces.quotas.beginRound(new Map(), now);
  else workspaces.quotas.beginRound(readUsage(state), now, readUnseenRuns(state));
}

/**
 * Chooses the tasks of a step that their workspace's cap leaves room for.
 * @param state - the owner
 * @param place - the step
 * @param idle - its tasks that could start; all members of a gang
 * @param views - the targets that may be used
 * @param isAllowed - tells of each target whether the tasks may run there
 * @returns the first of the tasks; of a gang all or none
 */
export function limitStarts(
  state: OwnerState,
  place: StepPlace,
  idle: readonly Task[],
  views: readonly TargetView[],
  isAllowed: (view: TargetView) => boolean,
): readonly Task[] {
  const workspace = idle[0]?.job.record.workspace;
  const quotas = findQuotas(state);
  if (workspace === undefined || quotas === undefined) return idle;
  const { resources, isGang, isLasting } = place.definition;
  // What has no place yet is no reason to hold room that other pools could use; long-running tasks get machines for it.
  const placeable = isLasting ? idle.length : countPlaces(place, views, idle.length, isAllowed);
  if (!isGang) return idle.slice(0, quotas.countAllowed(workspace, resources, placeable));
  if (placeable < idle.length) return [];
  return quotas.countAllowed(workspace, scale(resources, idle.length), 1) === 1 ? idle : [];
}

/**
 * Takes the room of a task that is started.
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
 * Every run that may be present counts, a best-effort task with its processor time too: who counts runs may not leave
 * it out.
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

function readUnseenRuns(state: OwnerState): Map<string, Resources> {
  const unseen = new Map<string, Resources>();
  if (state.awaitedTargets.size === 0) return unseen;
  for (const job of state.openJobs.values()) {
    if (!job.isFromFormerOwner || job.record.workspace === undefined) continue;
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
