/**
 * Status that an entry reports to operators.
 * @packageDocumentation
 */
import type { PeerState } from "../membership/index.js";
import type { Target } from "../pools/index.js";

/** State of an entry, its peers and the instances that it knows. */
export interface EntryStatus {
  readonly entryId: string;
  readonly zone: string;
  readonly ready: boolean;
  readonly configuration: { readonly revision: number; readonly changeId: string | undefined };
  readonly peers: readonly {
    readonly peerId: string;
    readonly state: PeerState;
    readonly configurationRevision: number;
  }[];
  readonly instances: readonly Target[];
  readonly requestsInProgress: number;
}
