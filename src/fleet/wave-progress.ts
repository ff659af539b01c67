/**
 * Progress of a maintenance wave.
 * @packageDocumentation
 */
import * as z from "zod";
import type { Machine, MachineOrderOutcome, MaintenanceWave } from "./machine-control.js";

/** Schema of the stored progress of a wave. */
export const storedWaveSchema = z.object({
  /** Unix time in milliseconds at which a holder of the leader role first opened the wave. */
  startedAt: z.number(),
  state: z.enum(["active", "complete"]),
  /** Machines whose maintenance has begun, each with the target that ran on it before; "" if none is known. */
  begun: z.record(z.string(), z.string()),
});

/** The stored progress of a wave. */
export type StoredWave = z.infer<typeof storedWaveSchema>;

/** How long a machine counts as down after an order without an answer, because the order may have been carried out. */
const unansweredOrderMilliseconds = 14_000;
/** The list of machines may be older than an order by this time, so it may not show the machine as down yet. */
const listDelayMilliseconds = 500;

/** Progress of a wave during one leadership term. */
export class WaveProgress {
  readonly wave: MaintenanceWave;
  readonly startedAt: number;
  state: "active" | "complete";
  /** By machine, the target that ran on it when its maintenance was ordered. */
  readonly #begun: Map<string, string>;
  /** By machine, the time of an order without an answer, by the monotonic clock. */
  readonly #unresolved = new Map<string, number>();
  /** By machine, the time of an order that was carried out, while the machine may still be down. */
  readonly #ordered = new Map<string, number>();

  /**
   * Creates the progress of a wave from its stored record.
   * @param wave - the wave that the operators requested
   * @param stored - the stored progress, or that of a wave that starts now
   */
  constructor(wave: MaintenanceWave, stored: StoredWave) {
    this.wave = wave;
    this.startedAt = stored.startedAt;
    this.state = stored.state;
    this.#begun = new Map(Object.entries(stored.begun));
  }

  /** Returns the progress in its stored form. */
  encode(): StoredWave {
    return { startedAt: this.startedAt, state: this.state, begun: Object.fromEntries(this.#begun) };
  }

  /** Number of machines whose maintenance has begun. */
  begunCount(): number {
    return this.#begun.size;
  }

  /** Lists the machines of the wave that exist and that have neither begun their maintenance nor an unanswered order. */
  listPending(machines: ReadonlyMap<string, Machine>): string[] {
    return this.wave.machineIds.filter(
      (machineId) =>
        machines.has(machineId) && !this.#begun.has(machineId) && !this.#unresolved.has(machineId),
    );
  }

  /** Lists the machines that may be down because of an order for this wave. */
  listOrdered(): string[] {
    return [...this.#ordered.keys(), ...this.#unresolved.keys()];
  }

  /**
   * Counts the machines of the wave that are down or may be down.
   * @param machines - the machines now
   * @param orderedElsewhere - machines that may be down because of orders for other waves; none by default
   */
  countDown(
    machines: ReadonlyMap<string, Machine>,
    orderedElsewhere: ReadonlySet<string> = new Set(),
  ): number {
    const isDown = (machineId: string): boolean =>
      this.#ordered.has(machineId) ||
      this.#unresolved.has(machineId) ||
      orderedElsewhere.has(machineId) ||
      machines.get(machineId)?.state === "maintenance";
    return this.wave.machineIds.filter(isDown).length;
  }

  /** Records that an order is about to be sent; from now on the machine may be down, whatever the outcome. */
  recordOrderSent(machineId: string): void {
    this.#unresolved.set(machineId, performance.now());
  }

  /** Records the outcome of an order; an unknown outcome leaves the order unanswered. */
  recordOutcome(machineId: string, targetId: string, outcome: MachineOrderOutcome): void {
    if (outcome.kind === "unknown") return;
    this.#unresolved.delete(machineId);
    if (outcome.kind === "refused") return;
    this.#begun.set(machineId, targetId);
    this.#ordered.set(machineId, performance.now());
  }

  /** Updates the state of earlier orders from the list of machines. */
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
        // The order can be sent again: the platform answers a repeated order also when the first one was carried out.
        this.#unresolved.delete(machineId);
      }
    }
  }
}
