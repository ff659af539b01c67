/**
 * Waiting work that cannot start because of its workspace's cap: additional machines would not finish it sooner.
 * @packageDocumentation
 */
import type { OwnerState } from "./owner-state.js";
import { readWorkspaceRoom } from "./workspace-room.js";

/** Work of tasks that wait for room. */
export interface WaitingWork {
  readonly coreSeconds: number;
  /** Cores that would finish the work within the catch-up time of the pool report. */
  readonly cores: number;
}

const millicoresPerCore = 1_000;
const noWork: WaitingWork = { coreSeconds: 0, cores: 0 };

/**
 * Sums the waiting work that exceeds the caps of workspaces.
 * @param state - the owner
 * @param waiting - waiting work by workspace
 * @returns the part that cannot start, however much room the pool has
 */
export function countWorkBeyondCaps(
  state: Pick<OwnerState, "workspaces" | "targets">,
  waiting: ReadonlyMap<string, WaitingWork>,
): WaitingWork {
  if (waiting.size === 0) return noWork;
  const running = countRunningCores(state);
  let [coreSeconds, cores] = [0, 0];
  for (const [workspace, work] of waiting) {
    const room = readWorkspaceRoom(state, workspace);
    if (room === undefined || work.cores === 0) continue;
    const left = Math.max(0, room.cpuMillicores / millicoresPerCore - (running.get(workspace) ?? 0));
    const beyond = Math.max(0, work.cores - left);
    cores += beyond;
    coreSeconds += (work.coreSeconds * beyond) / work.cores;
  }
  return { coreSeconds, cores };
}

/**
 * Adds waiting work to the sum of its workspace.
 * @param waiting - waiting work by workspace, which is changed
 * @param workspace - the workspace; undefined for work of no workspace, which is ignored
 * @param work - the work to add
 */
export function addWaitingWork(
  waiting: Map<string, WaitingWork>,
  workspace: string | undefined,
  work: WaitingWork,
): void {
  if (workspace === undefined) return;
  const { coreSeconds, cores } = waiting.get(workspace) ?? noWork;
  waiting.set(workspace, { coreSeconds: coreSeconds + work.coreSeconds, cores: cores + work.cores });
}

function countRunningCores({ targets }: Pick<OwnerState, "targets">): ReadonlyMap<string, number> {
  const running = new Map<string, number>();
  for (const { runs } of targets.values()) {
    for (const { task } of runs.values()) {
      const { workspace } = task.job.record;
      if (workspace === undefined || task.definition.isFiller) continue;
      const cores = task.definition.resources.cpuMillicores / millicoresPerCore;
      running.set(workspace, (running.get(workspace) ?? 0) + cores);
    }
  }
  return running;
}
