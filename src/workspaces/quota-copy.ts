/**
 * An owner's copy of a workspace's record: the newest known revision, and the effects that the owner's own unanswered
 * writes may have had.
 * @packageDocumentation
 */
import {
  byResource,
  decodeQuotaRecord,
  emptyQuotaRecord,
  noAmounts,
  type Amounts,
  type QuotaRecord,
} from "./quota-record.js";
import { usableShare, type QuotaView } from "./quota-shares.js";

/** An owner's copy of one workspace's record. */
export class QuotaCopy {
  readonly #pool: string;
  #record: QuotaRecord = emptyQuotaRecord;
  #revision = 0;
  #isReadable = true;
  /** Shares that unanswered writes may have stored; all of these writes expected the known revision. */
  #pending: Amounts[] = [];

  /**
   * Creates the copy of a record that does not exist yet.
   * @param pool - name of the owner's pool
   */
  constructor(pool: string) {
    this.#pool = pool;
  }

  /** The record; the last readable one while the newest revision is unreadable. */
  record(): QuotaRecord {
    return this.#record;
  }

  /** The revision that the next write has to expect; 0 when there is no record. */
  revision(): number {
    return this.#revision;
  }

  /** Whether the newest revision is a valid record. */
  isReadable(): boolean {
    return this.#isReadable;
  }

  /**
   * Replaces the copy by a revision of the record, unless the copy is as new.
   * @param value - the stored value, which may be invalid
   * @param revision - the revision of the value
   * @returns whether the revision was newer than the copy
   */
  update(value: unknown, revision: number): boolean {
    if (revision <= this.#revision) return false;
    const record = decodeQuotaRecord(value);
    this.#revision = revision;
    this.#isReadable = record !== undefined;
    // An unreadable record leaves the owner with the share that it knew before.
    if (record !== undefined) this.#record = record;
    // Pending writes expected an earlier revision: they are included in this one or can no longer succeed.
    this.#pending = [];
    return true;
  }

  /** Resets the copy after the store answered that there is no record. */
  clear(): void {
    this.#record = emptyQuotaRecord;
    this.#revision = 0;
    this.#isReadable = true;
  }

  /**
   * Notes a write that was sent: until its answer arrives it may have been carried out, or may still be.
   * @param share - the pool's share in the write
   */
  noteSent(share: Amounts): void {
    this.#pending.push(share);
  }

  /**
   * Notes that a write has certainly not been carried out and never will be.
   * @param share - the same object that was passed to {@link QuotaCopy.noteSent}
   */
  noteNotDone(share: Amounts): void {
    this.#pending = this.#pending.filter((each) => each !== share);
  }

  /**
   * Computes the amounts that the pool may have running.
   * @param cap - the workspace's cap
   * @returns the smallest amounts that unanswered writes may have left; infinite for a resource without a limit
   */
  usable(cap: Amounts): Amounts {
    const usable = usableShare(this.view(cap));
    return byResource((resource) =>
      this.#pending.reduce(
        (least, share) => (cap[resource] === 0 ? least : Math.min(least, share[resource])),
        usable[resource],
      ),
    );
  }

  /** The pool's share in the record; zero when it has none. */
  ownShare(): Amounts {
    return this.#record.pools[this.#pool]?.share ?? noAmounts;
  }

  /** The copy together with the pool and a cap, for the computation of shares. */
  view(cap: Amounts): QuotaView {
    return { record: this.#record, pool: this.#pool, cap };
  }
}
