/**
 * What this entry was told of claims' runs, with the answers that it still holds.
 * It only adds to what the log proves: a claim that is missing here counts as unknown.
 * @packageDocumentation
 */
import type { ClaimSettlement, HeldAnswer } from "./claim-messages.js";

/** What is known of a claim's run. */
export type ClaimRun =
  | { readonly state: "running"; readonly entryId: string; readonly deadlineAt: number }
  | { readonly state: "released" | "unknown" }
  | { readonly state: "finished"; readonly answer: HeldAnswer | undefined };

/** Runs of claims by claim identifier. */
export interface ClaimMemory {
  /** Finds what is known of a claim. */
  find(claimId: string): ClaimRun | undefined;
  /** Records that a claim's request is about to run; a claim that has ended stays ended. */
  start(claimId: string, entryId: string, deadlineAt: number): void;
  /** Records how a claim's request ended; the first end stands. */
  settle(settlement: ClaimSettlement): void;
  /** Bytes of the answers held. */
  heldBytes(): number;
}

/** Bounds of the memory. */
export interface ClaimMemoryOptions {
  /** Bytes of all answers held; the oldest are dropped first. */
  readonly answerBytes: number;
  /** Larger answers are not held. */
  readonly largestAnswerBytes: number;
  /** Claims remembered; the oldest are dropped first. */
  readonly claims: number;
}

/**
 * Creates an empty memory.
 * @param options - bounds
 * @returns the memory
 */
export function createClaimMemory(options: ClaimMemoryOptions): ClaimMemory {
  const runs = new Map<string, ClaimRun>();
  const answers = new Map<string, HeldAnswer>();
  let heldBytes = 0;

  const dropAnswer = (claimId: string): void => {
    const answer = answers.get(claimId);
    if (answer === undefined) return;
    answers.delete(claimId);
    heldBytes -= answer.body.length;
  };

  const holdAnswer = (claimId: string, answer: HeldAnswer): void => {
    if (answer.body.length > options.largestAnswerBytes) return;
    answers.set(claimId, answer);
    heldBytes += answer.body.length;
    for (const oldest of answers.keys()) {
      if (heldBytes <= options.answerBytes) break;
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
      if (answer !== undefined) holdAnswer(claimId, answer);
    },
    heldBytes: () => heldBytes,
  };
}
