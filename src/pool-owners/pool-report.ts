/**
 * Measures a pool's load and reports it.
 * @packageDocumentation
 */
import { isStepReady, type Occurrence } from "../jobs/index.js";
import { stepCoreSeconds, type ExpectedRunTime } from "../scheduling/index.js";
import { addWaitingWork, countWorkBeyondCaps, type WaitingWork } from "./capped-work.js";
import type { OwnerState } from "./owner-state.js";
import { isInService } from "./pool-target.js";
import { countTargetsWanted } from "./long-running-places.js";
import type { PoolLoad } from "./pool-load.js";

/** A target's load, by its owner's state. */
export interface TargetLoad {
  readonly targetId: string;
  readonly runs: number;
  readonly lastingRuns: number;
  readonly isVacating: boolean;
  /** Whether the target has reported its runs to this owner; until then the counts are meaningless. */
  readonly isKnown: boolean;
}

/** A pool's load and targets, by its owner's state. */
export interface PoolReport {
  readonly pool: string;
  readonly targets: readonly TargetLoad[];
  /** Accepted work that has not ended, in core-seconds, without waiting work beyond the caps of workspaces. */
  readonly backlogCoreSeconds: number;
  /** Cores available for short tasks: those of long-running tasks are not counted. */
  readonly cores: number;
  /** Cores that short tasks use now; best-effort tasks are not counted. */
  readonly busyCores: number;
  /** Cores that the submitted work needs now, whether it is accepted or not. */
  readonly demandCores: number;
  /** Cores by which the submitted work needs more with each second; 0 while it needs no more. */
  readonly demandGrowthPerSecond: number;
  /** Long-running tasks without a place: those that do not run, and those that have to leave their target. */
  readonly waitingLastingTasks: number;
  /** Additional targets for the waiting long-running tasks that fit on none of the pool's targets. */
  readonly wantedTargets: number;
}

const millicoresPerCore = 1_000;
/** Waiting work counts as demand for the cores that would finish it within this time. */
const catchUpSeconds = 1.5;

const noWaitingWork: WaitingWork = { coreSeconds: 0, cores: 0 };

/** A cached load is used for the log lines of refusals up to this age. */
const maximumLoadAgeMilliseconds = 100;

/**
 * Returns the cached load if it is recent, and measures it otherwise, so that refusals at about the same time share one
 * measurement.
 * @param state - the owner
 * @returns the load
 */
export function readRecentLoad(state: OwnerState): PoolLoad {
  const now = performance.now();
  const cached = state.recentLoad;
  if (cached !== undefined && now - cached.readAt < maximumLoadAgeMilliseconds) return cached.load;
  const load = readLoad(state);
  state.recentLoad = { load, readAt: now };
  return load;
}

/**
 * Measures a pool's load.
 * @param state - the owner
 * @returns the accepted work, the cores available for it, and how many of them are in use
 */
function readLoad(state: OwnerState): PoolLoad {
  const load = { backlogCoreSeconds: 0, waitingCores: 0 };
  const byWorkspace = new Map<string, WaitingWork>();
  for (const job of state.openJobs.values()) {
    const { task: expected } = state.runTimes.ofQueue(job.record.terms.queue);
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps.keys()) {
        const { backlogCoreSeconds, waiting } = readStep(occurrence, step, expected);
        load.backlogCoreSeconds += backlogCoreSeconds;
        load.waitingCores += waiting.cores;
        addWaitingWork(byWorkspace, job.record.workspace, waiting);
      }
    }
  }
  const beyondCaps = countWorkBeyondCaps(state, byWorkspace);
  load.backlogCoreSeconds -= beyondCaps.coreSeconds;
  load.waitingCores -= beyondCaps.cores;
  return { ...load, ...readCores(state) };
}

/** The remaining work of a step, and the cores that would finish its waiting tasks within the catch-up time. */
function readStep(
  occurrence: Occurrence,
  step: number,
  expected: ExpectedRunTime,
): { backlogCoreSeconds: number; waiting: WaitingWork } {
  const tasks = occurrence.steps[step] ?? [];
  const definition = tasks[0]?.definition;
  if (definition === undefined) return { backlogCoreSeconds: 0, waiting: noWaitingWork };
  const open = tasks.filter(({ succeeded }) => !succeeded);
  const backlogCoreSeconds = stepCoreSeconds(definition, open.length, expected);
  if (!isStepReady(occurrence, step)) return { backlogCoreSeconds, waiting: noWaitingWork };
  const waiting = open.filter(({ runs }) => runs.length === 0).length;
  const coreSeconds = stepCoreSeconds(definition, waiting, expected);
  // A task cannot use more cores than it requests, so further cores would not finish the tasks sooner.
  const usableCores = (waiting * definition.resources.cpuMillicores) / millicoresPerCore;
  const cores = Math.min(usableCores, coreSeconds / catchUpSeconds);
  return { backlogCoreSeconds, waiting: { coreSeconds, cores } };
}

function readCores(state: OwnerState): { cores: number; busyCores: number } {
  let millicores = 0;
  let busyMillicores = 0;
  for (const target of state.targets.values()) {
    const { session, runs } = target;
    if (!isInService(target)) continue;
    millicores += session.target().capacity.cpuMillicores;
    for (const { task } of runs.values()) {
      const { isLasting, isFiller, resources } = task.definition;
      if (isFiller) continue;
      if (isLasting) millicores -= resources.cpuMillicores;
      else busyMillicores += resources.cpuMillicores;
    }
  }
  return {
    cores: millicores / millicoresPerCore,
    busyCores: busyMillicores / millicoresPerCore,
  };
}

/**
 * Reports the load of a pool and of each of its targets.
 * @param state - the owner
 * @returns the report
 */
export function reportPool(state: OwnerState): PoolReport {
  const targets = [...state.targets.values()].map((target): TargetLoad => ({
    targetId: target.session.targetId,
    runs: target.runs.size,
    lastingRuns: [...target.runs.values()].filter(({ task }) => task.definition.isLasting).length,
    isVacating: target.isVacating,
    isKnown: target.session.isKnown(),
  }));
  const { waitingCores, ...load } = readLoad(state);
  // During a load surge new work needs as many cores as the running work uses; waiting work needs its own in addition.
  const now = performance.now();
  const demandCores = Math.max(state.demand.read(now), load.busyCores) + waitingCores;
  const demandGrowthPerSecond = state.demand.readGrowth(now);
  const waitingLastingTasks = state.unplacedLongRunning.reduce((sum, { count }) => sum + count, 0);
  const wantedTargets = countTargetsWanted(state);
  return {
    pool: state.pool,
    targets,
    ...load,
    demandCores,
    demandGrowthPerSecond,
    waitingLastingTasks,
    wantedTargets,
  };
}
