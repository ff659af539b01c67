/**
 * Wires store relays: an entry that can reach the store makes calls to it for entries that cannot.
 * @packageDocumentation
 */
import type { OwnerDirectory } from "../pool-owners/index.js";
import type { PeerNetwork } from "../membership/index.js";
import { rendezvousOrder } from "../shared/index.js";
import { createStorePath, RelayedStore, startStoreRelay } from "../store-relays/index.js";
import type { TransactionalStore } from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";

/** Dependencies of the paths to the store. */
export interface StorePathOptions {
  readonly entryId: string;
  readonly store: TransactionalStore;
  readonly peers: PeerNetwork;
  /** The known entries with their capacities; empty until the first list. */
  readonly entries: () => ReturnType<OwnerDirectory["entries"]>;
  /** Key that is read to check whether the store is reachable. */
  readonly probeKey: string;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Creates the store client for this entry's components, and starts to relay calls of other entries.
 * @param options - the direct store client and the other entries
 * @returns a store client that relays calls through other entries while the direct path fails
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
