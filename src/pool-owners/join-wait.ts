/**
 * The wait of an entry that has joined, before it competes for pools. Without it, the first entry to join after an outage
 * of the whole fleet would take all pools.
 * @packageDocumentation
 */

/** Waits for the entries that join together with this one. */
export class JoinWait {
  readonly #settleMilliseconds: number;
  /** When this entry obtained its present lease, by the monotonic clock; undefined while it has none. */
  #joinedAt: number | undefined;
  /** Entries that were members when this one lost its lease; undefined for a process that has just started. */
  #expected: readonly string[] | undefined;

  /**
   * Creates a wait that starts when the entry first has a lease.
   * @param settleMilliseconds - the longest wait
   */
  constructor(settleMilliseconds: number) {
    this.#settleMilliseconds = settleMilliseconds;
  }

  /**
   * Restarts the wait after this entry has lost its lease: other entries may have lost theirs as well.
   * @param entries - the members as last received from the store
   */
  restart(entries: Iterable<string>): void {
    this.#joinedAt = undefined;
    this.#expected = [...entries];
  }

  /**
   * Checks whether this entry, which has a lease, may compete for pools; the first call starts the wait.
   * @param entries - the present members
   * @returns true when all entries that were members before are back, or the longest wait is over
   */
  isOver(entries: ReadonlyMap<string, unknown>): boolean {
    this.#joinedAt ??= performance.now();
    if (performance.now() - this.#joinedAt >= this.#settleMilliseconds) return true;
    return this.#expected?.every((entryId) => entries.has(entryId)) === true;
  }
}
