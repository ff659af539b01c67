/**
 * The sessions of an owner with the targets of its pool, kept in line with the registry.
 * @packageDocumentation
 */
import {
  TargetSession,
  noFormerLease,
  type FormerLease,
  type RegisteredTarget,
  type SessionEndReason,
  type TargetSessionHandlers,
} from "../task-runs/index.js";
import { fullPercent, paceBestEffortTasks } from "./best-effort-pace.js";
import { ExpectedReturns } from "./expected-returns.js";
import { FormerLeases } from "./former-leases.js";
import { awaitUnlistedTargets } from "./incomplete-state.js";
import { releaseLapsedRuns } from "./lapsed-runs.js";
import type { TakeoverState } from "./owner-record.js";
import { removeRun, type OwnerState } from "./owner-state.js";
import { areEndsStored, type PoolTarget } from "./pool-target.js";
import { chooseRenewalWait } from "./renewal-wait.js";
import { reportRelease } from "./release-trace.js";
import { ReplacedProcesses } from "./replaced-processes.js";
import { handleReport } from "./run-ends.js";
import { TakeoverTrace } from "./takeover-trace.js";
import { TargetIncarnations } from "./target-incarnations.js";
import { TargetRecords } from "./target-records.js";
import { createUnlistedTarget, updateRegistration } from "./target-registrations.js";
import {
  dropUnsettledStarts,
  keepUnsettledStarts,
  refuseLateStarts,
  takeUnsettledStarts,
} from "./unsettled-starts.js";

/** Settings of an owner's sessions with targets. */
export interface OwnerTargetsOptions {
  /** The lease that a target gets for its runs with each renewal. */
  readonly leaseMilliseconds: number;
  /** The longest lease that a target grants. */
  readonly longestLeaseMilliseconds: number;
  /** How many times the pool has been taken, this time included. */
  readonly ownerCount: number;
}

/** The sessions of an owner with the targets of its pool. */
export class OwnerTargets {
  readonly #state: OwnerState;
  readonly #options: OwnerTargetsOptions;
  readonly #handlers: TargetSessionHandlers;
  readonly #records: TargetRecords;
  readonly #takeoverTrace: TakeoverTrace;
  readonly #incarnations: TargetIncarnations;
  readonly #replaced: ReplacedProcesses;
  readonly #expectedReturns = new ExpectedReturns();
  #endWait: () => void = () => undefined;
  readonly #leases: FormerLeases;

