/**
 * In-memory record of how the runs of claims ended, with a cache of their answers.
 * It only supplements the claim log: the run of a claim that is missing here counts as unknown.
 * @packageDocumentation
 */
import type { ClaimSettlement, CachedAnswer } from "./claim-messages.js";

/** State of a claim's run; `answer` is undefined when it is not cached. */
export type ClaimRun =
  | { readonly state: "running"; readonly entryId: string; readonly deadlineAt: number }
  | { readonly state: "released" | "unknown" }
  | { readonly state: "finished"; readonly answer: CachedAnswer | undefined };

/** Runs of claims, by claim identifier. */
export interface ClaimMemory {
  /** Finds the run of a claim; undefined when none is recorded. */
  find(claimId: string): ClaimRun | undefined;
  /** Records that a claim's request is about to run; has no effect on a claim that has ended. */
  start(claimId: string, entryId: string, deadlineAt: number): void;
  /** Records how a claim's request ended; later reports for the same claim are ignored. */
  settle(settlement: ClaimSettlement): void;
  /** Bytes of the cached answer bodies. */
  cachedBytes(): number;
}

/** Limits of the claim memory. */
export interface ClaimMemoryOptions {
  /** Maximum bytes of all cached answers; the oldest are dropped first. */
  readonly answerBytes: number;
  /** Answers with more bytes are not cached. */
  readonly largestAnswerBytes: number;
  /** Maximum number of recorded claims; the oldest are dropped first. */
  readonly claims: number;
}

/**
 * Creates an empty memory.
 * @param options - limits
 * @returns the memory
 */
export function createClaimMemory(options: ClaimMemoryOptions): ClaimMemory {
  const runs = new Map<string, ClaimRun>();
  const answers = new Map<string, CachedAnswer>();
  let cachedBytes = 0;

  const dropAnswer = (claimId: string): void => {
    const answer = answers.get(claimId);
    if (answer === undefined) return;
    answers.delete(claimId);
    cachedBytes -= answer.body.length;
  };

  const cacheAnswer = (claimId: string, answer: CachedAnswer): void => {
    if (answer.body.length > options.largestAnswerBytes) return;
    answers.set(claimId, answer);
    cachedBytes += answer.body.length;
    for (const oldest of answers.keys()) {
      if (cachedBytes <= options.answerBytes) break;
      dropAnswer(oldest);
    }
  };

  const record = (claimId: string, run: ClaimRun): void => {
    runs.set(claimId, run);
    const oldest = runs.keys().next();
    if (runs.size <= options.claims || oldest.done === true) return;
    runs.delete(oldest.value);
    dropAnswer(oldest.value);
  };

  const hasEnded = (claimId: string): boolean => {
    const run = runs.get(claimId);
    return run !== undefined && run.state !== "running";
  };

  return {
    find: (claimId) => {
      const run = runs.get(claimId);
      return run?.state === "finished" ? { state: "finished", answer: answers.get(claimId) } : run;
    },
    start: (claimId, entryId, deadlineAt) => {
      if (!hasEnded(claimId)) record(claimId, { state: "running", entryId, deadlineAt });
    },
    settle: ({ claimId, state, answer }) => {
      if (hasEnded(claimId)) return;
      if (state !== "finished") {
        record(claimId, { state });
        return;
      }
      record(claimId, { state, answer: undefined });
      if (answer !== undefined) cacheAnswer(claimId, answer);
    },
    cachedBytes: () => cachedBytes,
  };
}
