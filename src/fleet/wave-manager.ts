/**
 * Maintenance waves requested by the operators: stores the progress of each wave and chooses the machines to maintain next.
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

/** Store key prefix of the progress records, followed by the number of the wave. */
export const waveProgressPrefix = "wave-progress/";

/** Settings of a wave manager. */
export interface WaveManagerOptions {
  readonly entryId: string;
  readonly leaderRole: Pick<SessionLeaderRole, "isHeld" | "fencingToken" | "expectHeld">;
  readonly store: TransactionalStore;
  readonly machines: MachineControl;
  /** Returns the waves that the operators have requested. */
  readonly waves: () => readonly MaintenanceWave[];
  /** Store key and value by which the operators read the state of a wave. */
  readonly waveStatus: {
    key(wave: number): string;
    encode(wave: number, state: "active" | "complete"): unknown;
  };
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A machine of a wave whose maintenance can be ordered now. */
export interface PlannedMaintenance {
  readonly progress: WaveProgress;
  readonly candidate: WaveCandidate;
}

/** Time reserved at the end of a wave, because its last machines need about as long after their order. */
const lastMachineMilliseconds = 5_000;

/** Manages the waves during one leadership term of the fleet leader role. */
export class WaveManager {
  readonly #options: WaveManagerOptions;
  readonly #waves = new Map<number, WaveProgress>();

  /**
   * Creates a manager without waves.
   * @param options - the leader role, the store and the machines
   */
  constructor(options: WaveManagerOptions) {
    this.#options = options;
  }

  /** Drops the state of all waves; `openWaves` reads it from the store again. */
  reset(): void {
    this.#waves.clear();
  }

  /** Opens all requested waves that are not open yet. A wave whose record cannot be read or stored is retried next time. */
  async openWaves(): Promise<void> {
    for (const wave of this.#options.waves()) await this.#openWave(wave);
  }

  /**
   * Chooses the next machines of all waves.
   * @param view - the machines and the load reports of their pools now
   * @returns the machines to empty, and those of them that are empty already and can be taken down now
   */
  async plan(
    view: FleetView,
  ): Promise<{ emptying: readonly WaveCandidate[]; maintenance: readonly PlannedMaintenance[] }> {
    const emptying: WaveCandidate[] = [];
    const maintenance: PlannedMaintenance[] = [];
    const waves = [...this.#waves.values()].filter(({ state }) => state === "active");
    for (const progress of waves) progress.updateFromList(view.machines);
    // The list does not tell for which wave a machine is down, so it is ordered for one wave at a time.
    const ordered = new Set(waves.flatMap((progress) => progress.listOrdered()));
    for (const progress of waves) {
      const step = await this.#planWave(progress, view, ordered);
      for (const { machineId } of step.maintain) ordered.add(machineId);
      emptying.push(...step.vacate, ...step.maintain);
      maintenance.push(...step.maintain.map((candidate) => ({ progress, candidate })));
    }
    return { emptying, maintenance };
  }

  /**
   * Orders the maintenance of a machine and records the outcome. Does nothing once the leader role is lost.
   * @param planned - the machine and the progress of its wave
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

  /** Opens a wave: reads the progress that an earlier holder stored, or stores the start of the wave. */
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

  /** Chooses the next machines of a wave; stores the wave as complete once all its machines are done. */
  async #planWave(
    progress: WaveProgress,
    view: FleetView,
    ordered: ReadonlySet<string>,
  ): Promise<ReturnType<typeof planWaveStep>> {
    const open = progress.listPending(view.machines);
    if (open.length === 0 && progress.countDown(view.machines) === 0) {
      progress.state = "complete";
      if (!(await this.#storeProgress(progress))) progress.state = "active";
      return { maintain: [], vacate: [] };
    }
    const { maximumDown, durationMilliseconds, machineIds } = progress.wave;
    const usable = Math.max(1, durationMilliseconds - lastMachineMilliseconds);
    const candidates = open.filter((machineId) => !ordered.has(machineId));
    return planWaveStep(describeCandidates(view, candidates), {
      freeSlots: maximumDown - progress.countDown(view.machines, ordered),
      elapsedShare: (Date.now() - progress.startedAt) / usable,
      doneShare: 1 - open.length / Math.max(1, machineIds.length),
    });
  }
}
