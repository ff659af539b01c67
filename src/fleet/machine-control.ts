/**
 * The machines behind the targets, and the orders that the platform takes for them.
 * @packageDocumentation
 */
import type { Metrics } from "../telemetry/index.js";
import type { Either } from "purify-ts";
import type { Resources } from "../jobs/index.js";

/** A machine. A target is one life of it. */
export interface Machine {
  readonly machineId: string;
  readonly pool: string;
  /** `maintenance` while it is down for upkeep. */
  readonly state: "up" | "moving" | "maintenance" | "down";
  readonly availabilityZone: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** The target that it runs now, if any. */
  readonly targetId: string | undefined;
}

/** What an order for a machine brought. */
export type MachineOrderOutcome =
  /** Carried out now or before. */
  | { readonly kind: "done" }
  /** Nothing was done. */
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "unknown"; readonly reason: string };

/** Who gives an order. */
export interface MachineOrderHeader {
  readonly machineId: string;
  readonly holder: string;
  readonly fencingToken: number;
}

/** Lists machines and gives orders for them. */
export interface MachineControl {
  list(): Promise<Either<string, Machine[]>>;
  /** Moves a machine to another pool; what runs on it ends at once. */
  move(order: MachineOrderHeader & { readonly pool: string }): Promise<MachineOrderOutcome>;
  /** Takes a machine down for its maintenance in a wave; what runs on it ends at once. */
  maintain(order: MachineOrderHeader & { readonly wave: number }): Promise<MachineOrderOutcome>;
}

/** A wave of maintenance that the operators ask for. */
export interface MaintenanceWave {
  readonly wave: number;
  readonly machineIds: readonly string[];
  /** How long the wave may take from when it was asked for. */
  readonly durationMilliseconds: number;
  /** Machines that may be down for it at once. */
  readonly maximumDown: number;
}

/**
 * Counts an order.
 * @param metrics - where it is counted
 * @param order - its kind
 * @param outcome - what it brought
 * @returns the outcome as a log line tells it
 */
export function countOrder(
  metrics: Metrics,
  order: "maintain" | "move",
  outcome: MachineOrderOutcome,
): { result: string; reason: string | undefined } {
  metrics.count("machine_orders_total", { order, result: outcome.kind });
  return { result: outcome.kind, reason: outcome.kind === "done" ? undefined : outcome.reason };
}
