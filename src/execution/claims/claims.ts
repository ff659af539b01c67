/**
 * At-most-once claims as the executor uses them: finds the owner of a key among the entries and asks it.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../../membership/index.js";
import { delay, rendezvousOwner } from "../../shared/index.js";
import {
  settleClaimCall,
  takeClaimCall,
  type ClaimAnswer,
  type ClaimRequest,
  type ClaimSettlement,
} from "./claim-messages.js";
import { shardOfKey, type ClaimOwner } from "./claim-owner.js";

/** Claims on idempotency keys. */
export interface Claims {
  /** Identifies this entry in asks. */
  readonly entryId: string;
  /**
   * Asks whether a request may run. The caller of this function must not have run it yet.
   * @param ask - the request
   * @param signal - aborts when the request's caller cancelled
   * @returns `granted` only when no other request ran or may run under the key
   */
  take(claimRequest: ClaimRequest, signal: AbortSignal): Promise<ClaimAnswer>;
  /**
   * Reports how a claimed request ended.
   * @param settlement - the end
   * @returns a promise that resolves when the owner holds the report or could not be reached
   */
  settle(settlement: ClaimSettlement): Promise<void>;
  /** Waits for the reports under way and writes what this entry knows as owner, before a planned stop. */
  flush(): Promise<void>;
}

/** What claims work with. */
export interface ClaimsOptions {
  readonly entryId: string;
  readonly peers: Pick<PeerNetwork, "answer" | "call" | "upPeers">;
  readonly owner: ClaimOwner;
  readonly shards: number;
  /** The wait before a request that brought no answer is repeated; 100 ms by default. */
  readonly retryMilliseconds?: number;
}

const callMilliseconds = 1_500;
const settleMilliseconds = 500;
const defaultRetryMilliseconds = 100;
const maximumTries = 3;

/**
 * Creates claims and answers the peers' asks.
 * @param options - this entry, its peers and its owner's side
 * @returns the claims
 */
export function createClaims(options: ClaimsOptions): Claims {
  const { entryId, peers, owner, retryMilliseconds = defaultRetryMilliseconds } = options;
  peers.answer(takeClaimCall, async (claimRequest) => owner.take(claimRequest));
  peers.answer(settleClaimCall, (settlement) => Promise.resolve({ held: owner.settle(settlement) }));

  const findOwner = (key: string): string =>
    rendezvousOwner(`claims/${shardOfKey(key, options.shards)}`, [entryId, ...peers.upPeers()]) ?? entryId;

  const requestFromOwner = async (claimRequest: ClaimRequest): Promise<ClaimAnswer> => {
    const ownerId = findOwner(claimRequest.key);
    if (ownerId === entryId) return owner.take(claimRequest);
    const timeout = Math.max(1, Math.min(callMilliseconds, claimRequest.deadlineAt - Date.now()));
    const reply = await peers.call(ownerId, takeClaimCall, claimRequest, timeout);
    return reply.orDefault({ kind: "unavailable" });
  };

  const settling = new Set<Promise<void>>();
  const settle = async (settlement: ClaimSettlement): Promise<void> => {
    const ownerId = findOwner(settlement.key);
    if (ownerId === entryId) owner.settle(settlement);
    else await peers.call(ownerId, settleClaimCall, settlement, settleMilliseconds);
  };

  return {
    entryId,
    take: async (claimRequest, signal) => {
      // The request may be repeated, also to another owner, because nothing has run under its identifier yet.
      for (let tries = 1; tries < maximumTries; tries += 1) {
        const answer = await requestFromOwner(claimRequest);
        if (answer.kind !== "unavailable") return answer;
        await delay(retryMilliseconds, signal);
        if (signal.aborted || Date.now() >= claimRequest.deadlineAt) return answer;
      }
      return requestFromOwner(claimRequest);
    },
    settle: async (settlement) => {
      const settled = settle(settlement);
      settling.add(settled);
      await settled;
      settling.delete(settled);
    },
    flush: async () => {
      await Promise.all(settling);
      await owner.flush();
    },
  };
}
