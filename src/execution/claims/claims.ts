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
  type ClaimAsk,
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
  take(ask: ClaimAsk, signal: AbortSignal): Promise<ClaimAnswer>;
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
  /** The wait before an ask that brought no answer is repeated; 100 ms by default. */
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
  peers.answer(takeClaimCall, async (ask) => owner.take(ask));
  peers.answer(settleClaimCall, (settlement) => Promise.resolve({ held: owner.settle(settlement) }));

  const findOwner = (key: string): string =>
    rendezvousOwner(`claims/${shardOfKey(key, options.shards)}`, [entryId, ...peers.upPeers()]) ?? entryId;

  const askOwner = async (ask: ClaimAsk): Promise<ClaimAnswer> => {
    const ownerId = findOwner(ask.key);
    if (ownerId === entryId) return owner.take(ask);
    const timeout = Math.max(1, Math.min(callMilliseconds, ask.deadlineAt - Date.now()));
    const reply = await peers.call(ownerId, takeClaimCall, ask, timeout);
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
    take: async (ask, signal) => {
      // The ask may be repeated, also to another owner, because nothing has run under its identifier yet.
      for (let tries = 1; tries < maximumTries; tries += 1) {
        const answer = await askOwner(ask);
        if (answer.kind !== "unavailable") return answer;
        await delay(retryMilliseconds, signal);
        if (signal.aborted || Date.now() >= ask.deadlineAt) return answer;
      }
      return askOwner(ask);
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
