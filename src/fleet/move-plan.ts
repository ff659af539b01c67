/**
 * Decides which machines move to another pool. Handles load surges that reach one pool after another: the demand of one pool
 * is several times its mean while the other pools are idle. Idle machines move to a pool that lacks capacity, or to the
 * standby pool when no pool does. A machine with long-running tasks never moves.
 * @packageDocumentation
 */

/** A machine that may move, as input of the plan. */
export interface PlannedMachine {
  readonly machineId: string;
  /** The target that runs on the machine; undefined for a machine that is switched off. */
  readonly targetId: string | undefined;
  readonly cores: number;
  readonly runs: number;
  readonly lastingRuns: number;
  readonly isVacating: boolean;
  /** How long the machine has been in its pool, in milliseconds; infinite when it joined at an unknown time. */
  readonly restedMilliseconds: number;
  /** How long no task has run on the machine, in milliseconds. */
  readonly idleMilliseconds: number;
}

/** A pool, as input of the plan. */
export interface PlannedPool {
  readonly pool: string;
  readonly isStandby: boolean;
  /** Cores for short tasks, including those of machines on their way to the pool. */
  readonly cores: number;
  /** Cores that the pool's work will demand when a machine arrives that is ordered now. */
  readonly demandCores: number;
  /** Number of long-running tasks that fit on no target of the pool. */
  readonly waitingLastingTasks: number;
  /** Number of additional machines that these long-running tasks need. */
  readonly wantedMachines: number;
  /** Number of machines on their way to the pool. */
  readonly comingMachines: number;
  readonly machines: readonly PlannedMachine[];
}

/**
 * Why a machine moves to another pool:
 * - `demand`: the receiving pool's demand exceeds its cores.
 * - `lasting-tasks`: the receiving pool has long-running tasks without a place.
 * - `lasting-tasks-anyway`: the same, and the giving pool needs the machine itself, because no pool has one to spare.
 * - `standby`: the machine is idle and is parked in the standby pool.
 */
export type MoveCause = "demand" | "lasting-tasks" | "lasting-tasks-anyway" | "standby";

/** A planned move of a machine to another pool. */
export interface PlannedMove {
  readonly machineId: string;
  readonly targetId: string | undefined;
  readonly from: string;
  readonly to: string;
  readonly cause: MoveCause;
  /** The pools and the machine as they were when the move was planned. */
  readonly seen: MoveCircumstances;
}

