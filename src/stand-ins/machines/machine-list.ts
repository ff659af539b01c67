/**
 * Machines that move between pools and go down for maintenance; each life of one is a target.
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

/** What an order brought. */
export type MachineOrderResult = "done" | "busy" | "other-wave" | "unknown-machine";

/** What happens to the target of a machine. */
export interface MachineHooks {
  /** Ends the target at once. */
  endTarget(targetId: string): void;
  /** Starts a new target on the machine and returns its identifier. */
  startTarget(machine: Machine): Promise<string>;
  /** An order that was carried out. */
  onOrder(order: MachineOrder): void;
  /** The machine is up again. */
  onReturn(machineId: string): void;
  /** The waves that operators have asked for. */
  waves(): readonly MaintenanceWave[];
}

/** How long orders take. */
export interface MachineTimes {
  readonly moveMilliseconds: number;
  readonly maintenanceMilliseconds: number;
}

/** Keeps machines and carries out orders for them. */
export class MachineList {
  readonly #machines = new Map<string, Machine>();
  readonly #maintained = new Set<string>();
  readonly #timers = new Set<NodeJS.Timeout>();

  /**
   * Creates a list.
   * @param hooks - what happens to targets
   * @param times - how long orders take
   */
  constructor(
    private readonly hooks: MachineHooks,
    private readonly times: MachineTimes,
  ) {}

  /** Adds a machine, or replaces what is known of it. */
  set(machine: Machine): void {
    this.#machines.set(machine.machineId, machine);
  }

  /** All machines. */
  list(): Machine[] {
    return [...this.#machines.values()];
  }

  /** Carries out an order or says why not. */
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

  /** Ends timers; machines that are down stay so. */
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
