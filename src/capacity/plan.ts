/**
 * The planner: computes how many instances each pool needs and which instances move. It has no side effects.
 * @packageDocumentation
 */
import { createAllocation, largestDomain, type Allocation } from "./allocation.js";
import { chooseInstance } from "./choose-instance.js";
import type { PlanDecision, PlannedInstance, PlannedPool, PlannerInput } from "./plan-messages.js";
import { requireInstances, type PoolRequirement } from "./requirement.js";
import { findSpareReserve } from "./spare-reserve.js";

const millisecondsPerSecond = 1_000;
/** A pool that has spent more than this share of its availability budget holds one additional instance. */
const budgetAlarmShare = 0.5;

/**
 * Needs of a pool, computed once for the whole plan. The reserve for the loss of a rack depends on the placement and is added
 * by `countRequired`.
 */
interface PoolNeeds {
  readonly pool: PlannedPool;
  /** Requirement for the forecast demand; undefined while the demand is unknown. */
  readonly growth: PoolRequirement | undefined;
  /**
   * Requirement for the recent peak load and a margin, which the pool keeps when it gives up instances; undefined while the
   * demand is unknown.
   */
  readonly release: PoolRequirement | undefined;
}

/**
 * Plans the moves between pools.
 * @param input - pools with their demand, instances and limits
 * @returns a decision for each pool, then the moves to start now
 */
export function planMoves(input: PlannerInput): PlanDecision[] {
  const allocation = createAllocation(input);
  const needs = input.pools.filter(({ spare }) => !spare).map((pool) => computeNeeds(pool, input));
  const spare = input.pools.find((pool) => pool.spare);
  const moves = [
    ...fillPools(input, needs, spare, allocation),
    ...releaseInstances(input, needs, spare, allocation),
  ];
  const states = needs.map((need) => describePool(need, allocation));
  const reserve = spare === undefined ? [] : [describeSpare(spare, needs, allocation)];
  return [...states, ...reserve, ...moves];
}

function computeNeeds(pool: PlannedPool, { limits }: PlannerInput): PoolNeeds {
  const { demand } = pool;
  if (demand === undefined) return { pool, growth: undefined, release: undefined };
  const releaseLoad = Math.max(demand.load, demand.recentPeakLoad) * (1 + limits.releaseMarginShare);
  return {
    pool,
    growth: requireInstances(demand.load, demand, pool),
    release: requireInstances(releaseLoad, demand, pool),
  };
}

/**
 * Counts the instances that a pool has to hold: the requirement, a reserve for the loss of its fullest rack, and one more
 * when the availability budget is nearly spent. Without a requirement the pool keeps the instances that it holds.
 */
function countRequired(
  { pool }: PoolNeeds,
  requirement: PoolRequirement | undefined,
  held: readonly PlannedInstance[],
): number {
  if (requirement === undefined) return Math.max(pool.minimumInstances, held.length);
  const caution = pool.spentBudgetShare > budgetAlarmShare ? 1 : 0;
  return Math.max(
    pool.minimumInstances,
    requirement.workingInstances + Math.max(1, largestDomain(held, "rack")) + caution,
  );
}

function countMissing(need: PoolNeeds, allocation: Allocation): number {
  const held = allocation.held(need.pool.name);
  if (need.growth === undefined) return need.pool.minimumInstances - held.length;
  return countRequired(need, need.growth, held) - held.length;
}

/** Counts the instances that a pool may give up now. Instances on their way to it do not replace serving ones yet. */
function countSurplus(need: PoolNeeds, allocation: Allocation): number {
  const serving = allocation.movable(need.pool.name);
  return serving.length - countRequired(need, need.release, serving);
}

function fillPools(
  input: PlannerInput,
  needs: readonly PoolNeeds[],
  spare: PlannedPool | undefined,
  allocation: Allocation,
): PlanDecision[] {
  const moves: PlanDecision[] = [];
  while (allocation.movesLeft() > 0) {
    const largestShortage = findLargestShortage(needs, allocation);
    if (largestShortage === undefined) break;
    const instance = findDonorInstance(input, needs, spare, allocation, largestShortage.pool);
    if (instance === undefined) break;
    const missing = countMissing(largestShortage, allocation);
    allocation.move(instance, largestShortage.pool.name);
    const reason = `pool ${largestShortage.pool.name} lacks ${missing} instances for the forecast demand`;
    moves.push(createMove(instance, largestShortage.pool.name, reason));
  }
  return moves;
}

