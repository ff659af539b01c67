/**
 * Gives the orders for machines: maintenance in waves. One entry at a time does it.
 * @packageDocumentation
 */
import { z } from "zod";
import type { PoolReport, SessionDuty } from "../job-homes/index.js";
import { delay, parseWith } from "../shared/index.js";
import type { TransactionalStore } from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { Machine, MachineControl, MachineOrderOutcome, MaintenanceWave } from "./machine-control.js";
import { planWaveStep, type WaveCandidate } from "./wave-plan.js";

/** Prefix of what the manager keeps of each wave. */
export const waveProgressPrefix = "wave-progress/";

/** Settings of a manager. */
export interface FleetManagerOptions {
  readonly entryId: string;
  readonly duty: SessionDuty;
  readonly store: TransactionalStore;
  readonly machines: MachineControl;
  /** Waves that the operators have asked for. */
  readonly waves: () => readonly MaintenanceWave[];
  readonly pools: () => readonly string[];
  /** Empties targets of a pool and reads its load; undefined when its home does not answer. */
  readonly vacate: (pool: string, targetIds: readonly string[]) => Promise<PoolReport | undefined>;
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

const stepMilliseconds = 300;
/** A machine counts as down for so long after an order that brought no answer. */
const unresolvedMilliseconds = 14_000;
/** Machines that another holder ordered may not show in the list yet. */
const orderSettleMilliseconds = 500;
const millicoresPerCore = 1_000;

const progressSchema = z.object({
  /** Unix time at which the wave was first seen. */
  startedAt: z.number(),
  state: z.enum(["active", "complete"]),
  /** Machines whose maintenance has begun, with the target that they ran before. */
  begun: z.record(z.string(), z.string()),
});

interface WaveProgress {
  readonly wave: MaintenanceWave;
  readonly startedAt: number;
  state: "active" | "complete";
  /** The target that a machine ran when its maintenance was ordered, by machine. */
  readonly begun: Map<string, string>;
  /** Orders without an answer, by machine: when they were given, by the monotonic clock. */
  readonly unresolved: Map<string, number>;
  /** Orders that were carried out and whose machine has not been seen since, by machine. */
  readonly ordered: Map<string, number>;
  isStored: boolean;
}

/** Gives the orders for machines while this entry holds the duty. */
export class FleetManager {
  readonly #options: FleetManagerOptions;
  readonly #stop = new AbortController();
  readonly #waves = new Map<number, WaveProgress>();

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
      if (duty.isHeld()) await this.#step();
      else this.#waves.clear();
      await delay(stepMilliseconds, this.#stop.signal);
    }
  }

  /** Stops giving orders. */
  close(): void {
    this.#stop.abort();
  }

