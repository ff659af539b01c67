/**
 * Gives the orders for machines: maintenance in waves, and moves between pools. One entry at a time does it.
 * @packageDocumentation
 */
import type { PoolReport, SessionDuty } from "../job-homes/index.js";
import type { RoomArrival } from "../scheduling/index.js";
import { delay, parseWith } from "../shared/index.js";
import type { TransactionalStore } from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import {
  describeArrivals,
  describeCandidates,
  describePools,
  MachineHistory,
  type FleetView,
} from "./fleet-view.js";
import type { MachineControl, MachineOrderOutcome, MaintenanceWave } from "./machine-control.js";
import { planMoves, type PlannedMove, type PoolShortage } from "./move-plan.js";
import { planWaveStep, type WaveCandidate } from "./wave-plan.js";
import { OrderRecord } from "./order-record.js";
import { storedWaveSchema, WaveProgress } from "./wave-progress.js";

/** Prefix of what the manager keeps of each wave. */
export const waveProgressPrefix = "wave-progress/";

/** A pool as the operators describe it. */
export interface FleetPool {
  readonly pool: string;
  /** Whether its machines are switched off until they move to another pool. */
  readonly isStandby: boolean;
}

/** Settings of a manager. */
export interface FleetManagerOptions {
  readonly entryId: string;
  readonly duty: SessionDuty;
  readonly store: TransactionalStore;
  readonly machines: MachineControl;
  /** Waves that the operators have asked for. */
  readonly waves: () => readonly MaintenanceWave[];
  readonly pools: () => readonly FleetPool[];
  /** Empties targets of a pool and reads its load; undefined when its home does not answer. */
  readonly vacate: (
    pool: string,
    targetIds: readonly string[],
    arrivals: readonly RoomArrival[],
  ) => Promise<PoolReport | undefined>;
  /** Where the operators read a wave's state, and how it is written there. */
  readonly waveStatus: {
    key(wave: number): string;
    encode(wave: number, state: "active" | "complete"): unknown;
  };
  /** A new holder waits so long before its first order. */
  readonly orderLeaseMilliseconds: number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A machine of a wave whose maintenance begins. */
interface PlannedMaintenance {
  readonly progress: WaveProgress;
  readonly candidate: WaveCandidate;
}

const stepMilliseconds = 250;
/** Orders of an earlier holder may arrive a little later than its lease ends. */
const orderSettleMilliseconds = 500;
/** Time that the last machines of a wave need after their order. */
const lastMachineMilliseconds = 5_000;
/** Moves that are ordered in one step. */
const maximumMovesPerStep = 16;

/** Gives the orders for machines while this entry holds the duty. */
export class FleetManager {
  readonly #options: FleetManagerOptions;
  readonly #stop = new AbortController();
  readonly #waves = new Map<number, WaveProgress>();
  #history = new MachineHistory();
  /** Targets that are being emptied, by pool. */
  #vacating: ReadonlyMap<string, readonly string[]> = new Map();
  /** The holding of the duty that all of this belongs to. */
  #fencingToken = 0;
  /** Orders for machines, read anew with each holding of the duty. */
  #orders: OrderRecord | undefined;
  /** Room that comes to each pool, or could. */
  #arrivals: ReadonlyMap<string, readonly RoomArrival[]> = new Map();

  /**
   * Creates a manager; `run` begins its work.
   * @param options - the duty, the machines and the homes of their pools
   */
  constructor(options: FleetManagerOptions) {
    this.#options = options;
  }

