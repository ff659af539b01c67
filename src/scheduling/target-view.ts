/**
 * What placing decides on: a target's room and what it runs.
 * @packageDocumentation
 */
import type { Resources, StepDefinition } from "../jobs/index.js";

/** A target as placing sees it. */
export interface TargetView {
  readonly targetId: string;
  readonly rack: string | undefined;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** What is left of its capacity; placing takes from it. */
  free: Resources;
  /** Tasks of each step that it runs, by step key; placing adds to it. */
  readonly stepCounts: Map<string, number>;
  /** Runs of any kind; placing adds to it. */
  runCount: number;
  /** Long-running runs; placing adds to it. */
  longRunningCount: number;
  /** 0 for a target that works well, higher for one that lately failed or refused. */
  readonly failureScore: number;
}

/**
 * What a task takes of a target's capacity.
 * @param definition - the task's step
 * @returns the resources; a best-effort task takes no processor
 */
export function chargedResources({ resources, isFiller }: StepDefinition): Resources {
  return isFiller ? { ...resources, cpuMillicores: 0 } : resources;
}

/** Tells whether something fits. */
export function fits(free: Resources, needed: Resources): boolean {
  return (
    free.cpuMillicores >= needed.cpuMillicores &&
    free.memoryMegabytes >= needed.memoryMegabytes &&
    free.accelerators >= needed.accelerators
  );
}

/** Takes resources from others. */
export function subtract(from: Resources, taken: Resources): Resources {
  return {
    cpuMillicores: from.cpuMillicores - taken.cpuMillicores,
    memoryMegabytes: from.memoryMegabytes - taken.memoryMegabytes,
    accelerators: from.accelerators - taken.accelerators,
  };
}

/** Adds resources to others. */
export function add(left: Resources, right: Resources): Resources {
  return {
    cpuMillicores: left.cpuMillicores + right.cpuMillicores,
    memoryMegabytes: left.memoryMegabytes + right.memoryMegabytes,
    accelerators: left.accelerators + right.accelerators,
  };
}

/**
 * Scales resources.
 * @param resources - the resources
 * @param factor - by how much
 * @returns as many times the resources
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
