/**
 * Counts the demand at this entry, at the point where requests acquire slots.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type { SlotAllocator, SlotRequest, SlotGrant, SlotRefusal, SlotUse } from "../routing/index.js";
import type { PoolTotals } from "./messages.js";

/** Demand at this entry since it started. */
export interface DemandCounter {
  /**
   * Returns the totals of a pool, created at first use.
   * @param pool - name of the pool
   * @returns the live totals; callers change them in place to count
   */
  totals(pool: string): PoolTotals;
  /** Returns copies of the totals of all pools by name. */
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

/** Wraps an allocator and counts the demand, without changing requests or results. */
export class DemandCountingAllocator implements SlotAllocator {
  readonly #inner: SlotAllocator;
  readonly #counter: DemandCounter;

  /**
   * Creates the allocator.
   * @param inner - the allocator that handles the requests
   * @param counter - receives the counts
   */
  constructor(inner: SlotAllocator, counter: DemandCounter) {
    this.#inner = inner;
    this.#counter = counter;
  }

  async acquire(slotRequest: SlotRequest, signal: AbortSignal): Promise<Either<SlotRefusal, SlotGrant>> {
    const totals = this.#counter.totals(slotRequest.pool);
    // Only retries exclude instances; a retry of the same request is not additional demand.
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