  /** Competes for the duty and does it until the manager is closed. */
  async run(): Promise<void> {
    const { duty } = this.#options;
    while (!this.#stop.signal.aborted) {
      await duty.compete();
      // Another entry may have held the duty between two holdings of this one.
      if (!duty.isHeld() || duty.fencingToken() !== this.#fencingToken) this.#forget();
      if (duty.isHeld()) await this.#step();
      await delay(stepMilliseconds, this.#stop.signal);
    }
  }

  /** Stops giving orders. */
  close(): void {
    this.#stop.abort();
  }

  #forget(): void {
    this.#fencingToken = this.#options.duty.fencingToken();
    this.#waves.clear();
    this.#vacating = new Map();
    this.#orders = undefined;
    this.#arrivals = new Map();
    this.#history = new MachineHistory();
  }

  async #step(): Promise<void> {
    for (const wave of this.#options.waves()) await this.#openWave(wave);
    const orders = (this.#orders ??= await this.#openOrders());
    const view = await this.#look();
    if (view === undefined || orders === undefined) return;
    this.#history.note(view);
    const waves = await this.#planWaves(view);
    const machineIds = [...view.machines.keys()];
    const excluded = new Set(machineIds.filter((machineId) => !orders.mayOrder(machineId)));
    for (const { machineId } of waves.emptying) excluded.add(machineId);
    const plan = planMoves(describePools(view, this.#history, excluded));
    for (const shortage of plan.shortages) this.#logShortage(shortage);
    this.#vacating = groupTargets([...waves.emptying, ...plan.vacate, ...plan.moves]);
    this.#arrivals = describeArrivals(view, this.#history, plan.spare);
    const moves = [...plan.moves, ...(await this.#emptyIdle(plan.vacate))];
    // A machine that an earlier holder took down may not be listed as such yet.
    const maintenance = orders.isSettled() ? waves.maintenance : [];
    await this.#giveOrders(orders, maintenance, moves.slice(0, maximumMovesPerStep));
  }

  async #giveOrders(
    orders: OrderRecord,
    maintenance: readonly PlannedMaintenance[],
    moves: readonly PlannedMove[],
  ): Promise<void> {
    const ordered = [...maintenance.map(({ candidate }) => candidate), ...moves];
    if (ordered.length === 0 || !(await orders.note(ordered.map(({ machineId }) => machineId)))) return;
    await Promise.all([
      ...maintenance.map(async (planned) => this.#maintain(planned)),
      ...moves.map(async (move) => this.#move(move)),
    ]);
  }

  /** Chooses what is done next for all waves. */
  async #planWaves(
    view: FleetView,
  ): Promise<{ emptying: readonly WaveCandidate[]; maintenance: readonly PlannedMaintenance[] }> {
    const emptying: WaveCandidate[] = [];
    const maintenance: PlannedMaintenance[] = [];
    for (const progress of this.#waves.values()) {
      if (progress.state === "complete") continue;
      const step = await this.#planWave(progress, view);
      emptying.push(...step.vacate, ...step.maintain);
      maintenance.push(...step.maintain.map((candidate) => ({ progress, candidate })));
    }
    return { emptying, maintenance };
  }

  async #openOrders(): Promise<OrderRecord | undefined> {
    const { store, duty, orderLeaseMilliseconds, log } = this.#options;
    const waitMilliseconds = orderLeaseMilliseconds + orderSettleMilliseconds;
    return OrderRecord.open({ store, duty, waitMilliseconds, log });
  }

  /** Empties what is about to move, and finds the machines on which nothing runs already. */
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

  #logShortage({ pool, demandCores, cores, lackCores, waitingLastingTasks, machines }: PoolShortage): void {
    this.#options.log.write("info", "pool-short", {
      pool,
      demandCores: Math.round(demandCores),
      cores: Math.round(cores),
      lackCores: Math.round(lackCores),
      waitingLastingTasks,
      machines,
    });
  }

  /** Reads the list of machines and asks all homes for their pools' load. */
  async #look(): Promise<FleetView | undefined> {
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

  /** Takes up a wave: reads what an earlier holder stored of it, or stores that it has begun. */
  async #openWave(wave: MaintenanceWave): Promise<void> {
    if (this.#waves.has(wave.wave)) return;
    const found = await this.#options.store.get(`${waveProgressPrefix}${wave.wave}`);
    if (found.isLeft()) return;
    const record = found.orDefault(undefined);
    const fresh = { startedAt: Date.now(), state: "active" as const, begun: {} };
    const stored = parseWith(storedWaveSchema, record?.value).orDefault(fresh);
    const progress = new WaveProgress(wave, stored);
    if (record === undefined && !(await this.#storeProgress(progress))) return;
    this.#waves.set(wave.wave, progress);
    this.#options.log.write("info", "wave-opened", {
      wave: wave.wave,
      machines: wave.machineIds.length,
      maximumDown: wave.maximumDown,
      durationMilliseconds: wave.durationMilliseconds,
      begun: progress.begunCount(),
    });
  }

  async #storeProgress(progress: WaveProgress): Promise<boolean> {
    const { store, duty, waveStatus, log } = this.#options;
    const { wave } = progress.wave;
    const result = await store.transact({
      expected: [duty.expectHeld()],
      writes: [
        { key: `${waveProgressPrefix}${wave}`, value: progress.encode() },
        { key: waveStatus.key(wave), value: waveStatus.encode(wave, progress.state) },
      ],
    });
    const begun = progress.begunCount();
    log.write("info", "wave-stored", { wave, state: progress.state, begun, result: result.kind });
    return result.kind === "done";
  }

  /** Chooses what is done next for a wave; stores its end when all machines are done. */
  async #planWave(progress: WaveProgress, view: FleetView): Promise<ReturnType<typeof planWaveStep>> {
    progress.settle(view.machines);
    const open = progress.open(view.machines);
    const down = progress.countDown(view.machines);
    if (open.length === 0 && down === 0) {
      progress.state = "complete";
      if (!(await this.#storeProgress(progress))) progress.state = "active";
      return { maintain: [], vacate: [] };
    }
    const { maximumDown, durationMilliseconds, machineIds } = progress.wave;
    const usable = Math.max(1, durationMilliseconds - lastMachineMilliseconds);
    return planWaveStep(describeCandidates(view, open), {
      freeSlots: maximumDown - down,
      elapsedShare: (Date.now() - progress.startedAt) / usable,
      doneShare: 1 - open.length / Math.max(1, machineIds.length),
    });
  }

  async #maintain({ progress, candidate }: PlannedMaintenance): Promise<void> {
    const { duty, entryId, machines, log } = this.#options;
    if (!duty.isHeld()) return;
    const { machineId, targetId = "", pool } = candidate;
    const { wave } = progress.wave;
    progress.noteOrder(machineId);
    const order = { machineId, wave, holder: entryId, fencingToken: duty.fencingToken() };
    const outcome = await machines.maintain(order);
    progress.takeOutcome(machineId, targetId, outcome);
    log.write("info", "maintenance-order", {
      machine: machineId,
      wave,
      pool,
      ...this.#count("maintain", outcome),
    });
    if (outcome.kind === "done") await this.#storeProgress(progress);
  }

  async #move({ machineId, from, to }: PlannedMove): Promise<void> {
    const { duty, entryId, machines, log } = this.#options;
    if (!duty.isHeld()) return;
    const order = { machineId, pool: to, holder: entryId, fencingToken: duty.fencingToken() };
    const outcome = await machines.move(order);
    log.write("info", "move-order", { machine: machineId, from, to, ...this.#count("move", outcome) });
  }

  #count(
    order: "maintain" | "move",
    outcome: MachineOrderOutcome,
  ): { result: string; reason: string | undefined } {
    this.#options.metrics.count("machine_orders_total", { order, result: outcome.kind });
    return { result: outcome.kind, reason: outcome.kind === "done" ? undefined : outcome.reason };
  }
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
