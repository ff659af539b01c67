/**
 * The machines behind the targets, and the orders that the platform accepts for them.
 * @packageDocumentation
 */
import type { Metrics } from "../telemetry/index.js";
import type { Either } from "purify-ts";
import type { Resources } from "../jobs/index.js";

/** A machine. A target is one lifetime of a machine: the period between a start and the next stop. */
export interface Machine {
  readonly machineId: string;
  readonly pool: string;
  /** `maintenance` while the machine is down for planned maintenance; `down` when it is down for another reason. */
  readonly state: "up" | "moving" | "maintenance" | "down";
  readonly availabilityZone: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** The target that runs on the machine now; undefined while none does. */
  readonly targetId: string | undefined;
}

/** The outcome of an order for a machine. */
export type MachineOrderOutcome =
  /** Carried out, now or by an earlier order of the same content. */
  | { readonly kind: "done" }
  /** The platform refused the order and changed nothing. */
  | { readonly kind: "refused"; readonly reason: string }
  /** No usable answer: the order may have been carried out. */
  | { readonly kind: "unknown"; readonly reason: string };

/** The fields that all orders have: the machine, and the sender with its fencing token. */
export interface MachineOrderHeader {
  readonly machineId: string;
  readonly holder: string;
  readonly fencingToken: number;
}

/** The platform's interface for machines. */
export interface MachineControl {
  /** Lists all machines; the left side holds the reason why the list could not be read. */
  list(): Promise<Either<string, Machine[]>>;
  /** Moves a machine to another pool; tasks that run on it end at once. */
  move(order: MachineOrderHeader & { readonly pool: string }): Promise<MachineOrderOutcome>;
  /** Takes a machine down for its maintenance in a wave; tasks that run on it end at once. */
  maintain(order: MachineOrderHeader & { readonly wave: number }): Promise<MachineOrderOutcome>;
}

/** A maintenance wave that the operators requested. */
export interface MaintenanceWave {
  readonly wave: number;
  readonly machineIds: readonly string[];
  /** Time that the whole wave may take, counted from the operators' request. */
  readonly durationMilliseconds: number;
  /** Machines of the wave that may be down at once. */
  readonly maximumDown: number;
}

/**
 * Counts an order in the metrics.
 * @param metrics - receives the count
 * @param order - the kind of the order, used as a label
 * @param outcome - the outcome of the order, whose kind is used as a label
 * @returns the outcome as log fields; the reason is undefined for an order that was carried out
 */
export function countOrder(
  metrics: Metrics,
  order: "maintain" | "move",
  outcome: MachineOrderOutcome,
): { result: string; reason: string | undefined } {
  metrics.count("machine_orders_total", { order, result: outcome.kind });
  return { result: outcome.kind, reason: outcome.kind === "done" ? undefined : outcome.reason };
}
