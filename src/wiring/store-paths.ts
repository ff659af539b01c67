/**
 * Joins the store with the links between entries: each makes calls to it for others that have no way of their own.
 * @packageDocumentation
 */
import type { OwnerDirectory } from "../pool-owners/index.js";
import type { PeerNetwork } from "../membership/index.js";
import { rendezvousOrder } from "../shared/index.js";
import { createStorePath, RelayedStore, startStoreRelay } from "../store-relays/index.js";
import type { TransactionalStore } from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";

/** What the ways to the store are built from. */
export interface StorePathOptions {
  readonly entryId: string;
  readonly store: TransactionalStore;
  readonly peers: PeerNetwork;
  /** The entries, once they are known. */
  readonly entries: () => ReturnType<OwnerDirectory["entries"]>;
  readonly probeKey: string;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Creates the store as this entry's parts use it, and answers calls of other entries.
 * @param options - the direct path and the other entries
 * @returns the store
 */
export function wireStorePaths(options: StorePathOptions): TransactionalStore {
  const { entryId, store: direct, peers, entries, probeKey, log, metrics } = options;
  const path = createStorePath();
  startStoreRelay({ peers, direct, path, metrics });
  const candidates = (): string[] => {
    const others = [...entries().keys()].filter((peerId) => peerId !== entryId);
    return rendezvousOrder(entryId, others);
  };
  return new RelayedStore({ direct, path, peers, candidates, probeKey, log, metrics });
}
