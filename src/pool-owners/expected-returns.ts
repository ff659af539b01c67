/**
 * Targets whose next process is expected: another process has answered in place of the one that their owner knew, and no
 * session with it is open yet.
 * @packageDocumentation
 */

/** Targets that are expected to return, each for a limited time. */
export class ExpectedReturns {
  readonly #timers = new Map<string, NodeJS.Timeout>();

  /**
   * Expects a target; an earlier expectation of it ends.
   * @param targetId - the target
   * @param milliseconds - how long the target is expected
   * @param onMissed - called when it has not returned in this time
   */
  expect(targetId: string, milliseconds: number, onMissed: () => void): void {
    this.end(targetId);
    const timer = setTimeout(() => {
      this.#timers.delete(targetId);
      onMissed();
    }, milliseconds);
    timer.unref();
    this.#timers.set(targetId, timer);
  }

  /**
   * Ends the expectation of a target, if there is one: a session with it is open again.
   * @param targetId - the target
   */
  end(targetId: string): void {
    clearTimeout(this.#timers.get(targetId));
    this.#timers.delete(targetId);
  }

  /** Ends all expectations; nothing is called any more. */
  close(): void {
    for (const timer of this.#timers.values()) clearTimeout(timer);
    this.#timers.clear();
  }
}
