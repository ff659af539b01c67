/**
 * An owner's session with one process of a target: renews the lease of the target's runs, follows them and reports
 * their ends.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";
import type { Metrics } from "../telemetry/index.js";
import { RenewalPace } from "./renewal-pace.js";
import { RepeatedRenewal } from "./repeated-renewal.js";
import { RunLease, type LeaseBasis, type RunLeaseOptions } from "./run-lease.js";
import type { FencedOrders } from "./fenced-orders.js";
import type { RegisteredTarget, RunEnd, TargetReport } from "./target-orders.js";

/** Callbacks of a session to its owner. */
export interface TargetSessionHandlers {
  /** Called with each report; `freshEnds` are the ends that no earlier report has listed. */
  onReport(
    session: TargetSession,
    report: TargetReport,
    freshEnds: readonly RunEnd[],
    requestSentAt: number,
  ): void;
  /**
   * Called when the leases of all runs that the target's process has reported have lapsed, or those that an earlier owner
   * requested.
   * @returns until when the session goes on because of runs that a later process may have started, by the monotonic clock;
   * undefined when it ends
   */
  onLeaseLapsed(session: TargetSession): number | undefined;
  /** Called when the target's process has ended or the session has lapsed: none of its runs still exists. */
  onGone(session: TargetSession, reason: SessionEndReason): void;
  /** Called when the target has seen a higher fencing token: another owner has taken over. */
  onFenced(session: TargetSession): void;
  /** Whether the owner may still send orders. */
  isActive(): boolean;
  /** Returns how long the target should wait for an end before it answers the next renewal, in milliseconds. */
  chooseWait(session: TargetSession): number;
}

/**
 * Why no run of a target's process exists any more: another process answers under the target's identifier, another target
 * answers at its address, its leases have lapsed, or it has left.
 */
export type SessionEndReason = "replaced" | "other-instance" | "lease-lapsed" | "closed";

/**
 * Orders to former processes under the target's identifier. An order names only the identifier, so that it may be carried out
 * by a later process, whose lease it can extend to the longest that the target grants.
 * - `none`: there are none that could still arrive.
 * - `of-earlier-owners`: the target refuses them once it has seen this owner's fencing token.
 * - `of-this-owner`: the target refuses them once it has seen a token higher than the one that they carry.
 */
export type FormerOrders = "none" | "of-earlier-owners" | "of-this-owner";

/** Settings of a session. */
export interface TargetSessionOptions extends RunLeaseOptions {
  readonly target: RegisteredTarget;
  readonly orders: FencedOrders;
  /** Orders to former processes of the target that this process may have carried out, or may still carry out. */
  readonly formerOrders: FormerOrders;
  readonly metrics: Metrics;
  readonly handlers: TargetSessionHandlers;
}

const renewTimeoutMilliseconds = 1_000;
const retryMilliseconds = 150;

/** An owner's session with one process of a target. */
export class TargetSession {
  readonly targetId: string;
  readonly #options: TargetSessionOptions;
  readonly #stop = new AbortController();
  readonly #lease: RunLease;
  #target: RegisteredTarget;
  #isListed = true;
  #isKnown = false;
  #failuresInARow = 0;
  #answeredAt: number | undefined;
  /**
   * Orders sent from this time on carry a token that makes the target refuse those to its former processes, by the monotonic
   * clock; infinite while the owner's token is not high enough.
   */
  #fencesFrom: number;
  #isFenced = false;
  #acknowledgedSequence = 0;
  #reportedSequence = 0;
  /** Whether the last report listed ends. */
  #listsEnds = false;
  readonly #pace = new RenewalPace();
  #pause = new AbortController();
  readonly #renewal = new RepeatedRenewal();

  /**
   * Creates a session; {@link TargetSession.run} begins to renew.
   * @param options - the target, the sender of its orders and the callbacks
   */
  constructor(options: TargetSessionOptions) {
    this.#options = options;
    this.#target = options.target;
    this.targetId = options.target.targetId;
    this.#lease = new RunLease(options);
    this.#fencesFrom = options.formerOrders === "of-this-owner" ? Number.POSITIVE_INFINITY : 0;
  }

