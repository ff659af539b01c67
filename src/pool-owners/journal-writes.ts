/**
 * What an owner's journal offers: writes of single keys, and how each of them ends.
 * @packageDocumentation
 */

/** How a write ended. */
export type JournalResult =
  | "stored"
  /** Surely not stored, and it never will be. */
  | "withdrawn"
  /** Not stored: the key, which had to be absent, is there already. */
  | "exists"
  /** Another entry holds the pool; the write may have been stored before. */
  | "superseded";

/** A write that is on its way. */
export interface JournalWrite {
  readonly result: Promise<JournalResult>;
  /** Takes the write back if no transaction has carried it yet; its result is then `withdrawn`. */
  withdraw(): void;
}

/** How a key is written. */
export interface JournalWriteOptions {
  /** `soon` lets writes gather for a while; `now` is the default. */
  readonly urgency?: "now" | "soon";
  /** Whether the key must be absent before. */
  readonly mustBeAbsent?: boolean;
}

/** An owner's writes to the store. */
export interface OwnerJournal {
  /**
   * Writes a key. A value replaces one of the same key that still waits.
   * @param key - the key
   * @param value - the JSON value; undefined deletes it
   * @param options - how soon, and whether the key must be absent
   * @returns the write, whose result comes when it is stored
   */
  write(key: string, value: unknown, options?: JournalWriteOptions): JournalWrite;
  /** Writes that are not stored yet. */
  waiting(): number;
  /** Waits until all writes so far have ended. */
  flush(): Promise<void>;
  /** Gives up all writes. */
  close(): void;
}
