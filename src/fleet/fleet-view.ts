/**
 * Joins the list of machines with the load reports of the pools' owners.
 * @packageDocumentation
 */
import type { PoolReport, TargetLoad } from "../pool-owners/index.js";
import { add, scale, type RoomArrival } from "../scheduling/index.js";
import type { Machine } from "./machine-control.js";
import type { PlannedMachine, PlannedPool, PoolShortage, SpareMachine } from "./move-plan.js";
import type { WaveCandidate } from "./wave-plan.js";

const millisecondsPerSecond = 1_000;
const millicoresPerCore = 1_000;
/** Estimate of the duration of a move until the first move has been measured. */
const initialMoveMilliseconds = 2_000;
/** Weight of the newest move in the moving average of move durations. */
const newestMoveWeight = 0.2;
/** Time from when a pool lacks a machine until the order to move one to it. */
const reactionMilliseconds = 300;
/** Lower bound of an estimated arrival; a machine that is still on its way is never announced as already there. */
const shortestArrivalMilliseconds = 150;
/**
 * A machine that has been up for longer without a target known to the pool's owner is taken to be faulty and no longer
 * counts as arriving.
 */
const longestArrivalMilliseconds = 5_000;

/** The machines and their pools at one moment. */
export interface FleetView {
  readonly machines: ReadonlyMap<string, Machine>;
  /** Load reports by pool; pools whose owner did not answer are missing. */
  readonly reports: ReadonlyMap<string, PoolReport>;
  readonly standbyPools: ReadonlySet<string>;
}

/**
 * Describes machines of a wave that may be chosen for maintenance.
 * @param view - the machines and the load reports of their pools
 * @param machineIds - machines of the wave whose maintenance has not begun
 * @returns the machines that are up, whose pool's owner has reported and whose load is known
 */
export function describeCandidates(view: FleetView, machineIds: readonly string[]): WaveCandidate[] {
  return machineIds.flatMap((machineId): WaveCandidate[] => {
    const machine = view.machines.get(machineId);
    const report = machine === undefined ? undefined : view.reports.get(machine.pool);
    if (machine?.state !== "up" || report === undefined || !isLoadKnown(view, machine)) return [];
    const load = findLoad(report, machine);
    const backlogSeconds = report.backlogCoreSeconds / Math.max(1, report.cores);
    return [
      {
        machineId,
        targetId: load?.targetId,
        pool: machine.pool,
        runs: load?.runs ?? 0,
        lastingRuns: load?.lastingRuns ?? 0,
        isVacating: load?.isVacating ?? false,
        poolMachines: view.standbyPools.has(machine.pool) ? Infinity : countServing(report),
        poolBacklogMilliseconds: backlogSeconds * millisecondsPerSecond,
      },
    ];
  });
}

/**
 * Whether the load of a machine is known. A new owner of a pool does not know the load of a target before the target has
 * reported. Machines without a target and machines of a standby pool run nothing, so their load is always known.
 */
function isLoadKnown({ reports, standbyPools }: FleetView, machine: Machine): boolean {
  if (standbyPools.has(machine.pool) || machine.targetId === undefined) return true;
  const report = reports.get(machine.pool);
  return report !== undefined && findLoad(report, machine)?.isKnown === true;
}

function countServing({ targets }: PoolReport): number {
  return targets.filter(({ isKnown }) => isKnown).length;
}

function findLoad(report: PoolReport, machine: Machine): TargetLoad | undefined {
  return report.targets.find(({ targetId }) => targetId === machine.targetId);
}

/** The stay of a machine in its present pool. */
interface PoolStay {
  readonly pool: string;
  /** When the machine joined the pool, by the monotonic clock; negative infinity when that is unknown. */
  readonly at: number;
  /** Whether the pool's owner has known the load of the machine's target since the machine joined. */
  isServing: boolean;
}

/** Records when each machine joined its pool and became idle, and measures how long moves take. */
export class MachineHistory {
  readonly #stays = new Map<string, PoolStay>();
  readonly #idleSince = new Map<string, number>();
  #moveMilliseconds = initialMoveMilliseconds;
  #hasRecordedView = false;

