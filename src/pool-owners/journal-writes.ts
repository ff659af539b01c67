/**
 * Interface of an owner's journal: writes of single keys, and their results.
 * @packageDocumentation
 */

/** The result of a write. */
export type JournalResult =
  | "stored"
  /** Not stored, and will not be stored later. */
  | "withdrawn"
  /** Not stored: the key had to be absent but exists. */
  | "exists"
  /** Not stored: the value is longer than the store accepts. */
  | "too-long"
  /** Another entry holds the pool, or the journal was closed; the write may have been stored before. */
  | "superseded";

/** A write in progress. */
export interface JournalWrite {
  readonly result: Promise<JournalResult>;
  /** Withdraws the write if no transaction has contained it yet; its result is then `withdrawn`. */
  withdraw(): void;
}

/** Options of a write. */
export interface JournalWriteOptions {
  /** `soon` waits longer for other writes to share a transaction with; `now` is the default. */
  readonly urgency?: "now" | "soon";
  /** Whether the write fails with `exists` if the key is present; false by default. */
  readonly mustBeAbsent?: boolean;
}

/** An owner's writes to the store. */
export interface OwnerJournal {
  /**
   * Writes a key. The value replaces that of a pending write of the same key which was not sent yet.
   * @param key - the key
   * @param value - the JSON value; undefined deletes the key
   * @param options - the urgency, and whether the key must be absent
   * @returns the write, whose result is settled when it is stored or has failed for good
   */
  write(key: string, value: unknown, options?: JournalWriteOptions): JournalWrite;
  /** Number of writes that are not stored yet. */
  waiting(): number;
  /** Highest store revision of the writes whose results are settled. */
  storedRevision(): number;
  /** Waits until all pending writes have a result; resolves early if the journal is closed. */
  flush(): Promise<void>;
  /** Ends all pending writes with the result `superseded`. */
  close(): void;
}
