/**
 * Tracks a pool's use of its share of a workspace's cap: running tasks, the recent peak, and starts that the share
 * was too small for.
 * @packageDocumentation
 */
import { addAmounts, byResource, noAmounts, type Amounts, type ResourceIndex } from "./quota-record.js";
import { fitsCap, type ShareUse } from "./quota-shares.js";

/** Window of the peak; a peak counts for one to two windows, which is how long an unused share is kept. */
const peakMilliseconds = 550;
/** A pool withdraws its demands after its share has been sufficient for this long. */
const demandMilliseconds = 300;

/** A pool's use of one share. */
export class QuotaUse implements ShareUse {
  running: Amounts = noAmounts;
  wanted: Amounts = noAmounts;
  least: Amounts = noAmounts;
  #recentPeak: Amounts = noAmounts;
  #earlierPeak: Amounts = noAmounts;
  #peakSince = Number.NEGATIVE_INFINITY;
  #lastInsufficientAt = Number.NEGATIVE_INFINITY;
  #now = Number.NEGATIVE_INFINITY;

  /** The maximum of the running amounts within about the last second. */
  get peak(): Amounts {
    return maximum(maximum(this.#recentPeak, this.#earlierPeak), this.running);
  }

  /**
   * Begins a placement round.
   * @param running - amounts of the tasks that may be running
   * @param now - monotonic time in milliseconds
   */
  begin(running: Amounts, now: number): void {
    this.#notePeak(maximum(this.running, running), now);
    this.#now = now;
    this.running = running;
    this.wanted = noAmounts;
    this.least = noAmounts;
  }

  /**
   * Counts the starts that fit into the usable amounts, and notes the others as wanted.
   * @param usable - the amounts that the pool may have running
   * @param needs - the amounts of one start
   * @param wanted - the number of tasks that are ready to start
   * @param cap - the workspace's cap; a start that exceeds it is not noted as wanted
   * @returns the number of tasks that may start, at most `wanted`
   */
  allow(usable: Amounts, needs: Amounts, wanted: number, cap: Amounts): number {
    const fitting = byResource((resource) => countFitting(usable, this.running, needs, resource));
    const allowed = Math.max(0, Math.min(wanted, ...fitting));
    if (allowed === wanted || !fitsCap(needs, cap)) return allowed;
    if (this.wanted === noAmounts) this.least = needs;
    const refused = wanted - allowed;
    this.wanted = byResource((resource) =>
      Math.min(this.wanted[resource] + needs[resource] * refused, cap[resource]),
    );
    this.#lastInsufficientAt = this.#now;
    return allowed;
  }

  /**
   * Counts tasks that are started as running.
   * @param needs - the amounts of one start
   * @param count - the number of starts
   */
  take(needs: Amounts, count: number): void {
    this.running = addAmounts(
      this.running,
      byResource((resource) => needs[resource] * count),
    );
  }

  /** Whether the share has been sufficient for a while. */
  isSatisfied(now: number): boolean {
    return now - this.#lastInsufficientAt > demandMilliseconds;
  }

  #notePeak(running: Amounts, now: number): void {
    if (now - this.#peakSince <= peakMilliseconds) {
      this.#recentPeak = maximum(this.#recentPeak, running);
      return;
    }
    this.#earlierPeak = this.#recentPeak;
    this.#recentPeak = running;
    this.#peakSince = now;
  }
}

function countFitting(usable: Amounts, running: Amounts, needs: Amounts, resource: ResourceIndex): number {
  if (needs[resource] <= 0) return Number.POSITIVE_INFINITY;
  return Math.floor((usable[resource] - running[resource]) / needs[resource]);
}

function maximum(left: Amounts, right: Amounts): Amounts {
  return byResource((resource) => Math.max(left[resource], right[resource]));
}
