/**
 * An owner's connection to one life of a target: renews the lease of its runs, follows them and reports their ends.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";
import type { Metrics } from "../telemetry/index.js";
import { RepeatedRenewal } from "./repeated-renewal.js";
import type { RegisteredTarget, RunEnd, TargetOrders, TargetReport } from "./target-orders.js";

/** What a session tells and asks its owner. */
export interface TargetSessionHandlers {
  /** A report came; its ends that were not reported before are given apart. */
  onReport(
    session: TargetSession,
    report: TargetReport,
    freshEnds: readonly RunEnd[],
    requestSentAt: number,
  ): void;
  /** This life of the target is over, or all that it ran has lost its lease: nothing of it runs any more. */
  onGone(session: TargetSession, reason: SessionEndReason): void;
  /** The target has seen a higher fencing token: another owner has taken over. */
  onFenced(session: TargetSession): void;
  /** Whether the owner may still give orders. */
  isActive(): boolean;
  /** How long the next renewal should wait for an end, in milliseconds. */
  chooseWait(session: TargetSession): number;
}

/** Why nothing runs on a target any more. */
export type SessionEndReason = "replaced" | "lease-lapsed" | "closed";

/** Settings of a session. */
export interface TargetSessionOptions {
  readonly target: RegisteredTarget;
  readonly orders: TargetOrders;
  readonly fencingToken: number;
  /** How long a lease lasts. */
  readonly leaseMilliseconds: number;
  readonly metrics: Metrics;
  readonly handlers: TargetSessionHandlers;
  /**
   * A lease that an earlier owner may have given lasts until then, by the monotonic clock; nothing is known of it
   * before the first report.
   */
  readonly formerLeaseUntil: number;
}

const renewTimeoutMilliseconds = 1_000;
const retryMilliseconds = 150;
/** Pause after a report, in which further ends gather; longer where ends come fast. */
const shortestPauseMilliseconds = 25;
const longestPauseMilliseconds = 60;
/** By how much the pause grows for each end a second. */
const pausePerEnd = 1.4;
/** Over about this time ends are counted. */
const rateMilliseconds = 1_000;
/** A target's clock may be this much slower than true time. */
export const slowestClockRate = 0.98;
const lapseMarginMilliseconds = 150;

interface ClockReading {
  readonly value: number;
  /** When it was received, by the monotonic clock of this process. */
  readonly readAt: number;
}

/** What a clock shows at least at a later time. */
function earliestValue({ value, readAt }: ClockReading, now: number): number {
  return value + (now - readAt) * slowestClockRate;
}

/** An owner's connection to one life of a target. */
export class TargetSession {
  readonly targetId: string;
  readonly #options: TargetSessionOptions;
  readonly #stop = new AbortController();
  #target: RegisteredTarget;
  #isListed = true;
  #isKnown = false;
  #failuresInARow = 0;
  #clock: ClockReading | undefined;
  #leaseLapsesAt: number;
  #acknowledgedSequence = 0;
  #reportedSequence = 0;
  /** Whether the last report listed ends. */
  #listsEnds = false;
  #endsPerSecond = 0;
  #reportedAt = performance.now();
  #pause = new AbortController();
  readonly #renewal = new RepeatedRenewal();

  /**
   * Creates a session; `run` begins to renew.
   * @param options - the target, its orders and whom to tell
   */
  constructor(options: TargetSessionOptions) {
    this.#options = options;
    this.#target = options.target;
    this.targetId = options.target.targetId;
    this.#leaseLapsesAt = options.formerLeaseUntil;
  }

  /** What the registry said last of the target. */
  target(): RegisteredTarget {
    return this.#target;
  }

  /** Takes over news of the registry about the same life. */
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

  /** Whether a report of this life has arrived. */
  isKnown(): boolean {
    return this.#isKnown;
  }

  /** Renewals that have failed since the last report. */
  failuresInARow(): number {
    return this.#failuresInARow;
  }

  /** Whether the target answers: what it reported last is still true. */
  isResponsive(): boolean {
    return this.#isKnown && this.#failuresInARow === 0;
  }

  /** When everything that was started here has surely lost its lease, by the monotonic clock. */
  leaseLapsesAt(): number {
    return this.#leaseLapsesAt;
  }

