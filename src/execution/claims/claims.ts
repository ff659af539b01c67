/**
 * Client side of at-most-once claims: finds the entry that owns a key's shard and sends it the claim request.
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
  /** Identifies this entry in claim requests. */
  readonly entryId: string;
  /**
   * Requests the claim on an idempotency key. Must be called before the request under `claimId` runs.
   * @param claimRequest - key, claim and deadline of the request
   * @param signal - aborted when the request's caller cancels
   * @returns `granted` only when no other request has run or may run with the key
   */
  take(claimRequest: ClaimRequest, signal: AbortSignal): Promise<ClaimAnswer>;
  /**
   * Reports how a claimed request ended.
   * @param settlement - the claim and how its request ended
   * @returns a promise that resolves when the owner has recorded the report or could not be reached
   */
  settle(settlement: ClaimSettlement): Promise<void>;
  /**
   * Waits for pending reports, and writes the settlements that this entry has recorded as owner. Called before a
   * planned stop, so that they survive this process.
   */
  flush(): Promise<void>;
}

/** Options of {@link createClaims}. */
export interface ClaimsOptions {
  readonly entryId: string;
  readonly peers: Pick<PeerNetwork, "answer" | "call" | "upPeers">;
  readonly owner: ClaimOwner;
  readonly shards: number;
  /** Delay before a claim request that got no answer is repeated; 100 ms by default. */
  readonly retryMilliseconds?: number;
}

const takeTimeoutMilliseconds = 1_500;
const settleTimeoutMilliseconds = 500;
const defaultRetryMilliseconds = 100;
const maximumAttempts = 3;

/**
 * Creates the client side of claims, and registers this entry's claim owner for calls of its peers.
 * @param options - this entry, its peers and its claim owner
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
    const timeout = Math.max(1, Math.min(takeTimeoutMilliseconds, claimRequest.deadlineAt - Date.now()));
    const reply = await peers.call(ownerId, takeClaimCall, claimRequest, timeout);
    return reply.orDefault({ kind: "unavailable" });
  };

  const pendingSettlements = new Set<Promise<void>>();
  const settle = async (settlement: ClaimSettlement): Promise<void> => {
    const ownerId = findOwner(settlement.key);
    if (ownerId === entryId) owner.settle(settlement);
    else await peers.call(ownerId, settleClaimCall, settlement, settleTimeoutMilliseconds);
  };

  return {
    entryId,
    take: async (claimRequest, signal) => {
      // Repeating the claim request is safe, even to another owner, because nothing has run with its claimId yet.
      for (let attempt = 1; attempt < maximumAttempts; attempt += 1) {
        const answer = await requestFromOwner(claimRequest);
        if (answer.kind !== "unavailable") return answer;
        await delay(retryMilliseconds, signal);
        if (signal.aborted || Date.now() >= claimRequest.deadlineAt) return answer;
      }
      return requestFromOwner(claimRequest);
    },
    settle: async (settlement) => {
      const settled = settle(settlement);
      pendingSettlements.add(settled);
      await settled;
      pendingSettlements.delete(settled);
    },
    flush: async () => {
      await Promise.all(pendingSettlements);
      await owner.flush();
    },
  };
}
