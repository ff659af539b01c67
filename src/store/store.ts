/**
 * The platform's key-value service as the other slices see it.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";

/** Why a call to the store brought no result. */
export type StoreFailureKind = "unavailable" | "timeout" | "over-budget" | "bad-answer" | "lease-ended";

/** A call to the store that brought no result. */
export interface StoreFailure {
  readonly kind: StoreFailureKind;
  readonly message: string;
}

/** One stored value. */
export interface StoreRecord {
  readonly key: string;
  /** The decoded JSON value. */
  readonly value: unknown;
  /** The store's revision at which this value was written. */
  readonly revision: number;
}

/** All records below a prefix, as of one revision of the store. */
export interface StoreListing {
  readonly records: readonly StoreRecord[];
  readonly revision: number;
}

/** A conditional write. */
export interface ConditionalWrite {
  readonly key: string;
  /** The JSON value to write; undefined deletes the key. */
  readonly value: unknown;
  /** The revision the key must have; 0 when it must be absent. */
  readonly expectedRevision: number;
  /** The lease that the key is removed with. */
  readonly leaseId?: string;
}

/** How a conditional write ended. */
export type WriteResult =
  | { readonly kind: "done"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: StoreRecord | undefined }
  | { readonly kind: "not-done"; readonly failure: StoreFailure }
  | { readonly kind: "unknown"; readonly failure: StoreFailure };

/** A lease in the store. */
export interface StoreLease {
  readonly leaseId: string;
  readonly ttlSeconds: number;
}

/** A change that a watch reports. */
export interface StoreChange {
  readonly key: string;
  /** The new value, undefined when the key was deleted. */
  readonly value: unknown;
  readonly revision: number;
}

/** What a watch calls. */
export interface WatchHandlers {
  /** Called for each change, in the store's order. */
  onChange(change: StoreChange): void;
  /** Called once when the watch broke; it has to be set up anew. */
  onBroken(failure: StoreFailure): void;
}

/** A waiting watch. */
export interface StoreWatch {
  /** Ends the watch. */
  close(): void;
}

/** The calls of the platform's key-value service. */
export interface StoreClient {
  /**
   * Reads one key.
   * @param key - the key
   * @returns the record, or undefined when the key is absent
   */
  get(key: string): Promise<Either<StoreFailure, StoreRecord | undefined>>;
  /**
   * Reads all keys below a prefix.
   * @param prefix - the common start of the keys
   * @returns the records as of one revision
   */
  list(prefix: string): Promise<Either<StoreFailure, StoreListing>>;
  /**
   * Writes a key if it still has the expected revision.
   * @param write - key, value and expected revision
   * @returns how it ended; `unknown` when the answer was lost
   */
  compareAndSwap(write: ConditionalWrite): Promise<WriteResult>;
  /**
   * Grants a lease.
   * @param ttlSeconds - how long it lasts without renewal
   * @returns the lease
   */
  grantLease(ttlSeconds: number): Promise<Either<StoreFailure, StoreLease>>;
  /**
   * Renews a lease.
   * @param leaseId - the lease
   * @returns true when it still stood and now lasts its whole time again
   */
  renewLease(leaseId: string): Promise<Either<StoreFailure, boolean>>;
  /**
   * Ends a lease and deletes its keys.
   * @param leaseId - the lease
   * @returns true when it stood
   */
  revokeLease(leaseId: string): Promise<Either<StoreFailure, boolean>>;
  /**
   * Watches all keys below a prefix.
   * @param prefix - the common start of the keys
   * @param fromRevision - the first revision that is reported
   * @param handlers - what is called
   * @returns the watch
   */
  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): StoreWatch;
}

/** The revision that a key must have; 0 when it must be absent. */
export interface ExpectedRevision {
  readonly key: string;
  readonly revision: number;
}

/** A write that is part of a transaction. */
export interface TransactionWrite {
  readonly key: string;
  /** The JSON value to write; undefined deletes the key. */
  readonly value: unknown;
  /** The lease that the key is removed with. */
  readonly leaseId?: string;
}

/** Writes of several keys that take effect together or not at all. */
export interface StoreTransaction {
  readonly expected: readonly ExpectedRevision[];
  readonly writes: readonly TransactionWrite[];
}

/** How a transaction ended. */
export type TransactionResult =
  | { readonly kind: "done"; readonly revision: number }
  /** An expected revision did not hold. */
  | { readonly kind: "conflict"; readonly current: readonly StoreRecord[] }
  | { readonly kind: "not-done"; readonly failure: StoreFailure }
  | { readonly kind: "unknown"; readonly failure: StoreFailure };

/** Changes below a prefix after a revision. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  /** Where the next call continues. */
  readonly revision: number;
}

/** A store that also writes several keys at once and answers bounded waits for changes. */
export interface TransactionalStore extends StoreClient {
  /**
   * Writes several keys if all expected revisions hold.
   * @param transaction - the expected revisions and the writes, at most `maximumTransactionEntries` together
   * @returns how it ended; `unknown` when the answer was lost, and it may still take effect later
   */
  transact(transaction: StoreTransaction): Promise<TransactionResult>;
  /**
   * Waits for changes.
   * @param prefix - the common start of the keys
   * @param afterRevision - the last revision that is known
   * @param waitMilliseconds - how long the store waits for a first change
   * @returns the changes, empty when the wait passed; undefined when the history is gone and a list is needed
   */
  changesAfter(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
  ): Promise<Either<StoreFailure, StoreChanges | undefined>>;
}

/** Expected revisions and writes that one transaction may hold. */
export const maximumTransactionEntries = 32;
