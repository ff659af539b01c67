/**
 * How long an entry that has joined waits for others before it competes for pools: whoever joins first after a whole fleet
 * was away would take them all.
 * @packageDocumentation
 */

/** Waits for the entries that join together with this one. */
export class JoinWait {
  readonly #settleMilliseconds: number;
  /** When this entry had a lease first, or again, by the monotonic clock. */
  #joinedAt: number | undefined;
  /** Entries that were there when this one lost its lease; undefined for a process that has just started. */
  #expected: readonly string[] | undefined;

  /**
   * Creates a wait that has not begun.
   * @param settleMilliseconds - the longest wait
   */
  constructor(settleMilliseconds: number) {
    this.#settleMilliseconds = settleMilliseconds;
  }

  /**
   * Begins anew, since this entry has lost its lease; others may have lost theirs as well.
   * @param entries - the entries as last received
   */
  restart(entries: Iterable<string>): void {
    this.#joinedAt = undefined;
    this.#expected = [...entries];
  }

  /**
   * Tells whether this entry, which has a lease, may compete.
   * @param entries - the entries that are there now
   * @returns whether all that were there before are back, or the wait is over
   */
  isOver(entries: ReadonlyMap<string, unknown>): boolean {
    this.#joinedAt ??= performance.now();
    if (performance.now() - this.#joinedAt >= this.#settleMilliseconds) return true;
    return this.#expected?.every((entryId) => entries.has(entryId)) === true;
  }
}
