/**
 * Counts the demand that this entry sees, at the place where requests ask for slots.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type { SlotAllocator, SlotRequest, SlotGrant, SlotRefusal, SlotUse } from "../routing/index.js";
import type { PoolTotals } from "./messages.js";

/** Demand seen by this entry since it started. */
export interface DemandCounter {
  /**
   * Reads the totals of a pool, created at first use.
   * @param pool - the pool
   * @returns the totals, changed in place by those who count
   */
  totals(pool: string): PoolTotals;
  /** The totals of all pools by name. */
  all(): Record<string, PoolTotals>;
}

/**
 * Creates a counter.
 * @returns the counter, without any demand
 */
export function createDemandCounter(): DemandCounter {
  const pools = new Map<string, PoolTotals>();
  return {
    totals: (pool) => {
      const totals = pools.get(pool) ?? { arrivals: 0, waiting: 0, runs: 0, runMilliseconds: 0 };
      pools.set(pool, totals);
      return totals;
    },
    all: () => Object.fromEntries([...pools].map(([pool, totals]) => [pool, { ...totals }])),
  };
}

/** Counts what passes an allocator and changes nothing of it. */
export class DemandCountingAllocator implements SlotAllocator {
  readonly #inner: SlotAllocator;
  readonly #counter: DemandCounter;

  /**
   * Creates the allocator.
   * @param inner - the allocator that decides
   * @param counter - takes what is counted
   */
  constructor(inner: SlotAllocator, counter: DemandCounter) {
    this.#inner = inner;
    this.#counter = counter;
  }

  async acquire(slotRequest: SlotRequest, signal: AbortSignal): Promise<Either<SlotRefusal, SlotGrant>> {
    const totals = this.#counter.totals(slotRequest.pool);
    // A later attempt of the same request is no further demand.
    if (slotRequest.excludedInstances.length === 0) totals.arrivals += 1;
    totals.waiting += 1;
    try {
      return await this.#inner.acquire(slotRequest, signal);
    } finally {
      totals.waiting -= 1;
    }
  }

  release(grant: SlotGrant, use: SlotUse): void {
    if (use.verdict === "ok") {
      const totals = this.#counter.totals(grant.target.pool);
      totals.runs += 1;
      totals.runMilliseconds += use.runMilliseconds;
    }
    this.#inner.release(grant, use);
  }

  inProgress(instanceId: string): number {
    return this.#inner.inProgress(instanceId);
  }

  close(): void {
    this.#inner.close();
  }
}
