/**
 * How many instances a pool needs to keep its objective.
 * @packageDocumentation
 */
import type { PoolDemand } from "./demand-tracker.js";
import { fewestServers, lateShare, type WaitObjective } from "./erlang.js";

/** What the configuration asks of a pool: the strictest of its services. */
export interface PoolObjective {
  readonly minimumInstances: number;
  readonly slotsPerInstance: number;
  /** Share of requests that must be answered in time. */
  readonly objective: number;
  readonly deadlineSeconds: number;
}

/** How many instances a pool needs, and for what. */
export interface PoolRequirement {
  /** For the usual load alone, with the waits that the deadline allows. */
  readonly steadyInstances: number;
  /** For a turn, part of which waits within the deadline. */
  readonly turnInstances: number;
  /** Enough of both and the minimum, before any loss of instances. */
  readonly workingInstances: number;
  /** The share in time that the model expects of the usual load. */
  readonly believedShareInTime: number;
}

const waitDeadlineShare = 0.95;
const reservedRunTimes = 3;

/**
 * Computes what a pool needs. The usual load is an M/M/c queue; a turn is a fluid that the pool works off at its full
 * rate while the last arrival waits at most the deadline.
 * @param load - usual load in erlangs
 * @param demand - run time and turns
 * @param pool - what the configuration asks
 * @returns the requirement
 */
export function requireInstances(
  load: number,
  demand: Pick<PoolDemand, "meanRunSeconds" | "turn">,
  pool: PoolObjective,
): PoolRequirement {
  const waitObjective = createWaitObjective(load, demand.meanRunSeconds, pool);
  const steadySlots = fewestServers(waitObjective, pool.slotsPerInstance);
  const { ratio, seconds } = demand.turn;
  const surgeSlots = (load * ratio * seconds) / (seconds + waitObjective.waitSeconds);
  const steadyInstances = Math.ceil(steadySlots / pool.slotsPerInstance);
  const turnInstances = Math.ceil(surgeSlots / pool.slotsPerInstance);
  const workingInstances = Math.max(steadyInstances, turnInstances, pool.minimumInstances);
  const believedShareInTime = 1 - lateShare(waitObjective, workingInstances * pool.slotsPerInstance);
  return { steadyInstances, turnInstances, workingInstances, believedShareInTime };
}

function createWaitObjective(load: number, meanRunSeconds: number, pool: PoolObjective): WaitObjective {
  const waitSeconds = Math.max(
    0,
    pool.deadlineSeconds * waitDeadlineShare - reservedRunTimes * meanRunSeconds,
  );
  return { load, meanRunSeconds, waitSeconds, objective: pool.objective };
}
