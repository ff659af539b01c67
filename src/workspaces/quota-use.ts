/**
 * What a pool does with its share of a workspace's cap: what runs, what ran lately, and what the share kept from starting.
 * @packageDocumentation
 */
import { addAmounts, byResource, noAmounts, type Amounts, type ResourceIndex } from "./quota-record.js";
import { fitsCap, type ShareUse } from "./quota-shares.js";

/** A peak counts for between one and two of these. */
const peakMilliseconds = 550;
/** A pool that has lacked nothing for so long asks for nothing any more. */
const askingMilliseconds = 300;

/** A pool's use of one share. */
export class QuotaUse implements ShareUse {
  running: Amounts = noAmounts;
  wanted: Amounts = noAmounts;
  least: Amounts = noAmounts;
  #recentPeak: Amounts = noAmounts;
  #earlierPeak: Amounts = noAmounts;
  #peakSince = Number.NEGATIVE_INFINITY;
  #lackedAt = Number.NEGATIVE_INFINITY;
  #now = Number.NEGATIVE_INFINITY;

  /** The most that was running within about a second. */
  get peak(): Amounts {
    return maximum(maximum(this.#recentPeak, this.#earlierPeak), this.running);
  }

  /**
   * Begins a round of placing.
   * @param running - what may be running
   * @param now - the monotonic clock
   */
  begin(running: Amounts, now: number): void {
    this.#notePeak(maximum(this.running, running), now);
    this.#now = now;
    this.running = running;
    this.wanted = noAmounts;
    this.least = noAmounts;
  }

  /**
   * Counts the starts that a share has room for, and notes the others as wanted.
   * @param usable - what may be running
   * @param needs - what one start takes
   * @param wanted - how many could start
   * @param cap - the workspace's cap; what it has no room for is not asked for
   * @returns how many may start
   */
  allow(usable: Amounts, needs: Amounts, wanted: number, cap: Amounts): number {
    const room = byResource((resource) => countFitting(usable, this.running, needs, resource));
    const allowed = Math.max(0, Math.min(wanted, ...room));
    if (allowed === wanted || !fitsCap(needs, cap)) return allowed;
    if (this.wanted === noAmounts) this.least = needs;
    const lacking = wanted - allowed;
    this.wanted = byResource((resource) =>
      Math.min(this.wanted[resource] + needs[resource] * lacking, cap[resource]),
    );
    this.#lackedAt = this.#now;
    return allowed;
  }

  /**
   * Takes the room of starts.
   * @param needs - what one start takes
   * @param count - how many start
   */
  take(needs: Amounts, count: number): void {
    this.running = addAmounts(
      this.running,
      byResource((resource) => needs[resource] * count),
    );
  }

  /** Whether nothing has been lacking for a while. */
  isContent(now: number): boolean {
    return now - this.#lackedAt > askingMilliseconds;
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