  /**
   * Records the present state of the fleet.
   * @param view - the machines and the load reports of their pools now
   */
  record(view: FleetView): void {
    const now = performance.now();
    for (const machine of view.machines.values()) {
      const { machineId, pool } = machine;
      const report = view.reports.get(pool);
      this.#recordStay(machine, report, now);
      const runs = report === undefined ? 0 : (findLoad(report, machine)?.runs ?? 0);
      if (runs > 0) this.#idleSince.delete(machineId);
      else if (!this.#idleSince.has(machineId)) this.#idleSince.set(machineId, now);
    }
    this.#hasRecordedView = true;
  }

  /** Milliseconds that a machine has been in its pool; infinite for machines that were there at the first view. */
  restedMilliseconds(machineId: string): number {
    return performance.now() - (this.#stays.get(machineId)?.at ?? performance.now());
  }

  /**
   * Moving average of the milliseconds from when the machine list first shows a machine in its new pool until the pool's
   * owner knows the load of its target.
   */
  moveMilliseconds(): number {
    return this.#moveMilliseconds;
  }

  #recordStay(machine: Machine, report: PoolReport | undefined, now: number): void {
    const { machineId, pool, state } = machine;
    const stay = this.#stays.get(machineId);
    if (stay?.pool !== pool) {
      // A new holder cannot know when the machines of the first view joined, so it treats them as long present.
      const at = this.#hasRecordedView ? now : Number.NEGATIVE_INFINITY;
      this.#stays.set(machineId, { pool, at, isServing: state !== "moving" || !this.#hasRecordedView });
      return;
    }
    if (stay.isServing || report === undefined || findLoad(report, machine)?.isKnown !== true) return;
    stay.isServing = true;
    this.#moveMilliseconds += newestMoveWeight * (now - stay.at - this.#moveMilliseconds);
  }

