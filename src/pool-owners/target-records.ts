/**
 * The takeover state of a pool as its owner keeps it: which targets may have runs. A target is used only once the record
 * lists it, and stays listed until all that was sent to it is settled, whether or not a session with it is open. A target that
 * is not used any more is recorded as such, so that a next owner that cannot reach it does not hold back jobs that cannot have
 * runs there.
 * @packageDocumentation
 */
import type { TargetIdentity } from "../task-runs/index.js";
import { takeoverStatePrefix, type TakeoverState } from "./owner-record.js";
import type { OwnerState } from "./owner-state.js";
import { areEndsStored, type PoolTarget } from "./pool-target.js";
import { RecordTrace } from "./record-trace.js";
import type { SettlementReason } from "./release-trace.js";

/** A target counts as unused after this many unanswered renewals; a single answer may be lost. */
const unansweredRenewals = 2;

/**
 * Finds which jobs may have runs on a target.
 * @param state - the owner
 * @param target - the target
 * @returns undefined while tasks may be started on the target; else the highest store revision of a job that may have runs
 * there, 0 when no job has any
 */
function findUnusedSince(state: OwnerState, target: PoolTarget): number | undefined {
  const { session, runs, isVacating, wasUsed } = target;
  const isSilent = session.failuresInARow() >= unansweredRenewals;
  // What this owner has accepted is newer than its own record, and has no runs on a target that it has never used.
  if (isSilent && !session.isKnown() && !wasUsed) return state.takenRevision;
  if (isSilent) return state.journal.storedRevision();
  if (!isVacating || !session.isResponsive() || runs.size > 0 || !areEndsStored(target)) return undefined;
  const { unansweredStarts, awaitedTargets: awaited } = state;
  return unansweredStarts.has(session.targetId) || awaited.has(session.targetId) ? undefined : 0;
}

/** Finds what the record has to say of a target: what it says stays until the target can be used again. */
function reviewTarget(state: OwnerState, target: PoolTarget): number | undefined {
  if (target.unusedSince === undefined) return findUnusedSince(state, target);
  const isUsedAgain = target.session.isResponsive() && !target.isVacating;
  return isUsedAgain ? undefined : target.unusedSince;
}

type TakeoverTarget = TakeoverState["targets"][string];

/** The record of a pool's targets. */
export class TargetRecords {
  /** Logs the changes that are stored. */
  readonly trace: RecordTrace;
  readonly #state: OwnerState;
  readonly #ownerCount: number;
  /** What the record says of each target, also of those without a session. */
  readonly #targets = new Map<string, TakeoverTarget>();
  /** Start times of processes in whose place another one has answered, by target. */
  readonly #replaced = new Map<string, number>();
  /** Whether targets that the record does not list may have runs too. */
  isIncomplete = false;
  #writes = 0;

  /**
   * Creates the record; nothing is written before a method is called.
   * @param state - the owner
   * @param ownerCount - how many times the pool has been taken
   */
  constructor(state: OwnerState, ownerCount: number) {
    this.#state = state;
    this.#ownerCount = ownerCount;
    this.trace = new RecordTrace(state);
  }

  /**
   * Lists a target as it is now, from the next write on and until it is settled.
   * @param target - the target
   */
  list(target: PoolTarget): void {
    this.#targets.set(target.session.targetId, this.#describe(target));
  }

  /**
   * Notes that another process has answered in place of a target's process.
   * @param process - the process that was expected to answer
   */
  noteReplaced({ targetId, startedAtUnix }: Pick<TargetIdentity, "targetId" | "startedAtUnix">): void {
    this.#replaced.set(targetId, startedAtUnix);
  }

  /**
   * Removes a target from the next write on: nothing that owners sent to it runs or can still be carried out.
   * @param targetId - the target
   * @param reason - why that is so
   */
  settle(targetId: string, reason: SettlementReason): void {
    this.#targets.delete(targetId);
    this.#replaced.delete(targetId);
    this.trace.noteLeft(targetId, reason);
  }

  /** Records which targets have become unused, and which are about to be used again. */
  reviewUse(): void {
    let hasChanged = false;
    for (const target of this.#state.targets.values()) {
      const unusedSince = reviewTarget(this.#state, target);
      if (unusedSince === target.unusedSince) continue;
      target.unusedSince = unusedSince;
      target.isRecorded = false;
      target.recordedBy = undefined;
      hasChanged = true;
    }
    if (hasChanged) this.write("now");
  }

  /**
   * Stores the present targets. Those that are listed as in use may be used once this is stored.
   * @param urgency - how long the write may wait for others
   */
  write(urgency: "now" | "soon"): void {
    const state = this.#state;
    this.#writes += 1;
    const number = this.#writes;
    const open = [...state.targets.values()];
    for (const target of open) {
      target.recordedBy ??= number;
      this.list(target);
    }
    const value: TakeoverState = {
      homes: this.#ownerCount,
      targets: Object.fromEntries(this.#targets),
      ...(this.isIncomplete ? { isIncomplete: true } : {}),
    };
    const write = state.journal.write(`${takeoverStatePrefix}${state.pool}`, value, { urgency });
    void write.result.then((result) => {
      if (result !== "stored") return;
      this.trace.noteStored(value.targets);
      // An earlier write of the record may be stored after the use of a target has changed.
      for (const target of open) target.isRecorded ||= (target.recordedBy ?? Infinity) <= number;
      raiseToken(state, open);
      state.wake();
    });
  }

  #describe({ session, unusedSince }: PoolTarget): TakeoverTarget {
    const { targetId, address, startedAtUnix } = session.target();
    const isReplaced = this.#replaced.get(targetId) === startedAtUnix;
    return {
      address,
      startedAtUnix,
      ...(unusedSince === undefined ? {} : { unusedSince }),
      ...(isReplaced ? { isReplaced } : {}),
    };
  }
}

/**
 * Raises the owner's fencing token for targets that have restarted, so that their new processes refuse the orders that it sent
 * to the former ones. The revision of the record that lists them is above every token so far, and below the next owner's.
 */
function raiseToken({ orders, journal, log, pool }: OwnerState, recorded: readonly PoolTarget[]): void {
  const restarted = recorded.filter(({ isRecorded, session }) => isRecorded && session.needsHigherToken());
  if (restarted.length === 0) return;
  orders.raiseToken(journal.storedRevision());
  log.write("info", "fencing-token-raised", {
    pool,
    fencingToken: orders.fencingToken(),
    restarted: restarted.length,
  });
  for (const { session } of restarted) session.noteHigherToken();
}
