/**
 * Encodes the outcomes of orders for frames between entries, and decodes them.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { OrderOutcome, TargetReport } from "../task-runs/index.js";
import type { RelayedOutcome } from "./messages.js";

/** Result of a renewal. */
export type RenewalOutcome = Either<Exclude<OrderOutcome, { kind: "done" }>, TargetReport>;

/** Outcome of an order that its relay did not decline. */
export type RelayResult = Exclude<RelayedOutcome, { kind: "declined" }>;

/**
 * Encodes the result of a renewal.
 * @param id - identifier of the order at its sender
 * @param outcome - the report or the failure
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
 * Decodes the result of a renewal.
 * @param outcome - the outcome from a frame
 * @returns the report or the failure
 */
export function decodeRenewal(outcome: RelayResult): RenewalOutcome {
  if (outcome.kind === "done") return Left({ kind: "unknown", message: "the relay returned no report" });
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
 * Decodes the result of any order but a renewal.
 * @param outcome - the outcome from a frame
 * @returns the result; a report counts as an unknown result
 */
export function decodeOutcome(outcome: RelayResult): OrderOutcome {
  return outcome.kind === "report"
    ? { kind: "unknown", message: "the relay returned a report for another kind of order" }
    : outcome;
}
