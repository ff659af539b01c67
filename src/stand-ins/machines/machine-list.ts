/**
 * Machines that move between pools and go down for maintenance. After each return a machine runs a new target.
 * @packageDocumentation
 */
import type { Machine, MaintenanceWave } from "../../fleet/index.js";

/** An order for a machine. */
export interface MachineOrder {
  readonly kind: "move" | "maintain";
  readonly machineId: string;
  readonly holder: string;
  readonly fencingToken: number;
  /** The pool to move to; empty for maintenance. */
  readonly pool: string;
  /** The wave of the maintenance; 0 for a move. */
  readonly wave: number;
}

/** The result of an order. */
export type MachineOrderResult = "done" | "busy" | "other-wave" | "unknown-machine";

/** Callbacks to end and start the targets of machines and to record orders. */
export interface MachineHooks {
  /** Ends the target at once. */
  endTarget(targetId: string): void;
  /** Starts a new target on the machine and returns its identifier. */
  startTarget(machine: Machine): Promise<string>;
  /** Called when an order begins to be carried out. */
  onOrder(order: MachineOrder): void;
  /** Called when the machine is up again. */
  onReturn(machineId: string): void;
  /** Returns the waves that operators have requested. */
  waves(): readonly MaintenanceWave[];
}

/** Durations of orders. */
export interface MachineTimes {
  readonly moveMilliseconds: number;
  readonly maintenanceMilliseconds: number;
}

/** The list of machines; carries out orders for them. */
export class MachineList {
  readonly #machines = new Map<string, Machine>();
  readonly #maintained = new Set<string>();
  readonly #timers = new Set<NodeJS.Timeout>();

  /**
   * Creates an empty list.
   * @param hooks - called when targets of machines have to end or start
   * @param times - durations of moves and maintenance in milliseconds
   */
  constructor(
    private readonly hooks: MachineHooks,
    private readonly times: MachineTimes,
  ) {}

  /** Adds or replaces a machine. */
  set(machine: Machine): void {
    this.#machines.set(machine.machineId, machine);
  }

  /** Returns all machines. */
  list(): Machine[] {
    return [...this.#machines.values()];
  }

  /** Begins to carry out an order, or returns the reason for a refusal; an order that was carried out before is done. */
  order(order: MachineOrder): MachineOrderResult {
    const machine = this.#machines.get(order.machineId);
    if (machine === undefined) return "unknown-machine";
    if (this.#isDone(machine, order)) return "done";
    if (machine.state !== "up" || machine.targetId === undefined) return "busy";
    if (order.kind === "maintain" && !this.#isInWave(order)) return "other-wave";
    this.hooks.onOrder(order);
    this.#begin(machine, machine.targetId, order);
    return "done";
  }

  /** Cancels all timers; machines that are down stay down. */
  close(): void {
    for (const timer of this.#timers) clearTimeout(timer);
  }

  #isDone(machine: Machine, { kind, pool, wave, machineId }: MachineOrder): boolean {
    return kind === "move" ? machine.pool === pool : this.#maintained.has(`${wave}/${machineId}`);
  }

  #isInWave({ wave, machineId }: MachineOrder): boolean {
    return this.hooks.waves().some((each) => each.wave === wave && each.machineIds.includes(machineId));
  }

  #begin(machine: Machine, targetId: string, { kind, pool, wave }: MachineOrder): void {
    const { machineId } = machine;
    if (kind === "maintain") this.#maintained.add(`${wave}/${machineId}`);
    const state = kind === "move" ? "moving" : "maintenance";
    const away: Machine = { ...machine, pool: kind === "move" ? pool : machine.pool, state };
    this.#machines.set(machineId, { ...away, targetId: undefined });
    this.hooks.endTarget(targetId);
    const { moveMilliseconds, maintenanceMilliseconds } = this.times;
    const timer = setTimeout(
      () => {
        this.#timers.delete(timer);
        void this.#return(away);
      },
      kind === "move" ? moveMilliseconds : maintenanceMilliseconds,
    );
    this.#timers.add(timer);
  }

  async #return(away: Machine): Promise<void> {
    const targetId = await this.hooks.startTarget(away);
    this.#machines.set(away.machineId, { ...away, state: "up", targetId });
    this.hooks.onReturn(away.machineId);
  }
}