/** The state of both pools and of the machine on which a move was decided. */
export interface MoveCircumstances {
  readonly fromDemandCores: number;
  readonly fromCores: number;
  readonly toDemandCores: number;
  readonly toCores: number;
  readonly restedMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** The result of planning. */
export interface MovePlan {
  /** Moves of machines on which no task runs, to be ordered now. */
  readonly moves: readonly PlannedMove[];
  /** Moves whose machines have to be emptied first. */
  readonly vacate: readonly PlannedMove[];
  /** Pools that lack capacity, the most urgent first. */
  readonly shortages: readonly PoolShortage[];
  /** Idle machines that are left over after all shortages; they would move if a pool lacked capacity. */
  readonly spare: readonly SpareMachine[];
}

/** A pool that lacks capacity. */
export interface PoolShortage {
  readonly pool: string;
  readonly cause: MoveCause;
  readonly demandCores: number;
  readonly cores: number;
  readonly lackCores: number;
  readonly waitingLastingTasks: number;
  /** Number of machines that the plan moves to the pool. */
  readonly machines: number;
}

/** A pool lacks capacity when its demand exceeds this share of its cores. */
const shortageShare = 1;
/** A pool gives a machine only if its remaining cores are at least its demand times this factor. */
const keptCapacityFactor = 1.3;
/** A machine stays in a pool for at least this time, so that it does not move back and forth. */
const shortestStayMilliseconds = 2_500;
/**
 * A machine is parked after this idle time. A move costs about as much as a second of an idle machine, so parking earlier
 * would cost more than it saves.
 */
const parkAfterIdleMilliseconds = 1_200;
/** A pool keeps at least this many machines. */
const minimumMachines = 2;

/** An idle machine that a pool could give. */
export interface SpareMachine {
  readonly machineId: string;
  readonly pool: string;
}

interface Supply {
  readonly pool: PlannedPool;
  readonly machine: PlannedMachine;
}

/**
 * Plans the moves between pools. Changes nothing but its result.
 * @param pools - all pools, including the standby pool
 * @returns the moves, the shortages and the spare machines
 */
export function planMoves(pools: readonly PlannedPool[]): MovePlan {
  const moves: PlannedMove[] = [];
  const vacate: PlannedMove[] = [];
  const supplies = pools.flatMap(findSupplies);
  const shortages = pools
    .filter(({ isStandby }) => !isStandby)
    .map((pool) => ({ pool, lack: findLack(pool) }))
    .filter(({ lack }) => lack > 0)
    .sort((left, right) => compareShortages(left.pool, right.pool) || right.lack - left.lack);
  const described: PoolShortage[] = [];
  for (const { pool, lack } of shortages) {
    const lackMachines = countLackingMachines(pool);
    let missing = lack;
    let count = 0;
    while (missing > 0 || count < lackMachines) {
      const spared = takeSupply(supplies, pool);
      const supply =
        spared ?? (count === 0 ? takeNeededMachine(pools, pool, [...moves, ...vacate]) : undefined);
      if (supply === undefined) break;
      const cause = spared === undefined ? "lasting-tasks-anyway" : findCause(pool);
      (isEmpty(supply) ? moves : vacate).push(describe(supply, pool, cause));
      missing -= supply.machine.cores;
      count += 1;
    }
    described.push(describeShortage(pool, lack, count));
  }
  const spare = supplies
    .filter(({ machine }) => machine.runs === 0)
    .map(({ pool, machine }) => ({ pool: pool.pool, machineId: machine.machineId }));
  const standby = pools.find(({ isStandby }) => isStandby);
  if (standby !== undefined) {
    for (const supply of supplies) {
      if (supply.pool.isStandby || supply.machine.idleMilliseconds < parkAfterIdleMilliseconds) continue;
      (isEmpty(supply) ? moves : vacate).push(describe(supply, standby, "standby"));
    }
  }
  return { moves, vacate, shortages: described, spare };
}

function describeShortage(pool: PlannedPool, lackCores: number, machines: number): PoolShortage {
  const { demandCores, cores, waitingLastingTasks } = pool;
  const cause = findCause(pool);
  return { pool: pool.pool, cause, demandCores, cores, lackCores, waitingLastingTasks, machines };
}

function findCause(pool: PlannedPool): MoveCause {
  return needsMachine(pool) ? "lasting-tasks" : "demand";
}

/**
 * Orders pools by urgency. Long-running tasks have users all the time, so a pool that cannot run them comes before a load
 * surge of any size.
 */
function compareShortages(left: PlannedPool, right: PlannedPool): number {
  return Number(needsMachine(right)) - Number(needsMachine(left));
}

/** Counts the cores that a pool lacks; at least 1 if its long-running tasks need a machine, however many cores are free. */
function findLack(pool: PlannedPool): number {
  const lack = pool.demandCores - pool.cores * shortageShare;
  return needsMachine(pool) ? Math.max(lack, 1) : lack;
}

/** Whether long-running tasks of a pool have no place and too few machines are on their way for them. */
function needsMachine(pool: PlannedPool): boolean {
  return countLackingMachines(pool) > 0;
}

/**
 * Counts the machines that the waiting long-running tasks of a pool need beyond those on their way. Waiting tasks need at
 * least one machine in all, also when the owner counts none.
 */
function countLackingMachines({ waitingLastingTasks, wantedMachines, comingMachines }: PlannedPool): number {
  if (waitingLastingTasks === 0) return 0;
  return Math.max(0, Math.max(1, wantedMachines) - comingMachines);
}

/** Finds the machines that a pool can give without falling below its demand, those with the fewest tasks first. */
function findSupplies(pool: PlannedPool): Supply[] {
  const free = pool.machines.filter(({ lastingRuns, restedMilliseconds }) =>
    pool.isStandby ? true : lastingRuns === 0 && restedMilliseconds >= shortestStayMilliseconds,
  );
  if (pool.isStandby) return free.map((machine) => ({ pool, machine }));
  if (pool.waitingLastingTasks > 0) return [];
  const idleFirst = [...free].sort((left, right) => left.runs - right.runs);
  let cores = pool.cores;
  let left = pool.machines.length;
  const supplies: Supply[] = [];
  for (const machine of idleFirst) {
    cores -= machine.cores;
    left -= 1;
    if (cores < pool.demandCores * keptCapacityFactor || left < minimumMachines) break;
    supplies.push({ pool, machine });
  }
  return supplies;
}

/**
 * Takes the best supply of another pool out of the list: first a machine that would be parked otherwise, then one that is
 * switched off, then the one with the fewest tasks.
 */
function takeSupply(supplies: Supply[], receiver: PlannedPool): Supply | undefined {
  let best: number | undefined;
  supplies.forEach(({ pool, machine }, index) => {
    if (pool.pool === receiver.pool) return;
    const current = best === undefined ? undefined : supplies[best];
    if (current === undefined || rank(pool, machine) < rank(current.pool, current.machine)) best = index;
  });
  return best === undefined ? undefined : supplies.splice(best, 1)[0];
}

/**
 * Takes the machine with the fewest tasks from another pool, although that pool needs it, because the receiver's long-running
 * tasks would not run at all otherwise.
 */
function takeNeededMachine(
  pools: readonly PlannedPool[],
  taker: PlannedPool,
  planned: readonly PlannedMove[],
): Supply | undefined {
  if (!needsMachine(taker)) return undefined;
  const supplies = pools
    .filter((pool) => pool.pool !== taker.pool && pool.machines.length > minimumMachines)
    .flatMap((pool) => pool.machines.map((machine) => ({ pool, machine })))
    .filter(({ machine }) => machine.lastingRuns === 0)
    .filter(({ machine }) => planned.every(({ machineId }) => machineId !== machine.machineId));
  return supplies.sort((left, right) => left.machine.runs - right.machine.runs)[0];
}

function rank({ isStandby }: PlannedPool, { runs, idleMilliseconds }: PlannedMachine): number {
  if (isStandby) return -1;
  const isUnused = runs === 0 && idleMilliseconds >= parkAfterIdleMilliseconds;
  // Moving an idle machine directly saves a move to the standby pool and another one out of it.
  return isUnused ? -2 : runs;
}

function isEmpty({ pool, machine }: Supply): boolean {
  return pool.isStandby || machine.targetId === undefined || (machine.runs === 0 && machine.isVacating);
}

function describe({ pool, machine }: Supply, to: PlannedPool, cause: MoveCause): PlannedMove {
  const { machineId, targetId, restedMilliseconds, idleMilliseconds } = machine;
  const seen: MoveCircumstances = {
    fromDemandCores: pool.demandCores,
    fromCores: pool.cores,
    toDemandCores: to.demandCores,
    toCores: to.cores,
    restedMilliseconds,
    idleMilliseconds,
  };
  return { machineId, targetId, from: pool.pool, to: to.pool, cause, seen };
}
