/**
 * Answers for the key shards that this entry owns: who may run under a key, and what became of earlier requests.
 * @packageDocumentation
 */
import { hashText } from "../../shared/index.js";
import type { IndexedClaim } from "./claim-index.js";
import { createClaimLog, type ClaimLog, type ClaimLogOptions } from "./claim-log.js";
import { createClaimMemory, type ClaimMemoryOptions } from "./claim-memory.js";
import type { ClaimAnswer, ClaimRequest, ClaimSettlement } from "./claim-messages.js";

/** The owner's side of claims. */
export interface ClaimOwner {
  /** Answers a request. */
  take(claimRequest: ClaimRequest): Promise<ClaimAnswer>;
  /** Takes a report of a claim's end; returns whether it is held. */
  settle(settlement: ClaimSettlement): boolean;
  /** Writes the ends of claims that no later commit has taken along. */
  flush(): Promise<void>;
}

/** What an owner works with. */
export interface ClaimOwnerOptions extends Omit<ClaimLogOptions, "shard"> {
  readonly shards: number;
  readonly memory: ClaimMemoryOptions;
  /** Whether an entry answers, this one included. */
  isUp(entryId: string): boolean;
}

interface Recording {
  readonly claimId: string;
  readonly answer: Promise<ClaimAnswer | undefined>;
}

const maximumTries = 3;

/**
 * Picks the shard of a key.
 * @param key - digest of the key
 * @param shards - how many shards there are
 * @returns the shard's number
 */
export function shardOfKey(key: string, shards: number): number {
  return hashText(key) % shards;
}

/**
 * Creates the owner's side of claims. It reads a shard's log when the shard is first asked for.
 * @param options - store, periods and bounds
 * @returns the owner
 */
export function createClaimOwner(options: ClaimOwnerOptions): ClaimOwner {
  const logs = new Map<number, ClaimLog>();
  const memory = createClaimMemory(options.memory);
  const recording = new Map<string, Recording>();

  const openLog = (key: string): ClaimLog => {
    const shard = shardOfKey(key, options.shards);
    const log = logs.get(shard) ?? createClaimLog({ ...options, shard });
    logs.set(shard, log);
    return log;
  };

  const isReleased = (claim: IndexedClaim): boolean =>
    claim.settled === "released" || memory.find(claim.claimId)?.state === "released";

  const describe = (claim: IndexedClaim, claimRequest: ClaimRequest): ClaimAnswer => {
    if (claim.fingerprint !== claimRequest.fingerprint) return { kind: "key-reused" };
    const run = memory.find(claim.claimId);
    if (run?.state === "finished" && run.answer !== undefined)
      return { kind: "finished", answer: run.answer };
    if (run?.state === "finished" || claim.settled === "finished") return { kind: "already-run" };
    const isRunning = run?.state === "running" && run.deadlineAt > options.now() && options.isUp(run.entryId);
    return { kind: isRunning ? "already-running" : "unknown" };
  };

  /** Answers from what is known; undefined when the key is free as far as is known. */
  const answerKnown = (log: ClaimLog, claimRequest: ClaimRequest): ClaimAnswer | undefined => {
    const claim = log.find(claimRequest.key);
    if (claim === undefined || isReleased(claim)) return undefined;
    // The asker has not run yet while it asks, so that a repeated ask gets the same grant.
    return claim.claimId === claimRequest.claimId ? { kind: "granted" } : describe(claim, claimRequest);
  };

  const record = async (log: ClaimLog, claimRequest: ClaimRequest): Promise<ClaimAnswer | undefined> => {
    const { key, claimId, fingerprint } = claimRequest;
    const claim = { key, claimId, fingerprint };
    const result = await log.record(claim, () => answerKnown(log, claimRequest) === undefined);
    recording.delete(key);
    if (result === "recorded") return { kind: "granted" };
    return result === "unavailable" ? { kind: "unavailable" } : undefined;
  };

  const recordOnce = async (log: ClaimLog, claimRequest: ClaimRequest): Promise<ClaimAnswer | undefined> => {
    const current = recording.get(claimRequest.key);
    if (current !== undefined) {
      return current.claimId === claimRequest.claimId ? current.answer : { kind: "already-running" };
    }
    const answer = record(log, claimRequest);
    recording.set(claimRequest.key, { claimId: claimRequest.claimId, answer });
    return answer;
  };

  const take = async (claimRequest: ClaimRequest): Promise<ClaimAnswer> => {
    const log = openLog(claimRequest.key);
    for (let tries = 1; tries <= maximumTries; tries += 1) {
      const known = answerKnown(log, claimRequest);
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
      if (state !== "unknown") openLog(key).note({ key, claimId, state });
      return true;
    },
    flush: async () => {
      await Promise.all([...logs.values()].map(async (log) => log.flush()));
    },
  };
}
