/**
 * Log lines about changes of the stored takeover state: which targets it lists, and which jobs may have runs on them.
 * @packageDocumentation
 */
import type { LogFields } from "../telemetry/index.js";
import { limitLines } from "./bounded-lines.js";
import type { TakeoverState } from "./owner-record.js";
import type { OwnerState } from "./owner-state.js";
import type { SettlementReason } from "./release-trace.js";

type RecordedTargets = TakeoverState["targets"];
type RecordedTarget = RecordedTargets[string];

/**
 * What has changed in the record of a target; `replaced`: another process has answered in place of the listed one; `used-again`:
 * any job may have runs there from now on.
 */
type RecordChange = "listed" | "unlisted" | "other-process" | "replaced" | "unused" | "used-again";

/** Logs how each stored takeover state differs from the one before it. */
export class RecordTrace {
  readonly #state: OwnerState;
  #stored: RecordedTargets = {};
  /** The last value whose write is known to be stored; undefined once its changes are logged. */
  #unreported: RecordedTargets | undefined;
  readonly #leftBecause = new Map<string, SettlementReason>();

  /**
   * Creates a trace of a pool whose stored state lists no targets.
   * @param state - the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /**
   * Notes the targets that the stored state lists at the takeover.
   * @param targets - the targets
   */
  begin(targets: RecordedTargets): void {
    this.#stored = targets;
  }

  /**
   * Notes why a target is about to leave the record.
   * @param targetId - the target
   * @param reason - why nothing that was sent to it matters any more
   */
  noteLeft(targetId: string, reason: SettlementReason): void {
    this.#leftBecause.set(targetId, reason);
  }

  /**
   * Notes that a write of the takeover state is stored, and logs the changes. Of writes that are settled together only the last
   * one has been stored, as it has replaced the others.
   * @param targets - the targets as written
   */
  noteStored(targets: RecordedTargets): void {
    const isScheduled = this.#unreported !== undefined;
    this.#unreported = targets;
    if (isScheduled) return;
    const revision = this.#state.journal.storedRevision();
    queueMicrotask(() => {
      this.#report(revision);
    });
  }

  #report(revision: number): void {
    const { log, pool } = this.#state;
    const before = this.#stored;
    const after = this.#unreported ?? before;
    this.#stored = after;
    this.#unreported = undefined;
    const isListed = ({ change }: LogFields): boolean => change === "listed";
    for (const fields of limitLines(this.#describeChanges(before, after), isListed))
      log.write("info", "target-record-changed", { pool, ...fields, revision });
    this.#forgetLeft(after);
  }

  #describeChanges(before: RecordedTargets, after: RecordedTargets): LogFields[] {
    const targetIds = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...targetIds].flatMap((target) => {
      const change = findChange(before[target], after[target]);
      if (change === undefined) return [];
      const { startedAtUnix, unusedSince } = after[target] ?? {};
      const reason = change === "unlisted" ? this.#leftBecause.get(target) : undefined;
      return [{ target, change, process: startedAtUnix, unusedSince, reason }];
    });
  }

  /** A target that is still listed may have been closed since the record was written: its next record needs the reason. */
  #forgetLeft(after: RecordedTargets): void {
    for (const targetId of this.#leftBecause.keys())
      if (after[targetId] === undefined) this.#leftBecause.delete(targetId);
  }
}

function findChange(
  before: RecordedTarget | undefined,
  after: RecordedTarget | undefined,
): RecordChange | undefined {
  if (after === undefined) return before === undefined ? undefined : "unlisted";
  if (before === undefined) return "listed";
  if (before.startedAtUnix !== after.startedAtUnix) return "other-process";
  if (before.isReplaced !== true && after.isReplaced === true) return "replaced";
  if (before.unusedSince === after.unusedSince) return undefined;
  return after.unusedSince === undefined ? "used-again" : "unused";
}
