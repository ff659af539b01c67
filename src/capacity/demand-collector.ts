/**
 * Collects the demand of all entries into one tracker for each pool. Only the holder of the capacity leader role collects.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import { createDemandTracker, type DemandTracker, type PoolDemand } from "./demand-tracker.js";
import type { DemandCounter } from "./demand-counter.js";
import { readDemand, type PoolTotals } from "./messages.js";

/** The demand of all pools. */
export interface DemandCollector {
  /**
   * Reads the demand totals of all entries and passes the increases to the trackers. Entries that do not answer are left out.
   * @param pools - the configured pools with their declared run times
   */
  collect(pools: readonly CollectedPool[]): Promise<void>;
  /** Returns the estimated demand of a pool; undefined until enough collections have been made. */
  demand(pool: string): PoolDemand | undefined;
}

/** A pool whose demand is collected. */
export interface CollectedPool {
  readonly name: string;
  readonly declaredRunSeconds: number;
}

/** The totals of an entry at one collection. */
interface EntryTotals {
  readonly incarnation: number;
  readonly pools: Readonly<Record<string, PoolTotals>>;
}

interface ObservedPool {
  readonly tracker: DemandTracker;
  observations: number;
}

const callTimeoutMilliseconds = 500;
const minimumObservations = 60;
const millisecondsPerSecond = 1_000;
/** Limits the weight of one collection, whose runs are known only by their mean. */
const maximumRunsPerCollection = 20;
const noTotals: PoolTotals = { arrivals: 0, waiting: 0, runs: 0, runMilliseconds: 0 };

/**
 * Creates a collector.
 * @param peers - the network for calls to the other entries
 * @param counter - the demand of this entry
 * @returns the collector, without any demand
 */
export function createDemandCollector(peers: PeerNetwork, counter: DemandCounter): DemandCollector {
  const observed = new Map<string, ObservedPool>();
  const before = new Map<string, EntryTotals>();
  /** When demand was last collected, in seconds of the monotonic clock; undefined before the first collection. */
  let collectedAt: number | undefined;

  const readAll = async (): Promise<Map<string, EntryTotals>> => {
    const found = new Map<string, EntryTotals>([["", { incarnation: 0, pools: counter.all() }]]);
    const readPeer = async (peerId: string): Promise<void> => {
      const answer = await peers.call(peerId, readDemand, {}, callTimeoutMilliseconds);
      answer.ifRight((totals) => found.set(peerId, totals));
    };
    await Promise.all(peers.upPeers().map(readPeer));
    return found;
  };

  const observe = (
    pool: CollectedPool,
    increases: readonly PoolTotals[],
    now: number,
    seconds: number,
  ): void => {
    const entry = observed.get(pool.name) ?? {
      tracker: createDemandTracker(pool.declaredRunSeconds),
      observations: 0,
    };
    observed.set(pool.name, entry);
    const total = increases.reduce(addTotals, noTotals);
    const { tracker } = entry;
    tracker.observe({ atSeconds: now, arrivals: total.arrivals / seconds, queued: total.waiting });
    const mean = total.runMilliseconds / Math.max(1, total.runs) / millisecondsPerSecond;
    for (let run = 0; run < Math.min(total.runs, maximumRunsPerCollection); run += 1) tracker.recordRun(mean);
    entry.observations += 1;
  };

  return {
    collect: async (pools) => {
      const found = await readAll();
      const now = performance.now() / millisecondsPerSecond;
      const seconds = collectedAt === undefined ? undefined : now - collectedAt;
      // Without any time in between there is no rate: the next collection counts both increases.
      if (seconds !== undefined && seconds <= 0) return;
      collectedAt = now;
      for (const pool of pools) {
        const increases = [...found].map(([entryId, totals]) =>
          subtractTotals(pool.name, totals, before.get(entryId)),
        );
        if (seconds !== undefined) observe(pool, increases, now, seconds);
      }
      for (const [entryId, totals] of found) before.set(entryId, totals);
    },
    demand: (pool) => {
      const entry = observed.get(pool);
      return entry === undefined || entry.observations < minimumObservations
        ? undefined
        : entry.tracker.estimate();
    },
  };
}

/**
 * Computes the demand since the last collection. An entry that is new or has restarted counts from now on, because the time
 * of its earlier requests is unknown.
 */
function subtractTotals(pool: string, now: EntryTotals, before: EntryTotals | undefined): PoolTotals {
  const later = now.pools[pool] ?? noTotals;
  const isKnown = before?.incarnation === now.incarnation;
  const earlier = isKnown ? (before.pools[pool] ?? noTotals) : later;
  return {
    arrivals: later.arrivals - earlier.arrivals,
    waiting: later.waiting,
    runs: later.runs - earlier.runs,
    runMilliseconds: later.runMilliseconds - earlier.runMilliseconds,
  };
}

function addTotals(left: PoolTotals, right: PoolTotals): PoolTotals {
  return {
    arrivals: left.arrivals + right.arrivals,
    waiting: left.waiting + right.waiting,
    runs: left.runs + right.runs,
    runMilliseconds: left.runMilliseconds + right.runMilliseconds,
  };
}
