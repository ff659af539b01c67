/**
 * A day under the real planner: instances move, drain and are lost with a rack; the planner sees only the past.
 * @packageDocumentation
 */
import {
  createDemandTracker,
  defaultPlannerLimits,
  planMoves,
  type DemandTracker,
  type PlannedInstance,
  type PlannedPool,
} from "../../capacity/index.js";
import type { Random } from "../../shared/index.js";
import { minimumInstances, slotsPerInstance, type Deployment, type PoolProfile } from "./deployments.js";
import { createPoolQueue, type PoolQueue } from "./pool-queue.js";

/** What a policy held and did in a day. */
export interface DayResult {
  /** Instance-seconds held by the service pools. */
  readonly heldSeconds: number;
  /** Instance-seconds that the spare pool had to hold for the loss of a zone. */
  readonly reserveSeconds: number;
  readonly busySeconds: number;
  readonly moves: number;
  readonly requests: number;
  readonly late: number;
  readonly missedWindows: number;
}

/** What a day is run with. */
export interface DayOptions {
  readonly deployment: Deployment;
  /** Arrivals by pool and second. */
  readonly arrivals: readonly (readonly number[])[];
  /** Whether the planner moves instances; without it the split stays fixed. */
  readonly planned: boolean;
  readonly random: Random;
  /** When a rack is lost. */
  readonly rackLostAtSeconds: number;
}

const planSeconds = 10;
const moveSeconds = 20;
const usageLagSeconds = 30;
const rackSize = 4;
const rackLossSeconds = 1_800;
const sampledRunsPerSecond = 3;
const warmUpSeconds = 300;
const millisecondsPerSecond = 1_000;

interface PoolDay {
  readonly profile: PoolProfile;
  readonly arrivals: readonly number[];
  readonly queue: PoolQueue;
  readonly tracker: DemandTracker;
  readonly busySlots: number[];
}

/**
 * Runs a day.
 * @param options - deployment, arrivals and policy
 * @returns what was held, moved and answered
 */
export function runDay(options: DayOptions): DayResult {
  const { deployment, random } = options;
  const pools = deployment.pools.map((profile, index) =>
    createPoolDay(profile, options.arrivals[index] ?? []),
  );
  const seconds = options.arrivals[0]?.length ?? 0;
  let instances = placeFixedSplit(deployment);
  const totals = { heldSeconds: 0, reserveSeconds: 0, busySeconds: 0, moves: 0 };
  let reserve = 0;
  for (let second = 0; second < seconds; second += 1) {
    instances = finishMoves(instances, second);
    const lostRack = isRackLost(options, second) ? "zone-1-rack-0" : undefined;
    const alive = instances.filter(({ rack }) => rack !== lostRack);
    for (const pool of pools) totals.busySeconds += stepPool(pool, alive, second, random) / slotsPerInstance;
    totals.heldSeconds += instances.filter((instance) => holderOf(instance) !== "spare").length;
    totals.reserveSeconds += options.planned ? reserve : deployment.spareInstances;
    if (!options.planned || second < warmUpSeconds || second % planSeconds !== 0) continue;
    const decisions = planMoves({
      atMilliseconds: second * millisecondsPerSecond,
      pools: describePools(pools),
      instances: alive,
      drainPlanned: new Set(),
      limits: defaultPlannerLimits,
    });
    const moves = decisions.filter((decision) => decision.action === "move");
    instances = startMoves(instances, new Map(moves.map(({ instanceId, to }) => [instanceId, to])), second);
    totals.moves += moves.length;
    reserve = decisions.reduce(
      (sum, each) => (each.action !== "move" && each.pool === "spare" ? each.required : sum),
      0,
    );
  }
  return { ...totals, ...countAnswers(pools) };
}

function isRackLost({ rackLostAtSeconds }: DayOptions, second: number): boolean {
  return second >= rackLostAtSeconds && second < rackLostAtSeconds + rackLossSeconds;
}

function createPoolDay(profile: PoolProfile, arrivals: readonly number[]): PoolDay {
  const tracker = createDemandTracker(profile.declaredRunSeconds);
  return { profile, arrivals, queue: createPoolQueue(profile), tracker, busySlots: [] };
}

function stepPool(pool: PoolDay, alive: readonly PlannedInstance[], second: number, random: Random): number {
  const { profile, queue, tracker, busySlots } = pool;
  const arrivals = pool.arrivals[second] ?? 0;
  const serving = alive.filter((each) => each.pool === profile.name && each.state === "serving").length;
  const busy = queue.step(arrivals, serving);
  busySlots.push(busy);
  const reported = busySlots[second - usageLagSeconds];
  tracker.observe({
    atSeconds: second,
    arrivals,
    queued: queue.waiting(),
    ...(reported === undefined ? {} : { reportedBusySlots: reported }),
  });
  for (let run = 0; run < sampledRunsPerSecond; run += 1)
    tracker.recordRun(random.exponential(profile.runSeconds));
  return busy;
}

function describePools(pools: readonly PoolDay[]): PlannedPool[] {
  const services = pools.map(({ profile, tracker }) => ({
    name: profile.name,
    spare: false,
    minimumInstances,
    slotsPerInstance,
    objective: profile.objective,
    deadlineSeconds: profile.deadlineSeconds,
    demand: tracker.estimate(),
    spentBudgetShare: 0,
  }));
  const spare = { name: "spare", spare: true, minimumInstances: 0, slotsPerInstance, objective: 0.5 };
  return [...services, { ...spare, deadlineSeconds: 1, demand: undefined, spentBudgetShare: 0 }];
}

function placeFixedSplit(deployment: Deployment): PlannedInstance[] {
  const split = [
    ...deployment.pools.flatMap(({ name, fixedInstances }) => new Array<string>(fixedInstances).fill(name)),
    ...new Array<string>(deployment.spareInstances).fill("spare"),
  ];
  return split.map((pool, index) => {
    const zone = `zone-${(index % deployment.zones) + 1}`;
    const inZone = Math.floor(index / deployment.zones);
    // Neighbours in a rack come from different pools, so that a rack takes little of each.
    const racks = Math.ceil(split.length / deployment.zones / rackSize);
    const rack = `${zone}-rack-${inZone % racks}`;
    return { instanceId: `target-${index + 1}`, zone, rack, pool, state: "serving" as const, since: 0 };
  });
}

function holderOf({ pool, moveTo }: PlannedInstance): string {
  return moveTo ?? pool;
}

function startMoves(
  instances: readonly PlannedInstance[],
  moves: ReadonlyMap<string, string>,
  second: number,
): PlannedInstance[] {
  return instances.map((instance) => {
    const moveTo = moves.get(instance.instanceId);
    if (moveTo === undefined) return instance;
    return { ...instance, state: "leaving", moveTo, since: second * millisecondsPerSecond };
  });
}

function finishMoves(instances: readonly PlannedInstance[], second: number): PlannedInstance[] {
  const now = second * millisecondsPerSecond;
  return instances.map((instance) => {
    const { moveTo, ...rest } = instance;
    if (moveTo === undefined || now - instance.since < moveSeconds * millisecondsPerSecond) return instance;
    return { ...rest, pool: moveTo, state: "serving", since: now };
  });
}

function countAnswers(pools: readonly PoolDay[]): Pick<DayResult, "requests" | "late" | "missedWindows"> {
  const counts = pools.map(({ queue }) => queue.counts());
  return {
    requests: counts.reduce((sum, each) => sum + each.requests, 0),
    late: counts.reduce((sum, each) => sum + each.late, 0),
    missedWindows: counts.reduce((sum, each) => sum + each.missedWindows, 0),
  };
}
