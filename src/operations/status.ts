/**
 * What an entry says of itself to operators.
 * @packageDocumentation
 */
import type { PeerState } from "../membership/index.js";
import type { Target } from "../pools/index.js";

/** State of an entry as operators see it. */
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