  async #step(): Promise<void> {
    for (const wave of this.#options.waves()) await this.#openWave(wave);
    const active = [...this.#waves.values()].filter(({ state }) => state === "active");
    if (active.length === 0) return;
    const listed = await this.#options.machines.list();
    if (listed.isLeft()) {
      this.#options.log.write("warn", "machines-unread", { reason: listed.swap().unsafeCoerce() });
      return;
    }
    const machines = new Map(listed.unsafeCoerce().map((machine) => [machine.machineId, machine]));
    for (const progress of active) await this.#advance(progress, machines);
  }

  /** Takes up a wave: reads what an earlier holder stored of it, or stores that it has begun. */
  async #openWave(wave: MaintenanceWave): Promise<void> {
    if (this.#waves.has(wave.wave)) return;
    const found = await this.#options.store.get(`${waveProgressPrefix}${wave.wave}`);
    if (found.isLeft()) return;
    const stored = parseWith(progressSchema, found.orDefault(undefined)?.value).orDefault({
      startedAt: Date.now(),
      state: "active",
      begun: {},
    });
    const progress: WaveProgress = {
      wave,
      startedAt: stored.startedAt,
      state: stored.state,
      begun: new Map(Object.entries(stored.begun)),
      unresolved: new Map(),
      ordered: new Map(),
      isStored: found.orDefault(undefined) !== undefined,
    };
    this.#waves.set(wave.wave, progress);
    const { maximumDown, durationMilliseconds } = wave;
    this.#options.log.write("info", "wave-opened", {
      wave: wave.wave,
      machines: wave.machineIds.length,
      maximumDown,
      durationMilliseconds,
      begun: progress.begun.size,
    });
    if (!progress.isStored) progress.isStored = await this.#storeProgress(progress);
  }

  async #storeProgress({ wave, startedAt, state, begun }: WaveProgress): Promise<boolean> {
    const { store, duty, waveStatus } = this.#options;
    const value = { startedAt, state, begun: Object.fromEntries(begun) };
    const result = await store.transact({
      expected: [duty.expectHeld()],
      writes: [
        { key: `${waveProgressPrefix}${wave.wave}`, value },
        { key: waveStatus.key(wave.wave), value: waveStatus.encode(wave.wave, state) },
      ],
    });
    this.#options.log.write("info", "wave-stored", {
      wave: wave.wave,
      state,
      begun: begun.size,
      result: result.kind,
    });
    return result.kind === "done";
  }

  async #advance(progress: WaveProgress, machines: ReadonlyMap<string, Machine>): Promise<void> {
    settleOrders(progress, machines);
    const open = progress.wave.machineIds.filter((machineId) => isOpen(progress, machines, machineId));
    const down = countDown(progress, machines);
    if (open.length === 0 && down === 0) {
      progress.state = "complete";
      if (!(await this.#storeProgress(progress))) progress.state = "active";
      return;
    }
    const candidates = await this.#describe(open, machines);
    const elapsed = Date.now() - progress.startedAt;
    const { maximumDown, durationMilliseconds, machineIds } = progress.wave;
    const step = planWaveStep(candidates, {
      freeSlots: maximumDown - down,
      elapsedShare: elapsed / Math.max(1, durationMilliseconds - lastMachineMilliseconds),
      doneShare: 1 - open.length / Math.max(1, machineIds.length),
    });
    await this.#vacateAll([...step.vacate, ...step.maintain]);
    for (const candidate of step.maintain) await this.#maintain(progress, candidate);
  }

  /** Joins machines with the load of their pools. */
  async #describe(open: readonly string[], machines: ReadonlyMap<string, Machine>): Promise<WaveCandidate[]> {
    const reports = await this.#vacateAll([]);
    return open.flatMap((machineId): WaveCandidate[] => {
      const machine = machines.get(machineId);
      if (machine?.state !== "up") return [];
      const report = reports.get(machine.pool);
      const load = report?.targets.find(({ targetId }) => targetId === machine.targetId);
      // Without news of its pool nobody knows what runs on a machine.
      if (report === undefined) return [];
      return [
        {
          machineId,
          targetId: load?.targetId,
          pool: machine.pool,
          runs: load?.runs ?? 0,
          lastingRuns: load?.lastingRuns ?? 0,
          isVacating: load?.isVacating ?? false,
          poolBacklogMilliseconds:
            (report.backlogCoreSeconds / Math.max(1, report.cores)) * millicoresPerCore,
        },
      ];
    });
  }

  #vacating = new Map<string, readonly string[]>();

  /** Asks all homes to empty the targets of the chosen machines; without any it keeps those chosen before. */
  async #vacateAll(chosen: readonly WaveCandidate[]): Promise<Map<string, PoolReport>> {
    const { pools, vacate } = this.#options;
    if (chosen.length > 0) {
      this.#vacating = new Map(
        pools().map((pool) => [
          pool,
          chosen.filter((candidate) => candidate.pool === pool).flatMap(({ targetId }) => targetId ?? []),
        ]),
      );
    }
    const reports = await Promise.all(
      pools().map(async (pool) => vacate(pool, this.#vacating.get(pool) ?? [])),
    );
    return new Map(
      reports.flatMap((report) => (report === undefined ? [] : [[report.pool, report] as const])),
    );
  }

  async #maintain(progress: WaveProgress, candidate: WaveCandidate): Promise<void> {
    const { duty, entryId, machines, orderLeaseMilliseconds, log, metrics } = this.#options;
    if (!duty.isHeld() || duty.heldForMilliseconds() < orderLeaseMilliseconds + orderSettleMilliseconds)
      return;
    const { machineId, targetId = "" } = candidate;
    const { wave } = progress.wave;
    const order = { machineId, wave, holder: entryId, fencingToken: duty.fencingToken() };
    // The order counts as given before it is sent: whatever becomes of it, the machine may be down from now on.
    progress.unresolved.set(machineId, performance.now());
    const outcome = await machines.maintain(order);
    takeOutcome(progress, machineId, targetId, outcome);
    metrics.count("machine_orders_total", { order: "maintain", result: outcome.kind });
    log.write("info", "machine-maintenance", {
      machine: machineId,
      wave,
      target: targetId,
      pool: candidate.pool,
      result: outcome.kind,
      reason: outcome.kind === "done" ? undefined : outcome.reason,
    });
    if (outcome.kind === "done") await this.#storeProgress(progress);
  }
}

/** Time that the last machines of a wave need after their order. */
const lastMachineMilliseconds = 5_000;

function takeOutcome(
  progress: WaveProgress,
  machineId: string,
  targetId: string,
  outcome: MachineOrderOutcome,
): void {
  if (outcome.kind === "unknown") return;
  progress.unresolved.delete(machineId);
  if (outcome.kind === "refused") return;
  progress.begun.set(machineId, targetId);
  progress.ordered.set(machineId, performance.now());
}

/** Takes from the list what became of earlier orders. */
function settleOrders(progress: WaveProgress, machines: ReadonlyMap<string, Machine>): void {
  const now = performance.now();
  for (const [machineId, orderedAt] of progress.ordered) {
    const machine = machines.get(machineId);
    // The list may be a little older than the order.
    if (now - orderedAt < orderSettleMilliseconds) continue;
    if (machine?.state !== "maintenance") progress.ordered.delete(machineId);
  }
  for (const [machineId, orderedAt] of progress.unresolved) {
    if (machines.get(machineId)?.state === "maintenance") {
      progress.begun.set(machineId, "");
      progress.ordered.set(machineId, orderedAt);
      progress.unresolved.delete(machineId);
    } else if (now - orderedAt > unresolvedMilliseconds) {
      // The same order again brings an answer, also when the first was carried out.
      progress.unresolved.delete(machineId);
    }
  }
}

function isOpen(progress: WaveProgress, machines: ReadonlyMap<string, Machine>, machineId: string): boolean {
  return machines.has(machineId) && !progress.begun.has(machineId) && !progress.unresolved.has(machineId);
}

function countDown(
  { wave, ordered, unresolved }: WaveProgress,
  machines: ReadonlyMap<string, Machine>,
): number {
  const isDown = (machineId: string): boolean =>
    ordered.has(machineId) || unresolved.has(machineId) || machines.get(machineId)?.state === "maintenance";
  return wave.machineIds.filter(isDown).length;
}
