/**
 * Stores which machines were ordered recently. When the holder of the leader role is lost during a load surge, the next
 * holder waits only for these machines, and can move all other machines at once.
 * @packageDocumentation
 */
import * as z from "zod";
import type { SessionLeaderRole } from "../pool-owners/index.js";
import { parseWith } from "../shared/index.js";
import type { TransactionalStore } from "../store/index.js";
import type { Log } from "../telemetry/index.js";

/** Store key of the record. */
export const orderRecordKey = "machine-orders/recent";

const orderRecordSchema = z.object({
  /** Machines that were ordered shortly before the record was written. */
  machineIds: z.array(z.string()),
});

/** Settings of a record. */
export interface OrderRecordOptions {
  readonly store: TransactionalStore;
  readonly leaderRole: SessionLeaderRole;
  /**
   * How long after taking the leader role this entry sends no orders for machines that an earlier holder ordered; after it,
   * no order of an earlier holder can still take effect.
   */
  readonly waitMilliseconds: number;
  readonly log: Log;
}

/** The recent orders of the present leadership term and those of earlier terms that may still take effect. */
export class OrderRecord {
  readonly #options: OrderRecordOptions;
  readonly #earlier: ReadonlySet<string>;
  /** Time of this holder's last order by machine, by the monotonic clock. */
  readonly #ordered = new Map<string, number>();

  private constructor(options: OrderRecordOptions, earlier: ReadonlySet<string>) {
    this.#options = options;
    this.#earlier = earlier;
  }

  /**
   * Reads the recent orders of earlier holders from the store.
   * @param options - the store and the leader role, which this entry must hold
   * @returns the record; undefined when the store did not answer
   */
  static async open(options: OrderRecordOptions): Promise<OrderRecord | undefined> {
    const found = await options.store.get(orderRecordKey);
    if (found.isLeft()) return undefined;
    const value = found.orDefault(undefined)?.value;
    const { machineIds } = parseWith(orderRecordSchema, value).orDefault({ machineIds: [] });
    return new OrderRecord(options, new Set(machineIds));
  }

  /** Whether no order of an earlier holder can still be in flight. */
  isSettled(): boolean {
    const { leaderRole, waitMilliseconds } = this.#options;
    return leaderRole.isHeld() && leaderRole.heldForMilliseconds() >= waitMilliseconds;
  }

  /**
   * Checks whether this holder may send an order for a machine.
   * @param machineId - identifier of the machine
   * @returns false while an earlier holder's order for the machine may still be in flight
   */
  mayOrder(machineId: string): boolean {
    return this.isSettled() || !this.#earlier.has(machineId);
  }

  /**
   * Stores machines as recently ordered. Must be called before the orders are sent.
   * @param machineIds - identifiers of the machines
   * @returns true if the record is stored and this entry still holds the leader role; otherwise no order may be sent
   */
  async recordOrders(machineIds: readonly string[]): Promise<boolean> {
    const { store, leaderRole, log } = this.#options;
    const now = performance.now();
    for (const machineId of machineIds) this.#ordered.set(machineId, now);
    const value = { machineIds: this.#listRecent(now) };
    const result = await store.transact({
      expected: [leaderRole.expectHeld()],
      writes: [{ key: orderRecordKey, value }],
    });
    if (result.kind === "done") return leaderRole.isHeld();
    log.write("warn", "orders-not-noted", { machines: machineIds.length, result: result.kind });
    return false;
  }

  /** Lists the machines that a next holder must not order yet: recent orders, and unsettled ones of earlier holders. */
  #listRecent(now: number): string[] {
    for (const [machineId, at] of this.#ordered) {
      if (now - at > this.#options.waitMilliseconds) this.#ordered.delete(machineId);
    }
    const earlier = this.isSettled() ? [] : this.#earlier;
    return [...new Set([...this.#ordered.keys(), ...earlier])];
  }
}
