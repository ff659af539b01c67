/**
 * Joins the list of machines with what the homes tell of their pools.
 * @packageDocumentation
 */
import type { PoolReport, TargetLoad } from "../job-homes/index.js";
import type { Machine } from "./machine-control.js";
import type { PlannedMachine, PlannedPool } from "./move-plan.js";
import type { WaveCandidate } from "./wave-plan.js";

const millisecondsPerSecond = 1_000;
const millicoresPerCore = 1_000;

/** The machines and their pools at one moment. */
export interface FleetView {
  readonly machines: ReadonlyMap<string, Machine>;
  /** What the homes told, by pool; a pool without a home is missing. */
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
        poolBacklogMilliseconds: backlogSeconds * millisecondsPerSecond,
      },
    ];
  });
}

/**
 * Tells whether somebody knows what runs on a machine. A home that has just taken its pool does not before its targets
 * have reported; nothing runs on a machine without a target, or in a standby pool.
 */
function isLoadKnown({ reports, standbyPools }: FleetView, machine: Machine): boolean {
  if (standbyPools.has(machine.pool) || machine.targetId === undefined) return true;
  const report = reports.get(machine.pool);
  return report !== undefined && findLoad(report, machine)?.isKnown === true;
}

function findLoad(report: PoolReport, machine: Machine): TargetLoad | undefined {
  return report.targets.find(({ targetId }) => targetId === machine.targetId);
}

/** Remembers since when machines are where they are, and idle. */
export class MachineHistory {
  readonly #joinedAt = new Map<string, { readonly pool: string; readonly at: number }>();
  readonly #idleSince = new Map<string, number>();

  /**
   * Takes a look at the fleet.
   * @param view - the fleet now
   */
  note(view: FleetView): void {
    const now = performance.now();
    for (const machine of view.machines.values()) {
      const { machineId, pool } = machine;
      if (this.#joinedAt.get(machineId)?.pool !== pool) this.#joinedAt.set(machineId, { pool, at: now });
      const report = view.reports.get(pool);
      const runs = report === undefined ? 0 : (findLoad(report, machine)?.runs ?? 0);
      if (runs > 0) this.#idleSince.delete(machineId);
      else if (!this.#idleSince.has(machineId)) this.#idleSince.set(machineId, now);
    }
  }

  /** How long a machine has been in its pool. */
  restedMilliseconds(machineId: string): number {
    return performance.now() - (this.#joinedAt.get(machineId)?.at ?? performance.now());
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
 * @returns the pools whose homes have answered, and the standby pools
 */
export function describePools(
  view: FleetView,
  history: MachineHistory,
  excluded: ReadonlySet<string>,
): PlannedPool[] {
  const pools = new Set([...view.machines.values()].map(({ pool }) => pool));
  return [...pools].flatMap((pool): PlannedPool[] => {
    const isStandby = view.standbyPools.has(pool);
    const report = view.reports.get(pool);
    if (report === undefined && !isStandby) return [];
    const members = [...view.machines.values()].filter((machine) => machine.pool === pool);
    const known = new Set(report?.targets.map(({ targetId }) => targetId));
    // Machines on their way to the pool count as if they were there.
    const coming = members.filter(({ targetId, state }) => state === "moving" || !known.has(targetId ?? ""));
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
        machines: movable.map((machine) => describeMachine(machine, report, history)),
      },
    ];
  });
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
