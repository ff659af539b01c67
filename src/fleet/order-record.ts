/**
 * Stores which machines were ordered recently. When the holder of the leader role is lost during a load surge, the next
 * holder waits only for these machines, each from its own order on, and can move all other machines at once.
 * @packageDocumentation
 */
import * as z from "zod";
import type { SessionLeaderRole } from "../pool-owners/index.js";
import { parseWith } from "../shared/index.js";
import type { StoreRecord, TransactionalStore, TransactionResult } from "../store/index.js";
import type { Log } from "../telemetry/index.js";

/** Prefix of the records, one for each batch of orders. */
export const orderRecordPrefix = "machine-orders/recent/";

const orderRecordSchema = z.object({
  /** Machines that were ordered shortly after the record was written. */
  machineIds: z.array(z.string()),
});

const millisecondsPerSecond = 1_000;
/** A record that took longer to store would end too early. */
const slowRecordMilliseconds = 200;

/** The result of storing a batch: that of the transaction, or `no-lease` when the store granted or renewed none. */
type RecordResult = TransactionResult["kind"] | "no-lease";

/** Settings of a record. */
export interface OrderRecordOptions {
  readonly store: TransactionalStore;
  readonly leaderRole: SessionLeaderRole;
  /** How long after an order was recorded no other holder sends one for its machine; after it, it cannot take effect. */
  readonly waitMilliseconds: number;
  readonly log: Log;
}

/**
 * The recent orders of the present leadership term and those of earlier terms that may still take effect. A store that ends
 * leases while it is down frees machines earlier than that.
 */
export class OrderRecord {
  readonly #options: OrderRecordOptions;
  /** Machines that earlier holders ordered, as last read. */
  #earlier: ReadonlySet<string>;
  #batches = 0;

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
    const earlier = await readEarlier(options);
    return earlier === undefined ? undefined : new OrderRecord(options, earlier);
  }

  /** Reads again which orders of earlier holders may still take effect, as long as there are any. */
  async refresh(): Promise<void> {
    if (this.isSettled()) return;
    this.#earlier = (await readEarlier(this.#options)) ?? this.#earlier;
  }

  /** Whether no order of an earlier holder can still be in flight. */
  isSettled(): boolean {
    const { leaderRole, waitMilliseconds } = this.#options;
    if (!leaderRole.isHeld()) return false;
    return this.#earlier.size === 0 || leaderRole.heldForMilliseconds() >= waitMilliseconds;
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
   * Stores machines as recently ordered, under a lease of its own: the store removes the record once the orders can no
   * longer take effect. Must be called before the orders are sent.
   * @param machineIds - identifiers of the machines
   * @returns true if the record is stored and this entry still holds the leader role; otherwise no order may be sent
   */
  async recordOrders(machineIds: readonly string[]): Promise<boolean> {
    const { leaderRole, log } = this.#options;
    const result = await this.#store(machineIds);
    if (result === "done") return leaderRole.isHeld();
    log.write("warn", "orders-not-noted", { machines: machineIds.length, result });
    return false;
  }

  async #store(machineIds: readonly string[]): Promise<RecordResult> {
    const { store, leaderRole, waitMilliseconds } = this.#options;
    const startedAt = performance.now();
    const granted = await store.grantLease(waitMilliseconds / millisecondsPerSecond);
    const lease = granted.toMaybe().extract();
    if (lease === undefined) return "no-lease";
    this.#batches += 1;
    const key = `${termPrefix(leaderRole)}${this.#batches}`;
    const { kind } = await store.transact({
      expected: [leaderRole.expectHeld()],
      writes: [{ key, value: { machineIds }, leaseId: lease.leaseId }],
    });
    if (kind !== "done" || performance.now() - startedAt < slowRecordMilliseconds) return kind;
    // The wait counts from the order, which is sent only now.
    const renewed = await store.renewLease(lease.leaseId);
    return renewed.orDefault(false) ? "done" : "no-lease";
  }
}

/** Prefix of the records of the present leadership term. */
function termPrefix(leaderRole: SessionLeaderRole): string {
  return `${orderRecordPrefix}${leaderRole.fencingToken()}/`;
}

/** Reads which machines other holders ordered recently; undefined when the store did not answer. */
async function readEarlier({
  store,
  leaderRole,
}: OrderRecordOptions): Promise<ReadonlySet<string> | undefined> {
  const own = termPrefix(leaderRole);
  const found = await store.list(orderRecordPrefix);
  const records = found.toMaybe().extract()?.records;
  const machineIds = records?.filter(({ key }) => !key.startsWith(own)).flatMap(decodeMachineIds);
  return machineIds === undefined ? undefined : new Set(machineIds);
}

function decodeMachineIds({ value }: StoreRecord): readonly string[] {
  return parseWith(orderRecordSchema, value).orDefault({ machineIds: [] }).machineIds;
}
