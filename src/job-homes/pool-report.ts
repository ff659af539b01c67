/**
 * What a home tells about its pool.
 * @packageDocumentation
 */
import { allTasks } from "../jobs/index.js";
import { stepCoreSeconds } from "../scheduling/index.js";
import type { HomeState } from "./home-state.js";

/** A target as its home sees it. */
export interface TargetLoad {
  readonly targetId: string;
  readonly runs: number;
  readonly lastingRuns: number;
  readonly isVacating: boolean;
  /** Whether the target has told this home what runs on it; before that the counts say nothing. */
  readonly isKnown: boolean;
}

/** A pool as its home sees it. */
export interface PoolReport {
  readonly pool: string;
  readonly targets: readonly TargetLoad[];
  /** Accepted work that has not ended, in core-seconds. */
  readonly backlogCoreSeconds: number;
  /** Cores that serve such work, those of lasting tasks not counted. */
  readonly cores: number;
  /** Those of them that are in use. */
  readonly busyCores: number;
  /** Cores that callers' work asks for now, accepted or not. */
  readonly demandCores: number;
  /** Lasting tasks that run nowhere. */
  readonly waitingLastingTasks: number;
}

const millicoresPerCore = 1_000;
/** A backlog asks for the cores that end it in this time. */
const backlogSeconds = 2;

/**
 * Measures a pool's load.
 * @param state - the home
 * @returns accepted work, the cores that serve it, and how many of them are in use
 */
export function readLoad(state: HomeState): { backlogCoreSeconds: number; cores: number; busyCores: number } {
  let backlogCoreSeconds = 0;
  for (const job of state.jobs.values()) {
    if (job.finalState !== undefined) continue;
    const ratio = state.runTimes.ratio(job.record.terms.queue);
    for (const { steps } of job.occurrences.values()) {
      for (const tasks of steps) {
        const open = tasks.filter(({ succeeded }) => !succeeded).length;
        const step = tasks[0]?.definition;
        if (step !== undefined) backlogCoreSeconds += stepCoreSeconds(step, open, ratio);
      }
    }
  }
  let millicores = 0;
  let busyMillicores = 0;
  for (const { session, runs } of state.targets.values()) {
    const { capacity, state: targetState } = session.target();
    if (!session.isListed() || targetState !== "ready") continue;
    millicores += capacity.cpuMillicores;
    for (const { task } of runs.values()) {
      const { isLasting, isFiller, resources } = task.definition;
      if (isFiller) continue;
      if (isLasting) millicores -= resources.cpuMillicores;
      else busyMillicores += resources.cpuMillicores;
    }
  }
  return {
    backlogCoreSeconds,
    cores: millicores / millicoresPerCore,
    busyCores: busyMillicores / millicoresPerCore,
  };
}

/**
 * Describes a pool.
 * @param state - the home
 * @returns the report
 */
export function reportPool(state: HomeState): PoolReport {
  const targets = [...state.targets.values()].map((target): TargetLoad => ({
    targetId: target.session.targetId,
    runs: target.runs.size,
    lastingRuns: [...target.runs.values()].filter(({ task }) => task.definition.isLasting).length,
    isVacating: target.isVacating,
    isKnown: target.session.isKnown(),
  }));
  const load = readLoad(state);
  // What waits should be done within a second or two, besides what comes.
  const demandCores = state.workRate.read(performance.now()) + load.backlogCoreSeconds / backlogSeconds;
  return { pool: state.pool, targets, ...load, demandCores, waitingLastingTasks: countWaitingLasting(state) };
}

function countWaitingLasting(state: HomeState): number {
  const open = [...state.jobs.values()].filter(
    ({ finalState, isEnding }) => finalState === undefined && !isEnding,
  );
  return open.flatMap(allTasks).filter(({ definition, runs }) => definition.isLasting && runs.length === 0)
    .length;
}
