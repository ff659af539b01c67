/**
 * When the next round of placing is held. Answers an owner whose news come faster than it can decide: rounds never take more
 * than a share of the process, however much news comes and however long they take.
 * @packageDocumentation
 */

/** Placing waits this long for news that comes together. */
const shortestMilliseconds = 4;
/** Room that has become free waits no longer than this for its next task. */
const longestMilliseconds = 60;
/** A round is followed by so many times the time that it took. */
const pauseFactor = 8;

/** Chooses the pauses between rounds. */
export class RoundPace {
  #last = 0;
  #beforeLast = 0;

  /** Notes how long a round took. */
  recordRound(milliseconds: number): void {
    this.#beforeLast = this.#last;
    this.#last = milliseconds;
  }

  /**
   * Computes how long news waits before the next round.
   * @returns milliseconds; one long round among short ones was only interrupted, and does not count
   */
  pauseMilliseconds(): number {
    const cost = Math.min(this.#last, this.#beforeLast);
    return Math.min(longestMilliseconds, Math.max(shortestMilliseconds, pauseFactor * cost));
  }
}