  /** The registry's newest description of the target. */
  target(): RegisteredTarget {
    return this.#target;
  }

  /** Replaces the description; it has to be of the same process of the target. */
  updateTarget(target: RegisteredTarget): void {
    this.#target = target;
  }

  /** Whether the registry lists the target. */
  isListed(): boolean {
    return this.#isListed;
  }

  /** Notes whether the registry lists the target. */
  setListed(isListed: boolean): void {
    this.#isListed = isListed;
  }

  /** Whether a report of the target has arrived. */
  isKnown(): boolean {
    return this.#isKnown;
  }

  /** Whether the owner's fencing token has to rise before the target refuses the orders to its former processes. */
  needsHigherToken(): boolean {
    return this.#fencesFrom === Number.POSITIVE_INFINITY;
  }

  /** Notes that the owner's fencing token has risen, and renews at once so that the target sees it. */
  noteHigherToken(): void {
    this.#fencesFrom = performance.now();
    this.requestAgain();
    this.hurry();
  }

  /** Whether the target refuses all orders to its former processes, so that their effects are known. */
  isFenced(): boolean {
    return this.#isFenced;
  }

  /** Number of renewals that have failed since the last report. */
  failuresInARow(): number {
    return this.#failuresInARow;
  }

  /** Whether the target answers, so that its last report is current. */
  isResponsive(): boolean {
    return this.#isKnown && this.#failuresInARow === 0;
  }

  /** Monotonic time in milliseconds at which the leases of all runs on the target have certainly lapsed. */
  leaseLapsesAt(): number {
    return this.#lease.lapsesAt();
  }

  /** How {@link TargetSession.leaseLapsesAt} was worked out. */
  leaseBasis(): LeaseBasis {
    return this.#lease.basis();
  }

  /** When the last report arrived, by the monotonic clock; undefined before the first one. */
  answeredAt(): number | undefined {
    return this.#answeredAt;
  }

  /** When a lease was last requested, by the monotonic clock; undefined before the first request. */
  leaseRequestedAt(): number | undefined {
    return this.#lease.requestedAt();
  }

  /**
   * Computes the end of the lease to request, and extends the time at which leases count as lapsed accordingly.
   * @returns a time of the target's clock in milliseconds; undefined before the first answer
   */
  nextLeaseEnd(): number | undefined {
    return this.#lease.nextEnd();
  }

  /** Notes the target's clock from an answer. A value below what the earlier reading implies was read late: ignored. */
  noteClock(clockMilliseconds: number, receivedAt: number): void {
    this.#lease.noteClock(clockMilliseconds, receivedAt);
  }

  /**
   * Ends the session if an order's answer shows that another process of the target has carried it out.
   * @param clockMilliseconds - the target's clock in the answer
   * @param requestSentAt - when the order was sent, by the monotonic clock
   * @returns whether the session has ended
   */
  checkProcess(clockMilliseconds: number, requestSentAt: number): boolean {
    if (!this.#lease.isOfAnotherProcess(clockMilliseconds, requestSentAt)) return false;
    this.#finish("replaced");
    return true;
  }

  /** Notes that ends up to this sequence have been stored; a later renewal acknowledges them to the target. */
  acknowledge(sequence: number): void {
    this.#acknowledgedSequence = Math.max(this.#acknowledgedSequence, sequence);
  }

  /** The highest sequence up to which ends have been stored. */
  acknowledgedSequence(): number {
    return this.#acknowledgedSequence;
  }

  /** Milliseconds since the last unanswered renewal was sent; 0 while none is pending. */
  silentMilliseconds(): number {
    return this.#renewal.silentMilliseconds();
  }

  /** Repeats a pending renewal; the target answers the repeated call without waiting for an end. */
  requestAgain(): void {
    this.#renewal.requestAgain();
  }

  /** Ends the pause before the next renewal. */
  hurry(): void {
    this.#pause.abort();
  }

  /** Stops renewing. */
  close(): void {
    this.#stop.abort();
    this.#pause.abort();
  }

  /** Renews until the target's process has ended, its leases have lapsed or the session is closed. */
  async run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      if (this.#options.handlers.isActive()) await this.#renewOnce();
      if (this.#failuresInARow > 0 && this.#lease.hasLapsed()) this.#lapse();
      await this.#waitBeforeRenewal(
        this.#failuresInARow > 0 ? retryMilliseconds : this.#pace.pauseMilliseconds(),
      );
    }
  }

