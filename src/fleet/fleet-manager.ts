/**
 * Sends orders for machines: maintenance in waves, and moves between pools. Only the entry that holds the fleet leader role
 * sends them.
 * @packageDocumentation
 */
import type { SessionLeaderRole, PoolReport } from "../pool-owners/index.js";
import type { RoomArrival } from "../scheduling/index.js";
import { delay, Pause } from "../shared/index.js";
import type { LogFields } from "../telemetry/index.js";
import { describeArrivals, describePools, MachineHistory, type FleetView } from "./fleet-view.js";
import { countOrder } from "./machine-control.js";
import { planMoves, type MoveCircumstances, type PlannedMove, type PoolShortage } from "./move-plan.js";
import { createOrderBudget, type OrderBudget } from "./order-budget.js";
import { OrderRecord } from "./order-record.js";
import { WaveManager, type PlannedMaintenance, type WaveManagerOptions } from "./wave-manager.js";
import type { WaveCandidate } from "./wave-plan.js";

/** A pool of the operators' configuration. */
export interface FleetPool {
  readonly pool: string;
  /** Whether the machines of the pool are switched off until they move to another pool. */
  readonly isStandby: boolean;
}

/** Settings of a manager. */
export interface FleetManagerOptions extends WaveManagerOptions {
  readonly leaderRole: SessionLeaderRole;
  readonly pools: () => readonly FleetPool[];
  /**
   * Tells the owner of a pool which targets to empty and which capacity will arrive, and reads the load of the pool;
   * undefined when the owner does not answer.
   */
  readonly vacate: (
    pool: string,
    targetIds: readonly string[],
    arrivals: readonly RoomArrival[],
  ) => Promise<PoolReport | undefined>;
  /**
   * How long orders of an earlier holder may still take effect. A new holder sends no orders for the machines of those
   * orders during this time.
   */
  readonly orderLeaseMilliseconds: number;
  /** Orders for machines that the platform accepts in a second from all entries together. */
  readonly ordersPerSecond: number;
}

const stepMilliseconds = 250;
/** Pause between attempts to take the leader role while another entry holds it; `checkLeaderRole` ends the pause early. */
const otherHolderPauseMilliseconds = 1_000;
/** Shortest pause between two steps, for steps that take longer than the interval. */
const shortestPauseMilliseconds = 50;
/** Added to the order lease, because orders of an earlier holder may arrive shortly after its lease has ended. */
const orderDelayMilliseconds = 500;

/** Sends the orders for machines while this entry holds the leader role. */
export class FleetManager {
  readonly #options: FleetManagerOptions;
  readonly #stop = new AbortController();
  readonly #pause = new Pause();
  readonly #waves: WaveManager;
  readonly #budget: OrderBudget;
  #history = new MachineHistory();
  /** Identifiers of the targets that are being emptied, by pool. */
  #vacating: ReadonlyMap<string, readonly string[]> = new Map();
  /** Fencing token of the leadership term that the state of this manager belongs to. */
  #fencingToken = 0;
  /** Recent orders for machines, read from the store at the start of each leadership term; undefined until read. */
  #orders: OrderRecord | undefined;
  /** Capacity that is arriving at each pool, or that other pools could give to it. */
  #arrivals: ReadonlyMap<string, readonly RoomArrival[]> = new Map();

  /**
   * Creates a manager that does nothing until `run` is called.
   * @param options - the leader role, the machines and the access to the owners of their pools
   */
  constructor(options: FleetManagerOptions) {
    this.#options = options;
    this.#waves = new WaveManager(options);
    this.#budget = createOrderBudget(options.ordersPerSecond);
  }

