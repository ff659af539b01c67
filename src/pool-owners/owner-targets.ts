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
import type { TakeoverState } from "./owner-record.js";
import { removeRun, type OwnerState } from "./owner-state.js";
import type { PoolTarget } from "./pool-target.js";
import { formerLeaseMilliseconds } from "./owner-takeover.js";
import { chooseRenewalWait } from "./renewal-wait.js";
import { describeRelease, noteDroppedRun, type Release, type ReleaseReason } from "./release-trace.js";
import { ReplacedProcesses } from "./replaced-processes.js";
import { handleReport } from "./run-ends.js";
import { TakeoverTrace } from "./takeover-trace.js";
import { TargetIncarnations } from "./target-incarnations.js";
import { TargetRecords } from "./target-records.js";
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
  /** Monotonic time at which all leases that orders of earlier owners granted have ended. */
  readonly #formerLeasesUntil: number;

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
    this.#formerLeasesUntil = performance.now() + this.#longestFormerLeaseMilliseconds();
    this.#handlers = {
      onReport: (session, report, freshEnds, requestSentAt) => {
        const target = this.#find(session);
        if (target === undefined) return;
        handleReport(state, target, report, freshEnds, requestSentAt);
        paceBestEffortTasks(state, target);
      },
      onLeaseLapsed: (session) => this.#dropLapsedRuns(session),
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
    for (const [targetId, { address, startedAtUnix, unusedSince }] of Object.entries(takeoverState.targets)) {
      awaited.add(targetId, unusedSince ?? Number.POSITIVE_INFINITY);
      const formerLease = this.#formerLease(startedAtUnix);
      const target = this.#open(unlistedTarget(pool, targetId, address, startedAtUnix), formerLease);
      target.unusedSince = unusedSince;
      target.session.setListed(false);
    }
    this.#takeoverTrace.report(takeoverState, this.#formerLeasesUntil);
  }

  /** Closes all sessions. */
  close(): void {
    this.#replaced.close();
    this.#expectedReturns.close();
    for (const { session } of this.#state.targets.values()) session.close();
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
    const formerLease = { until: this.#formerLeasesUntil, basis: "earlier-owner-longest" } as const;
    this.#open(target, isAwaited ? formerLease : noFormerLease);
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
      formerLease: unsettled.length === 0 ? formerLease : this.#leaseOfUnsettledStarts(formerLease),
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
      if (session.acknowledgedSequence() < target.handledSequence) continue;
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
    this.#reportRelease(target, reason, { dropped, isAwaited, kept: runs.length - dropped.length });
    dropTarget(this.#state, target, reason);
    this.#records.write("soon");
  }

  /** Logs that tasks may run again elsewhere, with what that rests on. */
  #reportRelease(target: PoolTarget, reason: ReleaseReason, release: Release): void {
    const { log, pool } = this.#state;
    for (const each of release.dropped) noteDroppedRun(each, reason);
    if (release.dropped.length === 0 && !release.isAwaited) return;
    log.write("info", "target-runs-released", { pool, ...describeRelease(target, reason, release) });
  }

  /**
   * Drops the runs on a target that does not answer and whose requested leases have lapsed, except for starts that no report has
   * shown: a later process, of which the owner does not know, may have carried them out under the longest lease. Long-running
   * tasks are dropped at once: they have to run again within seconds, and reports show them soon after their start.
   * @returns until when the other starts have to be waited for; undefined when there are none
   */
  #dropLapsedRuns(session: TargetSession): number | undefined {
    const target = this.#find(session);
    if (target === undefined) return undefined;
    const requestedAt = session.leaseRequestedAt();
    if (requestedAt === undefined) return this.#releaseLongRunning(target);
    const until = requestedAt + this.#longestFormerLeaseMilliseconds();
    const runs = [...target.runs.values()];
    const unlisted = runs.filter(({ task, run }) => !run.isListed && !task.definition.isLasting);
    if (unlisted.length === 0 || until <= performance.now()) return undefined;
    const lapsed = runs.filter((each) => !unlisted.includes(each));
    const isAwaited = this.#state.awaitedTargets.delete(session.targetId);
    this.#reportRelease(target, "lease-lapsed", { dropped: lapsed, isAwaited, kept: unlisted.length });
    for (const each of lapsed) removeRun(this.#state, target, each);
    this.#state.log.write("info", "target-runs-lapsed", {
      pool: this.#state.pool,
      target: session.targetId,
      lapsed: lapsed.length,
      unlisted: unlisted.length,
      waitMilliseconds: Math.round(until - performance.now()),
    });
    this.#state.wake();
    return until;
  }

  /**
   * Releases long-running tasks of earlier owners that were on a target which has never answered this owner. Other tasks are
   * waited for until the longest lease has ended: the target may have restarted without the notice of any owner, and a lease that
   * its new process took from a former owner's order is the longest.
   * @returns until when the other tasks have to be waited for; undefined when nothing is left to wait for
   */
  #releaseLongRunning(target: PoolTarget): number | undefined {
    const { awaitedTargets: awaited } = this.#state;
    const { targetId } = target.session;
    const until = this.#formerLeasesUntil;
    if (!awaited.has(targetId) || target.session.isKnown() || until <= performance.now()) return undefined;
    awaited.endLongRunning(targetId);
    this.#reportRelease(target, "requested-lease-lapsed", { dropped: [], isAwaited: true, kept: 0 });
    this.#state.wake();
    return until;
  }

  /** Keeps what orders to an ended process may still do on the next one, for a limited time in case that does not appear. */
  #keepForNextProcess(target: PoolTarget): void {
    this.#records.list(target);
    keepUnsettledStarts(this.#state, target);
    this.#expectedReturns.expect(target.session.targetId, this.#longestFormerLeaseMilliseconds(), () => {
      this.#settleUnreturned(target);
    });
  }

  /** Releases what was kept for the next process of a target, which has not returned within the longest lease. */
  #settleUnreturned(target: PoolTarget): void {
    const { targetId } = target.session;
    const dropped = dropUnsettledStarts(this.#state, targetId);
    const isAwaited = this.#state.awaitedTargets.delete(targetId);
    this.#reportRelease(target, "not-returned", { dropped, isAwaited, kept: 0 });
    this.#records.settle(targetId, "not-returned");
    this.#records.write("soon");
    this.#state.wake();
  }

  /** How long a lease may last that a target took from an order which was sent to its former process. */
  #longestFormerLeaseMilliseconds(): number {
    return formerLeaseMilliseconds(this.#options.longestLeaseMilliseconds);
  }

  /**
   * The lease from an earlier owner that long-running tasks may hold on a target that does not answer. They have to run again
   * within seconds, so that the longest lease counts only for a process that has started lately.
   */
  #formerLease(startedAtUnix: number): FormerLease {
    const { leaseMilliseconds, longestLeaseMilliseconds } = this.#options;
    const mayHoldLongest = this.#incarnations.mayHoldLongestLease(startedAtUnix);
    const milliseconds = formerLeaseMilliseconds(
      mayHoldLongest ? longestLeaseMilliseconds : leaseMilliseconds,
    );
    return {
      until: performance.now() + milliseconds,
      basis: mayHoldLongest ? "earlier-owner-longest" : "earlier-owner-requested",
    };
  }

  /** The lease that a target may have taken from starts which were sent to its former process, if it is the later one. */
  #leaseOfUnsettledStarts(formerLease: FormerLease): FormerLease {
    const until = performance.now() + this.#longestFormerLeaseMilliseconds();
    return until > formerLease.until ? { until, basis: "unsettled-starts" } : formerLease;
  }
}

/** Creates a target that is known only from the takeover state. */
function unlistedTarget(
  pool: string,
  targetId: string,
  address: string,
  startedAtUnix: number,
): RegisteredTarget {
  return {
    targetId,
    address,
    startedAtUnix,
    pool,
    availabilityZone: "",
    state: "draining",
    capacity: { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 },
    rack: undefined,
    labels: [],
    remainingMilliseconds: undefined,
  };
}

function updateRegistration(state: OwnerState, known: PoolTarget, target: RegisteredTarget): void {
  if (known.session.target().state !== target.state) {
    state.log.write("info", "target-state", {
      pool: state.pool,
      target: target.targetId,
      state: target.state,
    });
    state.wake();
  }
  known.session.updateTarget(target);
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
