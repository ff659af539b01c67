/**
 * Joins the list of machines with what the owners tell of their pools.
 * @packageDocumentation
 */
import type { PoolReport, TargetLoad } from "../pool-owners/index.js";
import { add, scale, type RoomArrival } from "../scheduling/index.js";
import type { Machine } from "./machine-control.js";
import type { PlannedMachine, PlannedPool, PoolShortage, SpareMachine } from "./move-plan.js";
import type { WaveCandidate } from "./wave-plan.js";

const millisecondsPerSecond = 1_000;
const millicoresPerCore = 1_000;
/** What a move takes until the first one was seen. */
const initialMoveMilliseconds = 2_000;
/** Weight of the newest move. */
const newestMoveWeight = 0.2;
/** From the need of a machine until the order to move it. */
const reactionMilliseconds = 300;
const shortestArrivalMilliseconds = 150;
/** A machine that is up but unknown to its owner for longer has a fault. */
const longestArrivalMilliseconds = 5_000;

/** The machines and their pools at one moment. */
export interface FleetView {
  readonly machines: ReadonlyMap<string, Machine>;
  /** What the owners told, by pool; a pool without an owner is missing. */
  readonly reports: ReadonlyMap<string, PoolReport>;
  readonly standbyPools: ReadonlySet<string>;
}

/**
 * Describes the machines of a wave.
 * @param view - the fleet
 * @param machineIds - machines whose maintenance has not begun
 * @returns those that are up and whose pools are known
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
 * Tells whether somebody knows what runs on a machine. An owner that has just taken its pool does not before its targets
 * have reported; nothing runs on a machine without a target, or in a standby pool.
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

/** When a machine came to its pool. */
interface PoolStay {
  readonly pool: string;
  readonly at: number;
  /** Whether its owner knows its target. */
  isServing: boolean;
}

/** Remembers since when machines are where they are, and idle, and how long moves take. */
export class MachineHistory {
  readonly #stays = new Map<string, PoolStay>();
  readonly #idleSince = new Map<string, number>();
  #moveMilliseconds = initialMoveMilliseconds;
  #hasRecordedView = false;

  /**
   * Takes a look at the fleet.
   * @param view - the fleet now
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

  /** How long a machine has been in its pool. */
  restedMilliseconds(machineId: string): number {
    return performance.now() - (this.#stays.get(machineId)?.at ?? performance.now());
  }

  /** How long a move takes, from its order until the owner knows the target. */
  moveMilliseconds(): number {
    return this.#moveMilliseconds;
  }

  #recordStay(machine: Machine, report: PoolReport | undefined, now: number): void {
    const { machineId, pool, state } = machine;
    const stay = this.#stays.get(machineId);
    if (stay?.pool !== pool) {
      // What was there before the first look has been there for long, as far as a new holder can know.
      const at = this.#hasRecordedView ? now : Number.NEGATIVE_INFINITY;
      this.#stays.set(machineId, { pool, at, isServing: state !== "moving" || !this.#hasRecordedView });
      return;
    }
    if (stay.isServing || report === undefined || findLoad(report, machine)?.isKnown !== true) return;
    stay.isServing = true;
    this.#moveMilliseconds += newestMoveWeight * (now - stay.at - this.#moveMilliseconds);
  }

  /** How long nothing has run on a machine. */
  idleMilliseconds(machineId: string): number {
    return performance.now() - (this.#idleSince.get(machineId) ?? performance.now());
  }
}

/**
 * Describes the pools for the planner of moves.
 * @param view - the fleet
 * @param history - since when machines are idle
 * @param excluded - machines that other work has chosen
 * @returns the pools whose owners have answered, and the standby pools
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
    // Machines on their way to the pool count as if they were there.
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
        demandCores: report?.demandCores ?? 0,
        waitingLastingTasks: report?.waitingLastingTasks ?? 0,
        wantedMachines: report?.wantedTargets ?? 0,
        comingMachines: coming.length,
        machines: movable.map((machine) => describeMachine(machine, report, history)),
      },
    ];
  });
}

/** Whether a machine will soon serve its pool's owner, which does not know its target yet. */
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
 * Computes what room comes to each pool: machines on their way, and those that others could give.
 * @param view - the fleet now
 * @param history - since when machines are where they are
 * @param spare - machines that each pool could give
 * @param shortages - pools that lack room; what others could give is promised once, not to each of them
 * @returns room by pool, with when it comes
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

/** The share of what others could give that a pool may count on: its part of what all lack, and what nobody lacks. */
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
