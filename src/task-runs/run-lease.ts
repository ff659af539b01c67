/**
 * The lease of all runs on one process of a target, as its owner knows it: the end that it requests, and when the lease has
 * certainly ended.
 * @packageDocumentation
 */

/** Lowest assumed rate of a target's clock relative to real time. */
export const slowestClockRate = 0.98;
/** Added to the computed end of a lease before the lease counts as lapsed. */
const lapseMarginMilliseconds = 150;
/** A clock this much below the least possible one is of another process. */
const clockMarginMilliseconds = 1_000;

interface ClockReading {
  /** The target's clock, in milliseconds. */
  readonly value: number;
  /** When the value was received, by the monotonic clock of this process. */
  readonly readAt: number;
}

/** Returns the least value that a target's clock can show at a later time. */
function earliestValue({ value, readAt }: ClockReading, now: number): number {
  return value + (now - readAt) * slowestClockRate;
}

/**
 * How the end of a lease was worked out:
 * - `none`: there was no lease.
 * - `requested`: from the lease that this owner requested.
 * - `longest`: the target may hold the longest lease that it grants.
 * - `earlier-owner-requested`, `earlier-owner-longest`: from the lease that an earlier owner requested, or the longest one.
 * - `unsettled-starts`: the longest lease, because of starts that were sent to a former process.
 */
export type LeaseBasis =
  "none" | "requested" | "longest" | "earlier-owner-requested" | "earlier-owner-longest" | "unsettled-starts";

/** The end of a lease that may last on a target when its session opens. */
export interface FormerLease {
  /**
   * Monotonic time in milliseconds until which a lease of an earlier owner may last; the runs under it are unknown
   * before the first report. 0 for no such lease.
   */
  readonly until: number;
  readonly basis: LeaseBasis;
}

/** No lease of an earlier owner. */
export const noFormerLease: FormerLease = { until: 0, basis: "none" };

/** Settings of a lease. */
export interface RunLeaseOptions {
  /** Duration of a requested lease. */
  readonly leaseMilliseconds: number;
  /** The longest lease that the target grants. */
  readonly longestLeaseMilliseconds: number;
  readonly formerLease: FormerLease;
}

/** The lease of all runs on one process of a target. */
export class RunLease {
  readonly #options: RunLeaseOptions;
  #clock: ClockReading | undefined;
  #lapsesAt: number;
  #basis: LeaseBasis;
  #requestedAt: number | undefined;

  /**
   * Creates a lease that nothing is known of but the one of an earlier owner.
   * @param options - durations, and the end of the earlier lease
   */
  constructor(options: RunLeaseOptions) {
    this.#options = options;
    this.#lapsesAt = options.formerLease.until;
    this.#basis = options.formerLease.basis;
  }

  /**
   * Whether an answer's clock is below what the target's process must have shown when the order was sent, so that another process
   * has answered.
   * @param clockMilliseconds - the target's clock in the answer
   * @param requestSentAt - when the order was sent, by the monotonic clock
   * @returns false when the answer may be of the same process, whether or not it was read late
   */
  isOfAnotherProcess(clockMilliseconds: number, requestSentAt: number): boolean {
    if (this.#clock === undefined) return false;
    const { value, readAt } = this.#clock;
    const elapsed = requestSentAt - readAt;
    const least = value + elapsed * (elapsed > 0 ? slowestClockRate : 1);
    return clockMilliseconds < least - clockMarginMilliseconds;
  }

  /** Notes the target's clock from an answer. A value below what the earlier reading implies was read late: ignored. */
  noteClock(clockMilliseconds: number, receivedAt: number): void {
    if (this.#clock !== undefined && clockMilliseconds < earliestValue(this.#clock, receivedAt)) return;
    this.#clock = { value: clockMilliseconds, readAt: receivedAt };
  }

  /**
   * Computes the end of the lease to request, and extends the time at which the lease counts as lapsed accordingly.
   * @returns a time of the target's clock in milliseconds; undefined before the first answer
   */
  nextEnd(): number | undefined {
    if (this.#clock === undefined) return undefined;
    const { value, readAt } = this.#clock;
    this.#requestedAt = performance.now();
    const end = Math.floor(value + (this.#requestedAt - readAt) + this.#options.leaseMilliseconds);
    const duration = (end - value) / slowestClockRate;
    this.extendTo(readAt + duration + lapseMarginMilliseconds, "requested");
    return end;
  }

  /** When a lease was last requested, by the monotonic clock; undefined before the first request. */
  requestedAt(): number | undefined {
    return this.#requestedAt;
  }

  /** Monotonic time in milliseconds at which the lease has certainly lapsed; 0 when there was none. */
  lapsesAt(): number {
    return this.#lapsesAt;
  }

  /** Whether there was a lease, of this or an earlier owner, and it has certainly ended. */
  hasLapsed(): boolean {
    return this.#lapsesAt > 0 && performance.now() > this.#lapsesAt;
  }

  /** How the end of the lease was worked out. */
  basis(): LeaseBasis {
    return this.#basis;
  }

  /**
   * Counts the lease as lapsed no earlier than at this time.
   * @param lapsesAt - monotonic time in milliseconds
   * @param basis - how the time was worked out
   */
  extendTo(lapsesAt: number, basis: LeaseBasis): void {
    if (lapsesAt <= this.#lapsesAt) return;
    this.#lapsesAt = lapsesAt;
    this.#basis = basis;
  }

  /** Counts the longest lease from now on: the target may just have been granted it. */
  extendToLongest(): void {
    const longest = this.#options.longestLeaseMilliseconds / slowestClockRate;
    this.extendTo(performance.now() + longest + lapseMarginMilliseconds, "longest");
  }
}
