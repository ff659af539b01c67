/**
 * How far a wave of maintenance has come.
 * @packageDocumentation
 */
import * as z from "zod";
import type { Machine, MachineOrderOutcome, MaintenanceWave } from "./machine-control.js";

/** Checks what the store holds of a wave. */
export const storedWaveSchema = z.object({
  /** Unix time at which the wave was first seen. */
  startedAt: z.number(),
  state: z.enum(["active", "complete"]),
  /** Machines whose maintenance has begun, with the target that they ran before. */
  begun: z.record(z.string(), z.string()),
});

/** What the store holds of a wave. */
export type StoredWave = z.infer<typeof storedWaveSchema>;

/** A machine counts as down for so long after an order that brought no answer. */
const unansweredOrderMilliseconds = 14_000;
/** The list of machines may be a little older than an order. */
const listDelayMilliseconds = 500;

/** How far a wave has come. */
export class WaveProgress {
  readonly wave: MaintenanceWave;
  readonly startedAt: number;
  state: "active" | "complete";
  /** The target that a machine ran when its maintenance was ordered, by machine. */
  readonly #begun: Map<string, string>;
  /** Orders without an answer, by machine: when they were given, by the monotonic clock. */
  readonly #unresolved = new Map<string, number>();
  /** Orders that were carried out and whose machine may still be down, by machine. */
  readonly #ordered = new Map<string, number>();

  /**
   * Creates the progress of a wave.
   * @param wave - what the operators asked for
   * @param stored - what an earlier holder stored of it
   */
  constructor(wave: MaintenanceWave, stored: StoredWave) {
    this.wave = wave;
    this.startedAt = stored.startedAt;
    this.state = stored.state;
    this.#begun = new Map(Object.entries(stored.begun));
  }

  /** What the store should hold. */
  encode(): StoredWave {
    return { startedAt: this.startedAt, state: this.state, begun: Object.fromEntries(this.#begun) };
  }

  /** How many machines have begun their maintenance. */
  begunCount(): number {
    return this.#begun.size;
  }

  /** Machines whose maintenance has not begun. */
  listPending(machines: ReadonlyMap<string, Machine>): string[] {
    return this.wave.machineIds.filter(
      (machineId) =>
        machines.has(machineId) && !this.#begun.has(machineId) && !this.#unresolved.has(machineId),
    );
  }

  /** Counts the machines that are down, or may be. */
  countDown(machines: ReadonlyMap<string, Machine>): number {
    const isDown = (machineId: string): boolean =>
      this.#ordered.has(machineId) ||
      this.#unresolved.has(machineId) ||
      machines.get(machineId)?.state === "maintenance";
    return this.wave.machineIds.filter(isDown).length;
  }

  /** Notes that an order is about to be sent: whatever becomes of it, the machine may be down from now on. */
  recordOrderSent(machineId: string): void {
    this.#unresolved.set(machineId, performance.now());
  }

  /** Takes the outcome of an order. */
  recordOutcome(machineId: string, targetId: string, outcome: MachineOrderOutcome): void {
    if (outcome.kind === "unknown") return;
    this.#unresolved.delete(machineId);
    if (outcome.kind === "refused") return;
    this.#begun.set(machineId, targetId);
    this.#ordered.set(machineId, performance.now());
  }

  /** Takes from the list what became of earlier orders. */
  updateFromList(machines: ReadonlyMap<string, Machine>): void {
    const now = performance.now();
    for (const [machineId, orderedAt] of this.#ordered) {
      const isDown = machines.get(machineId)?.state === "maintenance";
      if (!isDown && now - orderedAt >= listDelayMilliseconds) this.#ordered.delete(machineId);
    }
    for (const [machineId, orderedAt] of this.#unresolved) {
      if (machines.get(machineId)?.state === "maintenance") {
        this.#begun.set(machineId, "");
        this.#ordered.set(machineId, orderedAt);
        this.#unresolved.delete(machineId);
      } else if (now - orderedAt > unansweredOrderMilliseconds) {
        // The same order again brings an answer, also when the first was carried out.
        this.#unresolved.delete(machineId);
      }
    }
  }
}