  /**
   * Acknowledges only after a report that listed ends. After a failure, and while an answer is late, the target may be a new
   * process that counts its ends from 1, and an acknowledgement would make it discard ends that no owner has seen.
   */
  #nextAcknowledgement(): number {
    return this.#listsEnds && this.#failuresInARow === 0 ? this.#acknowledgedSequence : 0;
  }

  async #waitBeforeRenewal(milliseconds: number): Promise<void> {
    if (this.#stop.signal.aborted) return;
    this.#pause = new AbortController();
    await delay(milliseconds, this.#pause.signal);
  }

  async #renewOnce(): Promise<void> {
    const { orders, handlers, metrics } = this.#options;
    // While the target doesn't answer, no lease is requested: each unanswered order could have renewed it, and the runs
    // would never count as ended.
    const isSteady = this.#isKnown && this.#failuresInARow === 0;
    const waitMilliseconds = isSteady ? handlers.chooseWait(this) : 0;
    const { outcome, requestSentAt } = await this.#renewal.renew(async (isAgain) => {
      const wait = isAgain ? 0 : waitMilliseconds;
      return orders.renew({
        target: this.#target,
        acknowledgedSequence: isAgain ? 0 : this.#nextAcknowledgement(),
        leaseUntilMilliseconds: isSteady ? this.nextLeaseEnd() : undefined,
        waitMilliseconds: wait,
        timeoutMilliseconds: wait + renewTimeoutMilliseconds,
      });
    });
    if (this.#stop.signal.aborted) return;
    metrics.count("target_renewals_total", { result: outcome.isRight() ? "answered" : "failed" });
    outcome.caseOf({
      Left: (failure) => {
        // The target answers; it only saw the owner's higher token before this renewal.
        if (failure.kind === "refused" && failure.reason === "overtaken") return;
        this.#failuresInARow += 1;
        if (failure.kind !== "refused") return;
        if (failure.reason === "fenced") handlers.onFenced(this);
        if (failure.reason === "other-instance") this.#finish("other-instance");
      },
      Right: (report) => {
        if (report.startedAtUnix === this.#options.target.startedAtUnix)
          this.#handleReport(report, requestSentAt);
        else this.#finish("replaced");
      },
    });
  }

  #handleReport(report: TargetReport, requestSentAt: number): void {
    this.#isKnown = true;
    this.#answeredAt = performance.now();
    if (!this.#isFenced && requestSentAt >= this.#fencesFrom) this.#noteFenced();
    this.#failuresInARow = 0;
    this.#listsEnds = report.ends.length > 0;
    this.noteClock(report.clockMilliseconds, performance.now());
    const fresh = report.ends.filter(({ sequence }) => sequence > this.#reportedSequence);
    this.#pace.countEnds(fresh.length, performance.now());
    for (const { sequence } of fresh) this.#reportedSequence = Math.max(this.#reportedSequence, sequence);
    this.#options.handlers.onReport(this, report, fresh, requestSentAt);
  }

  /** From now on the target refuses orders to its former processes; until now one may have extended its lease. */
  #noteFenced(): void {
    this.#isFenced = true;
    if (this.#options.formerOrders !== "none") this.#lease.extendToLongest();
  }

  #lapse(): void {
    const until = this.#options.handlers.onLeaseLapsed(this);
    if (until === undefined) this.#finish("lease-lapsed");
    else this.#lease.extendTo(until, this.#isKnown ? "longest" : "earlier-owner-longest");
  }

  #finish(reason: SessionEndReason): void {
    if (this.#stop.signal.aborted) return;
    this.close();
    this.#options.handlers.onGone(this, reason);
  }
}