  /** Milliseconds that a machine has been idle; 0 while it runs tasks. Counts at most from the first view. */
  idleMilliseconds(machineId: string): number {
    return performance.now() - (this.#idleSince.get(machineId) ?? performance.now());
  }
}

/**
 * Describes the pools for the planner of moves.
 * @param view - the machines and the load reports of their pools
 * @param history - when each machine joined its pool and became idle
 * @param excluded - machines that must not move, such as those of a maintenance wave
 * @returns the pools whose owners have reported, and the standby pools
 */
export function describePools(
  view: FleetView,
  history: MachineHistory,
  excluded: ReadonlySet<string>,
): PlannedPool[] {
  const pools = new Set([...view.reports.keys(), ...[...view.machines.values()].map(({ pool }) => pool)]);
  return [...pools].flatMap((pool): PlannedPool[] => {
    const isStandby = view.standbyPools.has(pool);
    const report = view.reports.get(pool);
    if (report === undefined && !isStandby) return [];
    const members = [...view.machines.values()].filter((machine) => machine.pool === pool);
    const known = new Set(report?.targets.map(({ targetId }) => targetId));
    // Machines on their way to the pool count as if they had arrived, so that no further ones are moved for the same demand.
    const coming = isStandby ? [] : members.filter((machine) => isArriving(machine, known, history));
    const comingCores = coming.reduce((sum, machine) => sum + coresOf(machine), 0);
    const movable = members.filter(
      (machine) => machine.state === "up" && !excluded.has(machine.machineId) && isLoadKnown(view, machine),
    );
    return [
      {
        pool,
        isStandby,
        cores: (report?.cores ?? 0) + comingCores,
        demandCores: report === undefined ? 0 : forecastDemand(report, history),
        waitingLastingTasks: report?.waitingLastingTasks ?? 0,
        wantedMachines: report?.wantedTargets ?? 0,
        comingMachines: coming.length,
        machines: movable.map((machine) => describeMachine(machine, report, history)),
      },
    ];
  });
}

/** The cores that a pool's work will demand when a machine arrives that is ordered now. */
function forecastDemand({ demandCores, demandGrowthPerSecond }: PoolReport, history: MachineHistory): number {
  const arrivalSeconds = (history.moveMilliseconds() + reactionMilliseconds) / millisecondsPerSecond;
  return demandCores + demandGrowthPerSecond * arrivalSeconds;
}

/** Whether a machine is on its way to its pool: it will serve soon, but the pool's owner does not know its target yet. */
function isArriving(
  { machineId, state, targetId }: Machine,
  known: ReadonlySet<string>,
  history: MachineHistory,
): boolean {
  if (state === "moving" || state === "maintenance") return true;
  const isNew = targetId !== undefined && !known.has(targetId);
  return state === "up" && isNew && history.restedMilliseconds(machineId) < longestArrivalMilliseconds;
}

/**
 * Computes the capacity that will arrive at each pool: machines on their way, and machines that other pools could give.
 * @param view - the machines and the load reports of their pools now
 * @param history - when each machine joined its pool, and how long moves take
 * @param spare - machines that each pool could give
 * @param shortages - pools that lack capacity; they share the spare machines, so that none is announced to two of them
 * @returns arriving capacity by pool, each with the milliseconds until it arrives
 */
export function describeArrivals(
  view: FleetView,
  history: MachineHistory,
  spare: readonly SpareMachine[],
  shortages: readonly Pick<PoolShortage, "pool" | "lackCores">[] = [],
): Map<string, RoomArrival[]> {
  const arrivals = new Map<string, RoomArrival[]>();
  const machines = [...view.machines.values()];
  for (const [pool, report] of view.reports) {
    if (view.standbyPools.has(pool)) continue;
    const known = new Set(report.targets.map(({ targetId }) => targetId));
    const coming = machines.filter((machine) => machine.pool === pool && isArriving(machine, known, history));
    const found = coming.map(({ machineId, capacity }): RoomArrival => {
      const left = history.moveMilliseconds() - history.restedMilliseconds(machineId);
      return { resources: capacity, atMilliseconds: Math.max(shortestArrivalMilliseconds, left) };
    });
    const others = spare.filter((each) => each.pool !== pool);
    const capacities = others.flatMap(({ machineId }) => view.machines.get(machineId)?.capacity ?? []);
    if (capacities.length > 0) {
      const all = capacities.reduce(add);
      const resources = scale(all, promisedShare(pool, all.cpuMillicores / millicoresPerCore, shortages));
      found.push({ resources, atMilliseconds: history.moveMilliseconds() + reactionMilliseconds });
    }
    arrivals.set(pool, found);
  }
  return arrivals;
}

/**
 * The share of the spare capacity that a pool may count on, from 0 to 1: its proportional part of what all pools lack, and
 * everything beyond that.
 */
function promisedShare(
  pool: string,
  spareCores: number,
  shortages: readonly Pick<PoolShortage, "pool" | "lackCores">[],
): number {
  const lack = shortages.reduce((sum, { lackCores }) => sum + lackCores, 0);
  if (lack <= 0 || spareCores <= 0) return 1;
  const own = shortages.find((shortage) => shortage.pool === pool)?.lackCores ?? 0;
  const left = Math.max(0, spareCores - lack);
  return Math.min(1, (own * Math.min(1, spareCores / lack) + left) / spareCores);
}

function coresOf({ capacity }: Machine): number {
  return capacity.cpuMillicores / millicoresPerCore;
}

function describeMachine(
  machine: Machine,
  report: PoolReport | undefined,
  history: MachineHistory,
): PlannedMachine {
  const load = report === undefined ? undefined : findLoad(report, machine);
  return {
    machineId: machine.machineId,
    targetId: load?.targetId,
    cores: coresOf(machine),
    runs: load?.runs ?? 0,
    lastingRuns: load?.lastingRuns ?? 0,
    isVacating: load?.isVacating ?? false,
    restedMilliseconds: history.restedMilliseconds(machine.machineId),
    idleMilliseconds: history.idleMilliseconds(machine.machineId),
  };
}