  /**
   * Computes the end of the lease to ask for.
   * @returns a time of the target's clock; undefined before the first report
   */
  nextLeaseEnd(): number | undefined {
    if (this.#clock === undefined) return undefined;
    const { value, readAt } = this.#clock;
    const end = Math.floor(value + (performance.now() - readAt) + this.#options.leaseMilliseconds);
    const lasts = (end - value) / slowestClockRate;
    this.#leaseLapsesAt = Math.max(this.#leaseLapsesAt, readAt + lasts + lapseMarginMilliseconds);
    return end;
  }

  /** Notes the target's clock as an answer told it; one that was read late says less than the reading before. */
  noteClock(clockMilliseconds: number, receivedAt: number): void {
    if (this.#clock !== undefined && clockMilliseconds < earliestValue(this.#clock, receivedAt)) return;
    this.#clock = { value: clockMilliseconds, readAt: receivedAt };
  }

  /** Ends up to this sequence have been stored and are acknowledged with the next renewal. */
  acknowledge(sequence: number): void {
    this.#acknowledgedSequence = Math.max(this.#acknowledgedSequence, sequence);
  }

  /** Ends up to this sequence have been stored. */
  acknowledgedSequence(): number {
    return this.#acknowledgedSequence;
  }

  /** How long the target has not answered since it was last asked, in milliseconds; 0 while nothing is asked. */
  silentMilliseconds(): number {
    return this.#renewal.silentMilliseconds();
  }

  /** Asks for a report that waits for no end, beside the renewal that has no answer yet. */
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

  /** Renews until this life of the target is over or the session is closed. */
  async run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      if (this.#options.handlers.isActive()) await this.#renewOnce();
      if (this.#failuresInARow > 0 && this.#hasLapsed()) this.#finish("lease-lapsed");
      await this.#rest(this.#failuresInARow > 0 ? retryMilliseconds : this.#choosePause());
    }
  }

  /** A next life would forget ends that nobody has seen: nothing is acknowledged without need, or after a failure. */
  #nextAcknowledgement(): number {
    return this.#listsEnds && this.#failuresInARow === 0 ? this.#acknowledgedSequence : 0;
  }

  async #rest(milliseconds: number): Promise<void> {
    if (this.#stop.signal.aborted) return;
    this.#pause = new AbortController();
    await delay(milliseconds, this.#pause.signal);
  }

  /** Whether a lease was given here or taken over, and has surely ended. */
  #hasLapsed(): boolean {
    return this.#leaseLapsesAt > 0 && performance.now() > this.#leaseLapsesAt;
  }

  async #renewOnce(): Promise<void> {
    const { orders, fencingToken, handlers, metrics } = this.#options;
    // While nothing answers no lease is asked for: an order without an answer may have renewed it, so that what runs
    // there would never count as ended.
    const isSteady = this.#isKnown && this.#failuresInARow === 0;
    const waitMilliseconds = isSteady ? handlers.chooseWait(this) : 0;
    const { outcome, requestSentAt } = await this.#renewal.ask(async (isAgain) => {
      const wait = isAgain ? 0 : waitMilliseconds;
      return orders.renew({
        target: this.#target,
        fencingToken,
        acknowledgedSequence: this.#nextAcknowledgement(),
        leaseUntilMilliseconds: isSteady ? this.nextLeaseEnd() : undefined,
        waitMilliseconds: wait,
        timeoutMilliseconds: wait + renewTimeoutMilliseconds,
      });
    });
    if (this.#stop.signal.aborted) return;
    metrics.count("target_renewals_total", { result: outcome.isRight() ? "answered" : "failed" });
    outcome.caseOf({
      Left: (failure) => {
        this.#failuresInARow += 1;
        if (failure.kind !== "refused") return;
        if (failure.reason === "fenced") handlers.onFenced(this);
        if (failure.reason === "other-instance") this.#finish("replaced");
      },
      Right: (report) => {
        if (report.startedAtUnix === this.#options.target.startedAtUnix)
          this.#takeReport(report, requestSentAt);
        else this.#finish("replaced");
      },
    });
  }

  #takeReport(report: TargetReport, requestSentAt: number): void {
    this.#isKnown = true;
    this.#failuresInARow = 0;
    this.#listsEnds = report.ends.length > 0;
    this.noteClock(report.clockMilliseconds, performance.now());
    const fresh = report.ends.filter(({ sequence }) => sequence > this.#reportedSequence);
    this.#countEnds(fresh.length);
    for (const { sequence } of fresh) this.#reportedSequence = Math.max(this.#reportedSequence, sequence);
    this.#options.handlers.onReport(this, report, fresh, requestSentAt);
  }

  #countEnds(count: number): void {
    const now = performance.now();
    const elapsed = Math.max(1, now - this.#reportedAt);
    this.#reportedAt = now;
    const weight = Math.min(1, elapsed / rateMilliseconds);
    this.#endsPerSecond += weight * ((count * 1_000) / elapsed - this.#endsPerSecond);
  }

  #choosePause(): number {
    return Math.min(longestPauseMilliseconds, shortestPauseMilliseconds + pausePerEnd * this.#endsPerSecond);
  }

  #finish(reason: SessionEndReason): void {
    if (this.#stop.signal.aborted) return;
    this.close();
    this.#options.handlers.onGone(this, reason);
  }
}