function findLargestShortage(needs: readonly PoolNeeds[], allocation: Allocation): PoolNeeds | undefined {
  const lacking = needs
    .map((need) => ({ need, missing: countMissing(need, allocation) }))
    .filter(({ missing }) => missing > 0);
  lacking.sort(
    (left, right) =>
      right.need.pool.objective - left.need.pool.objective ||
      right.missing - left.missing ||
      (left.need.pool.name < right.need.pool.name ? -1 : 1),
  );
  return lacking[0]?.need;
}

function findDonorInstance(
  input: PlannerInput,
  needs: readonly PoolNeeds[],
  spare: PlannedPool | undefined,
  allocation: Allocation,
  to: PlannedPool,
): PlannedInstance | undefined {
  const choose = (from: string, candidates: readonly PlannedInstance[]): PlannedInstance | undefined =>
    chooseInstance({
      candidates,
      source: allocation.held(from),
      destination: allocation.held(to.name),
      drainPlanned: input.drainPlanned,
      urgent: true,
    });
  if (spare !== undefined && allocation.movable(spare.name).length > spare.minimumInstances) {
    const fromSpare = choose(spare.name, allocation.movable(spare.name));
    if (fromSpare !== undefined) return fromSpare;
  }
  for (const need of sortBySurplus(needs, allocation)) {
    const { name } = need.pool;
    const donated = name === to.name ? undefined : choose(name, findReleasable(input, allocation, name));
    if (donated !== undefined) return donated;
  }
  return undefined;
}

function releaseInstances(
  input: PlannerInput,
  needs: readonly PoolNeeds[],
  spare: PlannedPool | undefined,
  allocation: Allocation,
): PlanDecision[] {
  if (spare === undefined) return [];
  const moves: PlanDecision[] = [];
  for (const { pool } of sortBySurplus(needs, allocation)) {
    if (allocation.movesLeft() === 0) break;
    const instance = chooseInstance({
      candidates: findReleasable(input, allocation, pool.name),
      source: allocation.held(pool.name),
      destination: allocation.held(spare.name),
      drainPlanned: input.drainPlanned,
      urgent: false,
    });
    if (instance === undefined) continue;
    allocation.move(instance, spare.name);
    moves.push(
      createMove(instance, spare.name, `pool ${pool.name} meets its objective without this instance`),
    );
  }
  return moves;
}

function sortBySurplus(needs: readonly PoolNeeds[], allocation: Allocation): PoolNeeds[] {
  return needs
    .filter((need) => countSurplus(need, allocation) > 0)
    .toSorted((left, right) => countSurplus(right, allocation) - countSurplus(left, allocation));
}

/** Finds the instances that have been in the pool for the minimum stay and may leave it. */
function findReleasable(input: PlannerInput, allocation: Allocation, pool: string): PlannedInstance[] {
  const latest = input.atMilliseconds - input.limits.minimumStaySeconds * millisecondsPerSecond;
  return allocation.movable(pool).filter(({ since }) => since <= latest);
}

function createMove(instance: PlannedInstance, to: string, reason: string): PlanDecision {
  return { action: "move", instanceId: instance.instanceId, from: instance.pool, to, reason };
}

function describePool(need: PoolNeeds, allocation: Allocation): PlanDecision {
  const held = allocation.held(need.pool.name);
  const required = countRequired(need, need.growth, held);
  const state = { pool: need.pool.name, held: held.length, required, requirement: need.growth };
  if (held.length < required) {
    return { action: "shortage", ...state, reason: "no instance of another pool is available now" };
  }
  if (need.growth === undefined) return { action: "hold", ...state, reason: "demand is not known yet" };
  const { steadyInstances, turnInstances } = need.growth;
  const reason = `${steadyInstances} for the usual load, ${turnInstances} for a load surge, the rest for the loss of a rack`;
  return { action: "hold", ...state, reason };
}

function describeSpare(
  spare: PlannedPool,
  needs: readonly PoolNeeds[],
  allocation: Allocation,
): PlanDecision {
  const loads = needs.map(({ pool, growth }) => ({
    held: allocation.held(pool.name),
    steadyInstances: growth?.steadyInstances ?? 0,
  }));
  const held = allocation.held(spare.name);
  const { zone, required, covered } = findSpareReserve(loads, held);
  return {
    action: covered ? "hold" : "shortage",
    pool: spare.name,
    held: held.length,
    required: Math.max(required, spare.minimumInstances),
    requirement: undefined,
    reason: `${required} outside zone ${zone} would carry the usual load after its loss`,
  };
}
