/**
 * Tells whether this process falls behind. Answers an entry whose machine has turned slow, or that has more to decide than
 * it can: its timers all run late, not only one after a pause.
 * @packageDocumentation
 */

/** Over about this time the lateness of timers is averaged. */
const windowMilliseconds = 1_000;
/** A process is behind when its timers spend more than this share of the time waiting for it. */
const behindShare = 0.6;
/** One late timer alone was only interrupted. */
const fewestLateTimers = 2;

/** Measures how late a timer runs that is set again and again. */
export class LagGauge {
  readonly #intervalMilliseconds: number;
  #share = 0;
  #lateInARow = 0;

  /**
   * Creates a gauge.
   * @param intervalMilliseconds - for how long the timer is set each time
   */
  constructor(intervalMilliseconds: number) {
    this.#intervalMilliseconds = intervalMilliseconds;
  }

  /**
   * Notes that the timer has run.
   * @param setAt - when it was set, by the monotonic clock
   * @param ranAt - when it ran
   */
  note(setAt: number, ranAt: number): void {
    const elapsed = Math.max(1, ranAt - setAt);
    const late = Math.max(0, elapsed - this.#intervalMilliseconds) / elapsed;
    const weight = 1 - Math.exp(-elapsed / windowMilliseconds);
    this.#share += weight * (late - this.#share);
    this.#lateInARow = late > behindShare ? this.#lateInARow + 1 : 0;
  }

  /** The share of the time that the timer has waited for the process lately. */
  lateShare(): number {
    return this.#share;
  }

  /** Whether the process falls behind. */
  isBehind(): boolean {
    return this.#share > behindShare && this.#lateInARow >= fewestLateTimers;
  }
}
