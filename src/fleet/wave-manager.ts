/**
 * The waves of maintenance that the operators have asked for: what has begun is stored, and what is next is chosen.
 * @packageDocumentation
 */
import type { SessionLeaderRole } from "../pool-owners/index.js";
import { parseWith } from "../shared/index.js";
import type { TransactionalStore } from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { describeCandidates, type FleetView } from "./fleet-view.js";
import { countOrder, type MachineControl, type MaintenanceWave } from "./machine-control.js";
import { planWaveStep, type WaveCandidate } from "./wave-plan.js";
import { storedWaveSchema, WaveProgress } from "./wave-progress.js";

/** Prefix of what is stored of each wave. */
export const waveProgressPrefix = "wave-progress/";

/** Settings of a keeper. */
export interface WaveManagerOptions {
  readonly entryId: string;
  readonly leaderRole: SessionLeaderRole;
  readonly store: TransactionalStore;
  readonly machines: MachineControl;
  /** Waves that the operators have asked for. */
  readonly waves: () => readonly MaintenanceWave[];
  /** Where the operators read a wave's state, and how it is written there. */
  readonly waveStatus: {
    key(wave: number): string;
    encode(wave: number, state: "active" | "complete"): unknown;
  };
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A machine of a wave whose maintenance begins. */
export interface PlannedMaintenance {
  readonly progress: WaveProgress;
  readonly candidate: WaveCandidate;
}

/** Time that the last machines of a wave need after their order. */
const lastMachineMilliseconds = 5_000;

/** Keeps the waves of one holding of the leader role on machines. */
export class WaveManager {
  readonly #options: WaveManagerOptions;
  readonly #waves = new Map<number, WaveProgress>();

  /**
   * Creates a keeper that knows no wave.
   * @param options - the leader role, the store and the machines
   */
  constructor(options: WaveManagerOptions) {
    this.#options = options;
  }

  /** Forgets all waves; they are read again from the store. */
  reset(): void {
    this.#waves.clear();
  }

  /** Takes up the waves that the operators have asked for. */
  async openWaves(): Promise<void> {
    for (const wave of this.#options.waves()) await this.#openWave(wave);
  }

  /**
   * Chooses what is done next for all waves.
   * @param view - the machines and their pools now
   * @returns machines that are to be emptied, and among them those that are empty and go down now
   */
  async plan(
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

  /**
   * Takes a machine down for its maintenance.
   * @param planned - the machine and its wave
   */
  async maintain({ progress, candidate }: PlannedMaintenance): Promise<void> {
    const { leaderRole, entryId, machines, metrics, log } = this.#options;
    if (!leaderRole.isHeld()) return;
    const { machineId, targetId = "", pool } = candidate;
    const { wave } = progress.wave;
    progress.recordOrderSent(machineId);
    const order = { machineId, wave, holder: entryId, fencingToken: leaderRole.fencingToken() };
    const outcome = await machines.maintain(order);
    progress.recordOutcome(machineId, targetId, outcome);
    log.write("info", "maintenance-order", {
      machine: machineId,
      wave,
      pool,
      ...countOrder(metrics, "maintain", outcome),
    });
    if (outcome.kind === "done") await this.#storeProgress(progress);
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
    const { store, leaderRole, waveStatus, log } = this.#options;
    const { wave } = progress.wave;
    const result = await store.transact({
      expected: [leaderRole.expectHeld()],
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
    progress.updateFromList(view.machines);
    const open = progress.listPending(view.machines);
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
}
