/**
 * Decides which machines change their pool. Answers demand that comes in turns: each pool in its turn is asked for several
 * times its mean while the others rest. Idle machines go to the pool that lacks room, and rest in the standby pool when
 * nobody lacks any; a machine with long-running tasks stays.
 * @packageDocumentation
 */

/** A machine as the plan sees it. */
export interface PlannedMachine {
  readonly machineId: string;
  /** The target that it runs; undefined for one that is off. */
  readonly targetId: string | undefined;
  readonly cores: number;
  readonly runs: number;
  readonly lastingRuns: number;
  readonly isVacating: boolean;
  /** How long it has been in its pool as far as known, in milliseconds. */
  readonly restedMilliseconds: number;
  /** How long nothing has run on it, in milliseconds. */
  readonly idleMilliseconds: number;
}

/** A pool as the plan sees it. */
export interface PlannedPool {
  readonly pool: string;
  readonly isStandby: boolean;
  /** Cores for short tasks, machines on their way to the pool among them. */
  readonly cores: number;
  /** Cores that the pool's work asks for now. */
  readonly demandCores: number;
  /** Long-running tasks that find no place. */
  readonly waitingLastingTasks: number;
  /** Further machines that those of them need which fit on none of the pool's. */
  readonly wantedMachines: number;
  /** Machines on their way to the pool. */
  readonly comingMachines: number;
  readonly machines: readonly PlannedMachine[];
}

/**
 * Why a machine changes its pool: the taker is asked for more than it has, or has long-running tasks without a place, for which a
 * pool may have to give a machine that it needs, or nothing runs on it and it rests in the standby pool.
 */
export type MoveCause = "demand" | "lasting-tasks" | "lasting-tasks-anyway" | "standby";

/** A change of pool. */
export interface PlannedMove {
  readonly machineId: string;
  readonly targetId: string | undefined;
  readonly from: string;
  readonly to: string;
  readonly cause: MoveCause;
  /** The pools and the machine as they were when the move was planned. */
  readonly seen: MoveCircumstances;
}

/** What a move was decided on. */
export interface MoveCircumstances {
  readonly fromDemandCores: number;
  readonly fromCores: number;
  readonly toDemandCores: number;
  readonly toCores: number;
  readonly restedMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** What is done next. */
export interface MovePlan {
  /** Machines that nothing runs on: they move now. */
  readonly moves: readonly PlannedMove[];
  /** Machines that are emptied for a move. */
  readonly vacate: readonly PlannedMove[];
  /** Pools that lack room, with the cores that they lack. */
  readonly shortages: readonly PoolShortage[];
  /** Machines that nothing runs on and that would move if a pool lacked room. */
  readonly spare: readonly SpareMachine[];
}

/** A pool that lacks room. */
export interface PoolShortage {
  readonly pool: string;
  readonly cause: MoveCause;
  readonly demandCores: number;
  readonly cores: number;
  readonly lackCores: number;
  readonly waitingLastingTasks: number;
  /** Machines that others give for it. */
  readonly machines: number;
}

/** A pool lacks room when it is asked for more than this share of its cores. */
const shortageShare = 1;
/** A pool gives machines while it keeps this many times what it is asked for. */
const keptCapacityFactor = 1.3;
/** A machine that has just come stays for a while. */
const shortestStayMilliseconds = 2_500;
/** A move costs about as much as a machine that idles for a second. */
const parkAfterIdleMilliseconds = 1_200;
const minimumMachines = 2;

/** A machine that a pool could give. */
export interface SpareMachine {
  readonly machineId: string;
  readonly pool: string;
}

interface Supply {
  readonly pool: PlannedPool;
  readonly machine: PlannedMachine;
}

/**
 * Plans moves.
 * @param pools - all pools
 * @returns what is done next
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

/** Long-running tasks have users all the time; a pool that cannot run them goes before a turn of any height. */
function compareShortages(left: PlannedPool, right: PlannedPool): number {
  return Number(needsMachine(right)) - Number(needsMachine(left));
}

/** Cores that a pool lacks; long-running tasks without a place ask for machines, whatever the cores. */
function findLack(pool: PlannedPool): number {
  const lack = pool.demandCores - pool.cores * shortageShare;
  return needsMachine(pool) ? Math.max(lack, 1) : lack;
}

/** Whether long-running tasks of a pool have no place, and too few machines are on their way that may give them one. */
function needsMachine(pool: PlannedPool): boolean {
  return countLackingMachines(pool) > 0;
}

/** Machines that long-running tasks without a place need beyond those on their way, one at least for all that wait. */
function countLackingMachines({ waitingLastingTasks, wantedMachines, comingMachines }: PlannedPool): number {
  if (waitingLastingTasks === 0) return 0;
  return Math.max(0, Math.max(1, wantedMachines) - comingMachines);
}

/** Machines that a pool can spare. */
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

/** Takes a machine that would be parked anyway, then one that is off, then the idlest. */
function takeSupply(supplies: Supply[], receiver: PlannedPool): Supply | undefined {
  let best: number | undefined;
  supplies.forEach(({ pool, machine }, index) => {
    if (pool.pool === receiver.pool) return;
    const current = best === undefined ? undefined : supplies[best];
    if (current === undefined || rank(pool, machine) < rank(current.pool, current.machine)) best = index;
  });
  return best === undefined ? undefined : supplies.splice(best, 1)[0];
}

/** Takes the idlest machine of another pool, though that pool needs it, for long-running tasks that would not run at all. */
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
  // One move in place of two: to the standby pool and from it.
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
