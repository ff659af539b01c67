/**
 * An owner's copy of the record of a workspace: which revision it knows, and what its own writes without an answer may
 * have made of it.
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

/** What an owner knows of the record of one workspace. */
export class QuotaCopy {
  readonly #pool: string;
  #record: QuotaRecord = emptyQuotaRecord;
  #revision = 0;
  #isReadable = true;
  /** Shares that writes may have left which have brought no answer; all expected the known revision. */
  #pending: Amounts[] = [];

  /**
   * Creates the copy of a record that does not exist yet.
   * @param pool - the owner's pool
   */
  constructor(pool: string) {
    this.#pool = pool;
  }

  /** The record, as it was before when it cannot be read now. */
  record(): QuotaRecord {
    return this.#record;
  }

  /** The revision that a write has to expect. */
  revision(): number {
    return this.#revision;
  }

  /** Whether the newest revision could be read. */
  isReadable(): boolean {
    return this.#isReadable;
  }

  /**
   * Takes the record as somebody read it, unless a newer one is known.
   * @param value - the stored value
   * @param revision - its revision
   * @returns whether it was newer
   */
  offer(value: unknown, revision: number): boolean {
    if (revision <= this.#revision) return false;
    const record = decodeQuotaRecord(value);
    this.#revision = revision;
    this.#isReadable = record !== undefined;
    // What cannot be read leaves the owner with the share that it knew.
    if (record !== undefined) this.#record = record;
    // Writes that expected a revision before this one have been carried out in it, or never will be.
    this.#pending = [];
    return true;
  }

  /** Takes the answer that there is no such record. */
  clear(): void {
    this.#record = emptyQuotaRecord;
    this.#revision = 0;
    this.#isReadable = true;
  }

  /**
   * Notes a write that is on its way: until its answer comes it may have been carried out, or may still be.
   * @param share - the share that it gives the pool
   */
  noteSent(share: Amounts): void {
    this.#pending.push(share);
  }

  /**
   * Notes that a write was surely not carried out and never will be.
   * @param share - the share that it would have given, as it was noted
   */
  noteNotDone(share: Amounts): void {
    this.#pending = this.#pending.filter((each) => each !== share);
  }

  /**
   * Computes what the pool may have running.
   * @param cap - the workspace's cap
   * @returns the amounts, the smallest that a write without an answer may have left; infinite where there is no limit
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

  /** The pool's own share in the record. */
  ownShare(): Amounts {
    return this.#record.pools[this.#pool]?.share ?? noAmounts;
  }

  /** The copy as decisions see it. */
  view(cap: Amounts): QuotaView {
    return { record: this.#record, pool: this.#pool, cap };
  }
}
