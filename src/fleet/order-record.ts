/**
 * Which machines were ordered lately, kept in the store, so that the next holder of the leader role waits only for those.
 * Answers the loss of a holder in a turn of demand: machines that nobody has touched can move at once.
 * @packageDocumentation
 */
import * as z from "zod";
import type { SessionLeaderRole } from "../pool-owners/index.js";
import { parseWith } from "../shared/index.js";
import type { TransactionalStore } from "../store/index.js";
import type { Log } from "../telemetry/index.js";

/** Key of the record. */
export const orderRecordKey = "machine-orders/recent";

const orderRecordSchema = z.object({
  /** Machines that were ordered shortly before the record was written. */
  machineIds: z.array(z.string()),
});

/** Settings of a record. */
export interface OrderRecordOptions {
  readonly store: TransactionalStore;
  readonly leaderRole: SessionLeaderRole;
  /** A machine that an earlier holder ordered is left alone for so long after this entry has taken the leader role. */
  readonly waitMilliseconds: number;
  readonly log: Log;
}

/** The orders of one holding of the leader role, and of the one before. */
export class OrderRecord {
  readonly #options: OrderRecordOptions;
  readonly #earlier: ReadonlySet<string>;
  /** When this holder ordered a machine last, by the monotonic clock. */
  readonly #ordered = new Map<string, number>();

  private constructor(options: OrderRecordOptions, earlier: ReadonlySet<string>) {
    this.#options = options;
    this.#earlier = earlier;
  }

  /**
   * Reads what earlier holders ordered.
   * @param options - the store and the leader role, which this entry holds
   * @returns the record; undefined when the store did not answer
   */
  static async open(options: OrderRecordOptions): Promise<OrderRecord | undefined> {
    const found = await options.store.get(orderRecordKey);
    if (found.isLeft()) return undefined;
    const value = found.orDefault(undefined)?.value;
    const { machineIds } = parseWith(orderRecordSchema, value).orDefault({ machineIds: [] });
    return new OrderRecord(options, new Set(machineIds));
  }

  /** Whether orders of earlier holders can no longer be under way to any machine. */
  isSettled(): boolean {
    const { leaderRole, waitMilliseconds } = this.#options;
    return leaderRole.isHeld() && leaderRole.heldForMilliseconds() >= waitMilliseconds;
  }

  /**
   * Tells whether a machine may be ordered.
   * @param machineId - the machine
   * @returns false while an earlier holder's order for it may be under way
   */
  mayOrder(machineId: string): boolean {
    return this.isSettled() || !this.#earlier.has(machineId);
  }

  /**
   * Stores that machines are about to be ordered.
   * @param machineIds - the machines
   * @returns whether that is stored and this entry still holds the leader role; no order may be given otherwise
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

  /** What the next holder has to wait for: recent orders, and those of earlier holders until they are settled. */
  #listRecent(now: number): string[] {
    for (const [machineId, at] of this.#ordered) {
      if (now - at > this.#options.waitMilliseconds) this.#ordered.delete(machineId);
    }
    const earlier = this.isSettled() ? [] : this.#earlier;
    return [...new Set([...this.#ordered.keys(), ...earlier])];
  }
}
