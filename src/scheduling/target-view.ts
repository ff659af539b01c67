/**
 * The view of a target on which placement decides, and arithmetic on resources.
 * @packageDocumentation
 */
import type { Resources, StepDefinition } from "../jobs/index.js";

/** A target's resources and tasks, for placement. */
export interface TargetView {
  readonly targetId: string;
  /** Start of the target's process, which distinguishes it from earlier ones under the same identifier. */
  readonly startedAtUnix: number;
  readonly rack: string | undefined;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Unused capacity; placement reduces it. */
  free: Resources;
  /** Number of tasks that it runs, by step key (`job.occurrence.step`); placement increases it. */
  readonly stepCounts: Map<string, number>;
  /** Number of runs of any kind; placement increases it. */
  runCount: number;
  /** Number of runs of long-running tasks; placement increases it. */
  longRunningCount: number;
  /** 0 for a target that works well, higher for one that has recently failed tasks or refused starts. */
  readonly failureScore: number;
}

/**
 * Computes the resources of a target's capacity that a task is charged for.
 * @param definition - the task's step
 * @returns the resources; a best-effort task is charged for no processor time
 */
export function chargedResources({ resources, isFiller }: StepDefinition): Resources {
  return isFiller ? { ...resources, cpuMillicores: 0 } : resources;
}

/** Whether the needed resources fit into the free ones. */
export function fits(free: Resources, needed: Resources): boolean {
  return (
    free.cpuMillicores >= needed.cpuMillicores &&
    free.memoryMegabytes >= needed.memoryMegabytes &&
    free.accelerators >= needed.accelerators
  );
}

/** Subtracts resources; the result may be negative. */
export function subtract(from: Resources, taken: Resources): Resources {
  return {
    cpuMillicores: from.cpuMillicores - taken.cpuMillicores,
    memoryMegabytes: from.memoryMegabytes - taken.memoryMegabytes,
    accelerators: from.accelerators - taken.accelerators,
  };
}

/** Adds resources. */
export function add(left: Resources, right: Resources): Resources {
  return {
    cpuMillicores: left.cpuMillicores + right.cpuMillicores,
    memoryMegabytes: left.memoryMegabytes + right.memoryMegabytes,
    accelerators: left.accelerators + right.accelerators,
  };
}

/**
 * Multiplies resources by a factor.
 * @param resources - the resources
 * @param factor - the factor, which need not be a whole number
 * @returns the scaled resources, not rounded
 */
export function scale(
  { cpuMillicores, memoryMegabytes, accelerators }: Resources,
  factor: number,
): Resources {
  return {
    cpuMillicores: cpuMillicores * factor,
    memoryMegabytes: memoryMegabytes * factor,
    accelerators: accelerators * factor,
  };
}
