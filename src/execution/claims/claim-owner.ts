/**
 * Grants claims on the keys of the shards that this entry owns, and reports how earlier requests with a key ended.
 * @packageDocumentation
 */
import { hashText } from "../../shared/index.js";
import type { IndexedClaim } from "./claim-index.js";
import { createClaimLog, type ClaimLog, type ClaimLogOptions } from "./claim-log.js";
import { createClaimMemory, type ClaimMemoryOptions } from "./claim-memory.js";
import type { ClaimAnswer, ClaimRequest, ClaimSettlement } from "./claim-messages.js";

/** Owner of key shards: grants and settles claims. */
export interface ClaimOwner {
  /** Grants the claim on a key to a request, or returns the state of the earlier request that has the claim. */
  take(claimRequest: ClaimRequest): Promise<ClaimAnswer>;
  /** Records how a claimed request ended; returns whether the report is recorded. */
  settle(settlement: ClaimSettlement): boolean;
  /** Writes the ends of claims that no commit has written yet. */
  flush(): Promise<void>;
}

/** Options of {@link createClaimOwner}. */
export interface ClaimOwnerOptions extends Omit<ClaimLogOptions, "shard"> {
  readonly shards: number;
  readonly memory: ClaimMemoryOptions;
  /** Whether an entry is reachable; true for this entry. */
  isUp(entryId: string): boolean;
}

interface PendingRecord {
  readonly claimId: string;
  readonly answer: Promise<ClaimAnswer | undefined>;
}

const maximumAttempts = 3;

/**
 * Computes the shard of a key.
 * @param key - digest of the key
 * @param shards - number of shards
 * @returns the shard's number, from 0 to `shards` - 1
 */
export function shardOfKey(key: string, shards: number): number {
  return hashText(key) % shards;
}

/**
 * Creates a claim owner. It reads a shard's log when a claim in that shard is first requested.
 * @param options - store, periods and limits
 * @returns the owner
 */
export function createClaimOwner(options: ClaimOwnerOptions): ClaimOwner {
  const logs = new Map<number, ClaimLog>();
  const memory = createClaimMemory(options.memory);
  const pendingRecords = new Map<string, PendingRecord>();

  const openLog = (key: string): ClaimLog => {
    const shard = shardOfKey(key, options.shards);
    const log = logs.get(shard) ?? createClaimLog({ ...options, shard });
    logs.set(shard, log);
    return log;
  };

  const isReleased = (claim: IndexedClaim): boolean =>
    claim.settledState === "released" || memory.find(claim.claimId)?.state === "released";

  const describeEarlierClaim = (claim: IndexedClaim, claimRequest: ClaimRequest): ClaimAnswer => {
    if (claim.fingerprint !== claimRequest.fingerprint) return { kind: "key-reused" };
    const run = memory.find(claim.claimId);
    if (run?.state === "finished" && run.answer !== undefined)
      return { kind: "finished", answer: run.answer };
    if (run?.state === "finished" || claim.settledState === "finished") return { kind: "already-run" };
    const isRunning = run?.state === "running" && run.deadlineAt > options.now() && options.isUp(run.entryId);
    return { kind: isRunning ? "already-running" : "unknown" };
  };

  /** Answers from the loaded log and the memory; undefined when no claim on the key is known. */
  const findKnownAnswer = (log: ClaimLog, claimRequest: ClaimRequest): ClaimAnswer | undefined => {
    const claim = log.find(claimRequest.key);
    if (claim === undefined || isReleased(claim)) return undefined;
    // The requester does not run the request until it has the grant, so a repeated claim request gets the same grant.
    return claim.claimId === claimRequest.claimId
      ? { kind: "granted" }
      : describeEarlierClaim(claim, claimRequest);
  };

  const record = async (log: ClaimLog, claimRequest: ClaimRequest): Promise<ClaimAnswer | undefined> => {
    const { key, claimId, fingerprint } = claimRequest;
    const claim = { key, claimId, fingerprint };
    const result = await log.record(claim, () => findKnownAnswer(log, claimRequest) === undefined);
    pendingRecords.delete(key);
    if (result === "recorded") return { kind: "granted" };
    return result === "unavailable" ? { kind: "unavailable" } : undefined;
  };

  const recordOnce = async (log: ClaimLog, claimRequest: ClaimRequest): Promise<ClaimAnswer | undefined> => {
    const current = pendingRecords.get(claimRequest.key);
    if (current !== undefined) {
      return current.claimId === claimRequest.claimId ? current.answer : { kind: "already-running" };
    }
    const answer = record(log, claimRequest);
    pendingRecords.set(claimRequest.key, { claimId: claimRequest.claimId, answer });
    return answer;
  };

  const take = async (claimRequest: ClaimRequest): Promise<ClaimAnswer> => {
    const log = openLog(claimRequest.key);
    for (let attempt = 1; attempt <= maximumAttempts; attempt += 1) {
      const known = findKnownAnswer(log, claimRequest);
      if (known !== undefined) return known;
      if (!log.isLoaded()) {
        if (!(await log.load())) return { kind: "unavailable" };
        continue;
      }
      const answer = await recordOnce(log, claimRequest);
      if (answer !== undefined) return answer;
    }
    return { kind: "unavailable" };
  };

  return {
    take: async (claimRequest) => {
      const answer = await take(claimRequest);
      if (answer.kind === "granted")
        memory.start(claimRequest.claimId, claimRequest.entryId, claimRequest.deadlineAt);
      return answer;
    },
    settle: (settlement) => {
      memory.settle(settlement);
      const { key, claimId, state } = settlement;
      if (state !== "unknown") openLog(key).queueSettlement({ key, claimId, state });
      return true;
    },
    flush: async () => {
      await Promise.all([...logs.values()].map(async (log) => log.flush()));
    },
  };
}