  /**
   * Creates the set of sessions, which is empty at first.
   * @param state - the owner's state
   * @param options - the run lease and the number of owners
   */
  constructor(state: OwnerState, options: OwnerTargetsOptions) {
    this.#state = state;
    this.#options = options;
    this.#records = new TargetRecords(state, options.ownerCount);
    this.#takeoverTrace = new TakeoverTrace(state);
    this.#incarnations = new TargetIncarnations(options);
    this.#replaced = new ReplacedProcesses(() => {
      this.follow(state.listedTargets);
    });
    this.#leases = new FormerLeases(options);
    this.#handlers = {
      onReport: (session, report, freshEnds, requestSentAt) => {
        const target = this.#find(session);
        if (target === undefined) return;
        handleReport(state, target, report, freshEnds, requestSentAt);
        paceBestEffortTasks(state, target);
      },
      onLeaseLapsed: (session) => {
        const target = this.#find(session);
        return target === undefined ? undefined : releaseLapsedRuns(state, target, this.#leases);
      },
      onGone: (session, reason) => {
        const target = this.#find(session);
        if (target === undefined) return;
        this.#drop(target, reason);
        if (reason === "replaced") this.#replaced.add(session.target());
        // Opens a new session if the target is still listed: it has restarted, or was only unreachable.
        this.follow(state.listedTargets);
      },
      onFenced: () => {
        state.supersede("a target has seen a higher fencing token");
      },
      isActive: () => state.isActive(),
      chooseWait: (session) => chooseRenewalWait(this.#find(session)),
    };
  }

  /**
   * Opens, updates and closes sessions according to the registry.
   * @param listed - the pool's targets in the registry, by identifier
   */
  follow(listed: ReadonlyMap<string, RegisteredTarget>): void {
    const state = this.#state;
    state.listedTargets = listed;
    for (const target of listed.values()) this.#followTarget(target);
    for (const { session } of state.targets.values()) session.setListed(listed.has(session.targetId));
    this.#closeUnlisted();
    const targets = [...state.targets.values()];
    if (targets.some(({ isRecorded, session }) => !isRecorded && session.isListed()))
      this.#records.write("now");
  }

  /** Records which targets have become unused, and which are about to be used again. */
  reviewUse(): void {
    this.#records.reviewUse();
  }

  /**
   * Opens sessions with the targets that an earlier owner used, whether or not the registry lists them.
   * @param takeoverState - the state that the earlier owner left
   */
  restoreTargets(takeoverState: TakeoverState): void {
    const { pool, awaitedTargets: awaited } = this.#state;
    this.#takeoverTrace.note(takeoverState);
    this.#records.trace.begin(takeoverState.targets);
    for (const [targetId, record] of Object.entries(takeoverState.targets)) {
      const { address, startedAtUnix, unusedSince, isReplaced = false } = record;
      awaited.add(targetId, unusedSince ?? Number.POSITIVE_INFINITY);
      if (isReplaced) this.#records.noteReplaced({ targetId, startedAtUnix });
      const mayHoldLongest = isReplaced || this.#incarnations.mayHoldLongestLease(startedAtUnix);
      const formerLease = this.#leases.ofLongRunningTasks(mayHoldLongest);
      const target = this.#open(createUnlistedTarget(pool, targetId, address, startedAtUnix), formerLease);
      target.unusedSince = unusedSince;
      target.session.setListed(false);
    }
    this.#takeoverTrace.report(takeoverState, this.#leases.ofEarlierOwnersUntil);
    if (takeoverState.isIncomplete === true) this.#awaitUnlisted();
  }

  /** Closes all sessions. */
  close(): void {
    this.#replaced.close();
    this.#expectedReturns.close();
    this.#endWait();
    for (const { session } of this.#state.targets.values()) session.close();
  }

  /** Waits for runs on targets that the takeover state does not list. The next owner has to wait too until this is over. */
  #awaitUnlisted(): void {
    this.#records.isIncomplete = true;
    const runs = {
      longRunningMilliseconds: this.#leases.requestedMilliseconds,
      milliseconds: this.#leases.longestMilliseconds,
    };
    this.#endWait = awaitUnlistedTargets(this.#state, runs, () => {
      this.#records.isIncomplete = false;
      this.#records.write("soon");
    });
  }

  #find(session: TargetSession): PoolTarget | undefined {
    const target = this.#state.targets.get(session.targetId);
    return target?.session === session ? target : undefined;
  }

  #followTarget(target: RegisteredTarget): void {
    if (this.#replaced.has(target)) return;
    const state = this.#state;
    const known = state.targets.get(target.targetId);
    if (known !== undefined && known.session.target().startedAtUnix >= target.startedAtUnix) {
      updateRegistration(state, known, target);
      return;
    }
    if (known !== undefined) {
      known.session.close();
      this.#drop(known, "replaced");
    }
    // A target of an earlier owner stays awaited until its new process has answered.
    const isAwaited = state.awaitedTargets.has(target.targetId);
    this.#open(target, isAwaited ? this.#leases.longestOfEarlierOwners() : noFormerLease);
  }

  #open(target: RegisteredTarget, formerLease: FormerLease): PoolTarget {
    const { pool, targets, orders, metrics, log } = this.#state;
    const { leaseMilliseconds, longestLeaseMilliseconds } = this.#options;
    const unsettled = takeUnsettledStarts(this.#state, target.targetId);
    const formerOrders = this.#incarnations.open(target);
    const session = new TargetSession({
      target,
      orders,
      leaseMilliseconds,
      longestLeaseMilliseconds,
      formerOrders,
      metrics,
      handlers: this.#handlers,
      formerLease: unsettled.length === 0 ? formerLease : this.#leases.ofUnsettledStarts(formerLease),
    });
    const opened: PoolTarget = {
      session,
      runs: new Map(unsettled.map((each) => [each.task.name, each])),
      wasUsed: this.#incarnations.wasUsed(target.targetId),
      isRecorded: false,
      isVacating: false,
      blockedUntil: 0,
      failureScore: 0,
      pacePercent: fullPercent,
      handledSequence: 0,
      acknowledging: Promise.resolve(),
    };
    targets.set(target.targetId, opened);
    this.#expectedReturns.end(target.targetId);
    this.#records.list(opened);
    refuseLateStarts(this.#state, opened);
    const { targetId, address, startedAtUnix } = target;
    log.write("info", "target-session-opened", {
      pool,
      target: targetId,
      address,
      process: startedAtUnix,
      formerOrders,
      ...this.#takeoverTrace.describeOpened(targetId),
    });
    void session.run();
    return opened;
  }

  /** Closes sessions with targets that left the registry, once they have no runs and all their run ends are stored. */
  #closeUnlisted(): void {
    const { targets, awaitedTargets: awaited } = this.#state;
    for (const target of [...targets.values()]) {
      const { session, runs } = target;
      if (session.isListed() || runs.size > 0 || awaited.has(session.targetId)) continue;
      // A next owner has to collect the run ends that are not stored, so that the target stays in the takeover state.
      if (!areEndsStored(target)) continue;
      session.close();
      this.#drop(target, "closed");
    }
  }

  /**
   * Removes a target whose process has no runs any more. If another process has answered, the target stays in the takeover state,
   * since that process may have carried out what was sent to this one.
   */
  #drop(target: PoolTarget, reason: SessionEndReason): void {
    const { targetId } = target.session;
    this.#incarnations.close(targetId, target.session.isKnown());
    const runs = [...target.runs.values()];
    if (reason === "replaced") this.#keepForNextProcess(target);
    else this.#records.settle(targetId, reason);
    const isAwaited = reason !== "replaced" && this.#state.awaitedTargets.delete(targetId);
    const dropped = runs.filter(({ task }) => target.runs.has(task.name));
    reportRelease(this.#state, target, reason, { dropped, isAwaited, kept: runs.length - dropped.length });
    dropTarget(this.#state, target, reason);
    this.#records.write("soon");
  }

  /** Keeps what orders to an ended process may still do on the next one, for a limited time in case that does not appear. */
  #keepForNextProcess(target: PoolTarget): void {
    this.#records.noteReplaced(target.session.target());
    this.#records.list(target);
    keepUnsettledStarts(this.#state, target);
    this.#expectedReturns.expect(target.session.targetId, this.#leases.longestMilliseconds, () => {
      this.#settleUnreturned(target);
    });
  }

  /** Releases what was kept for the next process of a target, which has not returned within the longest lease. */
  #settleUnreturned(target: PoolTarget): void {
    const { targetId } = target.session;
    const dropped = dropUnsettledStarts(this.#state, targetId);
    const isAwaited = this.#state.awaitedTargets.delete(targetId);
    reportRelease(this.#state, target, "not-returned", { dropped, isAwaited, kept: 0 });
    this.#records.settle(targetId, "not-returned");
    this.#records.write("soon");
    this.#state.wake();
  }
}

function dropTarget(state: OwnerState, target: PoolTarget, reason: SessionEndReason): void {
  const { session, runs } = target;
  state.targets.delete(session.targetId);
  const lost = [...runs.values()];
  for (const each of lost) removeRun(state, target, each);
  state.log.write("info", "target-session-closed", {
    pool: state.pool,
    target: session.targetId,
    reason,
    lostRuns: lost.length,
  });
  state.wake();
}
