/**
 * What a home tells about its pool, and how it empties targets.
 * @packageDocumentation
 */
import { isStepReady, type Task } from "../jobs/index.js";
import { chargedResources, fits, stepCoreSeconds, subtract } from "../scheduling/index.js";
import type { HomeState, HomeTarget, TargetRun } from "./home-state.js";

/** A target as its home sees it. */
export interface TargetLoad {
  readonly targetId: string;
  readonly runs: number;
  readonly lastingRuns: number;
  readonly isVacating: boolean;
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
}

const millicoresPerCore = 1_000;

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
  }));
  return { pool: state.pool, targets, ...readLoad(state) };
}

/**
 * Moves lasting tasks away from targets that leave or are emptied: each is stopped only while enough others of its step
 * are at work and another target has room, and then starts there.
 * @param state - the home
 */
export function moveLastingTasks(state: HomeState): void {
  for (const target of state.targets.values()) {
    const isLeaving = target.session.target().state === "draining" && target.session.isListed();
    if (!target.isVacating && !isLeaving) continue;
    for (const each of target.runs.values()) {
      if (mayMove(state, target, each, isLeaving)) each.run.status = "stopping";
    }
  }
}

function mayMove(state: HomeState, from: HomeTarget, { task, run }: TargetRun, isLeaving: boolean): boolean {
  if (!task.definition.isLasting || run.status !== "running") return false;
  if (!hasRoomElsewhere(state, from, task)) return false;
  // What runs on a target that leaves is lost anyway.
  return isLeaving || countAway(task) < (task.definition.maximumUnavailable ?? 1);
}

const fullPercent = 100;

/** Counts the other tasks of a step that are not at work. */
function countAway(task: Task): number {
  const occurrence = task.job.occurrences.get(task.occurrence);
  if (occurrence === undefined || !isStepReady(occurrence, task.step)) return 0;
  const others = occurrence.steps[task.step]?.filter((other) => other !== task) ?? [];
  const isAtWork = ({ runs }: Task): boolean =>
    runs.some(({ status, percent }) => status === "running" && percent === fullPercent);
  return others.filter((other) => !isAtWork(other)).length;
}

function hasRoomElsewhere(
  state: HomeState,
  from: HomeTarget,
  { definition, job, occurrence, step }: Task,
): boolean {
  const needed = chargedResources(definition);
  const isSameStep = (other: Task): boolean =>
    other.job === job && other.occurrence === occurrence && other.step === step;
  return [...state.targets.values()].some((target) => {
    const { session, isVacating, isRecorded, runs } = target;
    const isOpen = isRecorded && !isVacating && session.isListed() && session.isKnown();
    if (target === from || !isOpen || session.target().state !== "ready") return false;
    const { requiredLabel, maximumPerTarget } = definition;
    const { capacity, labels } = session.target();
    if (requiredLabel !== undefined && !labels.includes(requiredLabel)) return false;
    const running = [...runs.values()];
    const alike = running.filter(({ task }) => isSameStep(task)).length;
    if (maximumPerTarget !== undefined && alike >= maximumPerTarget) return false;
    // Room that short tasks hold becomes free soon; only other lasting tasks keep theirs.
    const lasting = running.filter(({ task }) => task.definition.isLasting);
    const free = lasting.reduce(
      (left, { task }) => subtract(left, chargedResources(task.definition)),
      capacity,
    );
    return fits(free, needed);
  });
}
