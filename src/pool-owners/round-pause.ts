/**
 * Pauses between placement rounds. When events arrive faster than the owner can handle them, the pauses limit the share of
 * the process that rounds take, however many events arrive and however long a round takes.
 * @packageDocumentation
 */

/** A round waits this long for further events, so that events that arrive together are handled in one round. */
const shortestMilliseconds = 4;
/** Room that has become free stays unused for no longer than this before the next round. */
const longestMilliseconds = 60;
/** The pause after a round is this many times the time that the round took. */
const pauseFactor = 8;

/** Computes the pauses between rounds from the time that recent rounds took. */
export class RoundPace {
  #last = 0;
  #beforeLast = 0;

  /** Records how long a round took. */
  recordRound(milliseconds: number): void {
    this.#beforeLast = this.#last;
    this.#last = milliseconds;
  }

  /**
   * Computes the pause before the next round.
   * @returns milliseconds, 4 to 60; by the shorter of the last two rounds, because a single long round among short ones was
   * probably only interrupted
   */
  pauseMilliseconds(): number {
    const cost = Math.min(this.#last, this.#beforeLast);
    return Math.min(longestMilliseconds, Math.max(shortestMilliseconds, pauseFactor * cost));
  }
}
