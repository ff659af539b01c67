/**
 * Puts the outcomes of orders into frames between entries, and takes them out again.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { OrderOutcome, TargetReport } from "../task-runs/index.js";
import type { RelayedOutcome } from "./messages.js";

/** What a renewal brings. */
export type RenewalOutcome = Either<Exclude<OrderOutcome, { kind: "done" }>, TargetReport>;

/** What an order brought that its relay did not decline. */
export type CarriedOut = Exclude<RelayedOutcome, { kind: "declined" }>;

/**
 * Encodes what a renewal brought.
 * @param id - the order
 * @param outcome - what it brought
 * @returns the outcome for a frame
 */
export function encodeRenewal(id: number, outcome: RenewalOutcome): RelayedOutcome {
  return outcome.caseOf<RelayedOutcome>({
    Left: (failure) => ({ id, ...failure }),
    Right: ({ startedAtUnix, clockMilliseconds, present, ends }) => ({
      id,
      kind: "report",
      startedAtUnix,
      clockMilliseconds,
      present: present.map(({ task, run, checkpoint, percent, usage }) => [
        task,
        run,
        checkpoint,
        percent,
        usage,
      ]),
      ends: ends.map(({ sequence, task, run, kind, checkpoint }) => [sequence, task, run, kind, checkpoint]),
    }),
  });
}

/**
 * Decodes what a renewal brought.
 * @param outcome - the outcome of a frame
 * @returns the report, or why there is none
 */
export function decodeRenewal(outcome: CarriedOut): RenewalOutcome {
  if (outcome.kind === "done") return Left({ kind: "unknown", message: "the relay gave no report" });
  if (outcome.kind !== "report") return Left(outcome);
  const { startedAtUnix, clockMilliseconds, present, ends } = outcome;
  return Right({
    startedAtUnix,
    clockMilliseconds,
    present: present.map(([task, run, checkpoint, percent, usage]) => ({
      task,
      run,
      checkpoint,
      percent,
      usage,
    })),
    ends: ends.map(([sequence, task, run, kind, checkpoint]) => ({ sequence, task, run, kind, checkpoint })),
  });
}

/**
 * Decodes what any other order brought.
 * @param outcome - the outcome of a frame
 * @returns what the order brought
 */
export function decodeOutcome(outcome: CarriedOut): OrderOutcome {
  return outcome.kind === "report" ? { kind: "unknown", message: "the relay gave a report" } : outcome;
}
