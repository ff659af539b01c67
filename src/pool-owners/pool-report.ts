/**
 * What an owner tells about its pool.
 * @packageDocumentation
 */
import { isStepReady, type Occurrence } from "../jobs/index.js";
import { stepCoreSeconds, type ExpectedRunTime } from "../scheduling/index.js";
import { addWaitingWork, countWorkBeyondCaps, type WaitingWork } from "./capped-work.js";
import { isInService, type OwnerState } from "./owner-state.js";
import { countTargetsWanted } from "./long-running-places.js";
import type { PoolLoad } from "./pool-load.js";

/** A target as its owner sees it. */
export interface TargetLoad {
  readonly targetId: string;
  readonly runs: number;
  readonly lastingRuns: number;
  readonly isVacating: boolean;
  /** Whether the target has told this owner what runs on it; before that the counts say nothing. */
  readonly isKnown: boolean;
}

/** A pool as its owner sees it. */
export interface PoolReport {
  readonly pool: string;
  readonly targets: readonly TargetLoad[];
  /** Accepted work that has not ended, in core-seconds, less what waits beyond caps of workspaces. */
  readonly backlogCoreSeconds: number;
  /** Cores that serve such work, those of long-running tasks not counted. */
  readonly cores: number;
  /** Those of them that are in use. */
  readonly busyCores: number;
  /** Cores that callers' work asks for now, accepted or not. */
  readonly demandCores: number;
  /** Long-running tasks that run nowhere, or have to leave their target, and find no place. */
  readonly waitingLastingTasks: number;
  /** Further targets that those of them need which fit on none of the pool's. */
  readonly wantedTargets: number;
}

const millicoresPerCore = 1_000;
/** Work that waits for room asks for the cores that end it in this time. */
const catchUpSeconds = 1.5;

const noWaitingWork: WaitingWork = { coreSeconds: 0, cores: 0 };

/** Refusals tell a load that is no older than this. */
const maximumLoadAgeMilliseconds = 100;

/**
 * Measures a pool's load unless it was measured just now; callers that are refused together share a measurement.
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
 * @returns accepted work, the cores that serve it, and how many of them are in use
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

/** The work of a step that is left, and the cores that would end soon what waits for room. */
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
  // More cores than tasks could use would not end them sooner.
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
 * Describes a pool.
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
  // What comes needs as many cores as what runs while a turn goes on; what waits needs its own besides.
  const demandCores = Math.max(state.demand.read(performance.now()), load.busyCores) + waitingCores;
  const waitingLastingTasks = state.unplacedLongRunning.reduce((sum, { count }) => sum + count, 0);
  const wantedTargets = countTargetsWanted(state);
  return { pool: state.pool, targets, ...load, demandCores, waitingLastingTasks, wantedTargets };
}
