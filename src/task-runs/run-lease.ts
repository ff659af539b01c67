/**
 * The lease of all runs on one process of a target, as its owner knows it: the end that it requests, and when the lease has
 * certainly ended.
 * @packageDocumentation
 */

/** Lowest assumed rate of a target's clock relative to real time. */
export const slowestClockRate = 0.98;
/** Added to the computed end of a lease before the lease counts as lapsed. */
const lapseMarginMilliseconds = 150;

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

/** Settings of a lease. */
export interface RunLeaseOptions {
  /** Duration of a requested lease. */
  readonly leaseMilliseconds: number;
  /** The longest lease that the target grants. */
  readonly longestLeaseMilliseconds: number;
  /**
   * Monotonic time in milliseconds until which a lease of an earlier owner may last; the runs under it are unknown
   * before the first report. 0 for no such lease.
   */
  readonly formerLeaseUntil: number;
}

/** The lease of all runs on one process of a target. */
export class RunLease {
  readonly #options: RunLeaseOptions;
  #clock: ClockReading | undefined;
  #lapsesAt: number;
  #requestedAt: number | undefined;

  /**
   * Creates a lease that nothing is known of but the one of an earlier owner.
   * @param options - durations, and the end of the earlier lease
   */
  constructor(options: RunLeaseOptions) {
    this.#options = options;
    this.#lapsesAt = options.formerLeaseUntil;
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
    this.extendTo(readAt + duration + lapseMarginMilliseconds);
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

  /** Counts the lease as lapsed no earlier than at this time, by the monotonic clock. */
  extendTo(lapsesAt: number): void {
    this.#lapsesAt = Math.max(this.#lapsesAt, lapsesAt);
  }

  /** Counts the longest lease from now on: the target may just have been granted it. */
  extendToLongest(): void {
    const longest = this.#options.longestLeaseMilliseconds / slowestClockRate;
    this.extendTo(performance.now() + longest + lapseMarginMilliseconds);
  }
}
