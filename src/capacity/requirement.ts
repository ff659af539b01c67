/**
 * Computes how many instances a pool needs to meet its objective.
 * @packageDocumentation
 */
import type { PoolDemand } from "./demand-tracker.js";
import { fewestServers, lateShare, type WaitObjective } from "./erlang.js";

/** The configured objective of a pool: the strictest values among its services. */
export interface PoolObjective {
  readonly minimumInstances: number;
  readonly slotsPerInstance: number;
  /** Share of requests that must be answered within the deadline, such as 0.999. */
  readonly objective: number;
  readonly deadlineSeconds: number;
}

/** Number of instances that a pool needs, by cause. */
export interface PoolRequirement {
  /** Instances for the usual load alone, with the waits that the deadline allows. */
  readonly steadyInstances: number;
  /** Instances for a load surge, part of which waits within the deadline. */
  readonly turnInstances: number;
  /** The largest of both counts and the configured minimum, without a reserve for the loss of instances. */
  readonly workingInstances: number;
  /** Predicted share of requests of the usual load that start early enough for their deadline, with all working instances. */
  readonly believedShareInTime: number;
}

/** Share of the deadline that waiting and running may use. */
const waitDeadlineShare = 0.95;
/** Number of mean run times that are reserved for the run itself, so that slower runs end in time too. */
const reservedRunTimes = 3;

/**
 * Computes the instances that a pool needs. The usual load is modelled as an M/M/c queue. A load surge is modelled as a
 * fluid that the pool works off at its full rate, where the last arrival waits no longer than the deadline allows.
 * @param load - usual load in erlangs
 * @param demand - mean run time and the surge to expect
 * @param pool - the configured objective
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