  /** Competes for the leader role and plans and sends orders while holding it, until the manager is closed. */
  async run(): Promise<void> {
    const { leaderRole } = this.#options;
    while (!this.#stop.signal.aborted) {
      await leaderRole.compete();
      // Another entry may have held the leader role since this entry held it last, so the state may be outdated.
      if (!leaderRole.isHeld() || leaderRole.fencingToken() !== this.#fencingToken) this.#resetState();
      const nextAt = performance.now() + stepMilliseconds;
      if (leaderRole.isHeld()) await this.#step();
      if (leaderRole.isHeldElsewhere()) await this.#pause.wait(otherHolderPauseMilliseconds);
      else await delay(Math.max(shortestPauseMilliseconds, nextAt - performance.now()), this.#stop.signal);
    }
  }

  /** Ends the pause of `run`, so that it checks at once which entry holds the leader role. */
  checkLeaderRole(): void {
    this.#pause.end();
  }

  /** Stops `run`; a step in progress still ends. */
  close(): void {
    this.#stop.abort();
    this.#pause.end();
  }

  #resetState(): void {
    this.#fencingToken = this.#options.leaderRole.fencingToken();
    this.#waves.reset();
    this.#vacating = new Map();
    this.#orders = undefined;
    this.#arrivals = new Map();
    this.#history = new MachineHistory();
  }

  async #step(): Promise<void> {
    await this.#waves.openWaves();
    const orders = (this.#orders ??= await this.#openOrders());
    const view = await this.#readView();
    if (view === undefined || orders === undefined) return;
    await orders.refresh();
    this.#history.record(view);
    const waves = await this.#waves.plan(view);
    const machineIds = [...view.machines.keys()];
    const excluded = new Set(machineIds.filter((machineId) => !orders.mayOrder(machineId)));
    for (const { machineId } of waves.emptying) excluded.add(machineId);
    const plan = planMoves(describePools(view, this.#history, excluded));
    for (const shortage of plan.shortages) this.#logShortage(shortage);
    this.#vacating = groupTargets([...waves.emptying, ...plan.vacate, ...plan.moves]);
    this.#arrivals = describeArrivals(view, this.#history, plan.spare, plan.shortages);
    const moves = [...plan.moves, ...(await this.#emptyIdle(plan.vacate))];
    // The list may not show yet that an earlier holder has taken a machine down; maintenance now could exceed the limit.
    const maintenance = orders.isSettled() ? waves.maintenance : [];
    await this.#giveOrders(orders, maintenance, moves);
  }

  async #giveOrders(
    orders: OrderRecord,
    plannedMaintenance: readonly PlannedMaintenance[],
    plannedMoves: readonly PlannedMove[],
  ): Promise<void> {
    const available = this.#budget.available(performance.now());
    const maintenance = plannedMaintenance.slice(0, available);
    const moves = plannedMoves.slice(0, available - maintenance.length);
    this.#budget.take(maintenance.length + moves.length);
    const ordered = [...maintenance.map(({ candidate }) => candidate), ...moves];
    if (ordered.length === 0 || !(await orders.recordOrders(ordered.map(({ machineId }) => machineId))))
      return;
    await Promise.all([
      ...maintenance.map(async (planned) => this.#waves.maintain(planned)),
      ...moves.map(async (move) => this.#move(move)),
    ]);
  }

  async #openOrders(): Promise<OrderRecord | undefined> {
    const { store, leaderRole, orderLeaseMilliseconds, log } = this.#options;
    const waitMilliseconds = orderLeaseMilliseconds + orderDelayMilliseconds;
    return OrderRecord.open({ store, leaderRole, waitMilliseconds, log });
  }

  /**
   * Empties the targets of planned moves.
   * @returns the moves whose targets are being emptied and run nothing any more, so that they can be ordered now
   */
  async #emptyIdle(vacate: readonly PlannedMove[]): Promise<PlannedMove[]> {
    const pools = [...new Set(vacate.map(({ from }) => from))];
    const reports = await Promise.all(pools.map(async (pool) => this.#vacate(pool)));
    const loads = new Map(
      reports.flatMap((report) => report?.targets.map((load) => [load.targetId, load] as const) ?? []),
    );
    return vacate.filter(({ targetId }) => {
      const load = targetId === undefined ? undefined : loads.get(targetId);
      return load?.isKnown === true && load.isVacating && load.runs === 0;
    });
  }

  async #vacate(pool: string): Promise<PoolReport | undefined> {
    return this.#options.vacate(pool, this.#vacating.get(pool) ?? [], this.#arrivals.get(pool) ?? []);
  }

  #logShortage(shortage: PoolShortage): void {
    const { pool, cause, demandCores, cores, lackCores, waitingLastingTasks, machines } = shortage;
    this.#options.log.write("info", "pool-short", {
      pool,
      cause,
      demandCores: Math.round(demandCores),
      cores: Math.round(cores),
      lackCores: Math.round(lackCores),
      waitingLastingTasks,
      machines,
    });
  }

  /** Reads the list of machines, and the load of all pools from their owners; undefined when the list cannot be read. */
  async #readView(): Promise<FleetView | undefined> {
    const { machines, pools, log } = this.#options;
    const [listed, ...reports] = await Promise.all([
      machines.list(),
      ...pools().map(async ({ pool }) => this.#vacate(pool)),
    ]);
    if (listed.isLeft()) {
      log.write("warn", "machines-unread", { reason: listed.swap().unsafeCoerce() });
      return undefined;
    }
    const standby = pools().filter(({ isStandby }) => isStandby);
    return {
      machines: new Map(listed.unsafeCoerce().map((machine) => [machine.machineId, machine])),
      reports: new Map(reports.flatMap((report) => (report === undefined ? [] : [[report.pool, report]]))),
      standbyPools: new Set(standby.map(({ pool }) => pool)),
    };
  }

  async #move({ machineId, from, to, cause, seen }: PlannedMove): Promise<void> {
    const { leaderRole, entryId, machines, metrics, log } = this.#options;
    if (!leaderRole.isHeld()) return;
    const order = { machineId, pool: to, holder: entryId, fencingToken: leaderRole.fencingToken() };
    const outcome = await machines.move(order);
    log.write("info", "move-order", {
      machine: machineId,
      from,
      to,
      cause,
      ...describeSeen(seen),
      ...countOrder(metrics, "move", outcome),
    });
  }
}

/** Rounds the circumstances of a move for the log; leaves out infinite durations, which mean an unknown start. */
function describeSeen(seen: MoveCircumstances): LogFields {
  const rounded = Object.entries(seen).map(([name, value]: [string, number]) => {
    return [name, Number.isFinite(value) ? Math.round(value) : undefined] as const;
  });
  return Object.fromEntries(rounded);
}

function groupTargets(
  emptying: readonly (WaveCandidate | PlannedMove)[],
): ReadonlyMap<string, readonly string[]> {
  const groups = new Map<string, string[]>();
  for (const item of emptying) {
    const pool = "from" in item ? item.from : item.pool;
    if (item.targetId === undefined) continue;
    const group = groups.get(pool) ?? [];
    group.push(item.targetId);
    groups.set(pool, group);
  }
  return groups;
}
