/**
 * Interface of the platform's key-value store, independent of the client that implements it.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";

/**
 * Why a store call returned no result: `over-budget` means that this entry's own rate limit refused the call,
 * `lease-ended` that the lease named in the write no longer exists.
 */
export type StoreFailureKind = "unavailable" | "timeout" | "over-budget" | "bad-answer" | "lease-ended";

/** A store call that returned no result. */
export interface StoreFailure {
  readonly kind: StoreFailureKind;
  readonly message: string;
}

/** A key with its stored value. */
export interface StoreRecord {
  readonly key: string;
  /** The decoded JSON value. */
  readonly value: unknown;
  /** Revision of the store at which this value was written. */
  readonly revision: number;
}

/** All records whose keys start with a prefix, as of one revision of the store. */
export interface StoreListing {
  readonly records: readonly StoreRecord[];
  readonly revision: number;
}

/** A write that takes effect only if the key has the expected revision. */
export interface ConditionalWrite {
  readonly key: string;
  /** The JSON value to write; undefined deletes the key. */
  readonly value: unknown;
  /** The revision that the key must have; 0 when the key must be absent. */
  readonly expectedRevision: number;
  /** The store deletes the key when this lease ends; without it the key stays until it is deleted. */
  readonly leaseId?: string;
}

/**
 * Result of a conditional write: `conflict` when the key has another revision, `not-done` when the write certainly did
 * not reach the store, `unknown` when it may have taken effect or may still do so.
 */
export type WriteResult =
  | { readonly kind: "done"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: StoreRecord | undefined }
  | { readonly kind: "not-done"; readonly failure: StoreFailure }
  | { readonly kind: "unknown"; readonly failure: StoreFailure };

/** A lease granted by the store. */
export interface StoreLease {
  readonly leaseId: string;
  readonly ttlSeconds: number;
}

/** A change of one key. */
export interface StoreChange {
  readonly key: string;
  /** The new value; undefined when the key was deleted. */
  readonly value: unknown;
  readonly revision: number;
}

/** Callbacks of a watch. */
export interface WatchHandlers {
  /** Called for each change, in revision order. */
  onChange(change: StoreChange): void;
  /** Called once when the watch fails; the caller has to open a new one. */
  onBroken(failure: StoreFailure): void;
}

/** An open watch. */
export interface StoreWatch {
  /** Ends the watch. */
  close(): void;
}

/** Client of the platform's key-value store. */
export interface StoreClient {
  /**
   * Reads one key.
   * @param key - the whole key
   * @returns the record, or undefined when the key is absent
   */
  get(key: string): Promise<Either<StoreFailure, StoreRecord | undefined>>;
  /**
   * Reads all keys that start with a prefix.
   * @param prefix - the prefix, not empty
   * @returns the records as of one revision
   */
  list(prefix: string): Promise<Either<StoreFailure, StoreListing>>;
  /**
   * Writes a key if it still has the expected revision.
   * @param write - key, new value and expected revision
   * @returns the result; `unknown` when the response was lost
   */
  compareAndSwap(write: ConditionalWrite): Promise<WriteResult>;
  /**
   * Grants a lease.
   * @param ttlSeconds - time in seconds after which the lease ends unless it is renewed
   * @returns the lease with the time to live that the store granted
   */
  grantLease(ttlSeconds: number): Promise<Either<StoreFailure, StoreLease>>;
  /**
   * Renews a lease.
   * @param leaseId - identifier from `grantLease`
   * @returns true when the lease existed and its whole time to live starts again; false when it has ended
   */
  renewLease(leaseId: string): Promise<Either<StoreFailure, boolean>>;
  /**
   * Ends a lease and deletes its keys.
   * @param leaseId - identifier from `grantLease`
   * @returns true when the lease existed
   */
  revokeLease(leaseId: string): Promise<Either<StoreFailure, boolean>>;
  /**
   * Watches all keys that start with a prefix.
   * @param prefix - the prefix, not empty
   * @param fromRevision - the first revision whose changes are reported
   * @param handlers - receives the changes and the failure of the watch
   * @returns the open watch
   */
  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): StoreWatch;
}

/** The revision that a key must have; 0 when the key must be absent. */
export interface ExpectedRevision {
  readonly key: string;
  readonly revision: number;
}

/** One write of a transaction. */
export interface TransactionWrite {
  readonly key: string;
  /** The JSON value to write; undefined deletes the key. */
  readonly value: unknown;
  /** The store deletes the key when this lease ends; without it the key stays until it is deleted. */
  readonly leaseId?: string;
}

/** Writes of several keys that take effect together, and only if every expected revision holds. */
export interface StoreTransaction {
  readonly expected: readonly ExpectedRevision[];
  readonly writes: readonly TransactionWrite[];
}

/** Result of a transaction; its kinds mean the same as those of `WriteResult`. */
export type TransactionResult =
  | { readonly kind: "done"; readonly revision: number }
  /** At least one expected revision did not hold. */
  | { readonly kind: "conflict"; readonly current: readonly StoreRecord[] }
  | { readonly kind: "not-done"; readonly failure: StoreFailure }
  | { readonly kind: "unknown"; readonly failure: StoreFailure };

/** Changes of the keys that start with a prefix, after a revision. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  /** The revision to pass as `afterRevision` of the next call. */
  readonly revision: number;
}

/** A store client that also supports transactions over several keys and long polling for changes. */
export interface TransactionalStore extends StoreClient {
  /** Length in bytes, as JSON, of the longest value that the store accepts. */
  readonly maximumValueBytes: number;
  /**
   * Writes several keys if every expected revision holds.
   * @param transaction - the expected revisions and the writes, at most `maximumTransactionEntries` together
   * @returns the result; `unknown` when the response was lost, in which case the transaction may still take effect
   * later
   */
  transact(transaction: StoreTransaction): Promise<TransactionResult>;
  /**
   * Waits until a key with the prefix changes, or until the wait has passed.
   * @param prefix - the prefix, not empty
   * @param afterRevision - the last revision that the caller has
   * @param waitMilliseconds - how long the store waits for the first change
   * @returns the changes, empty when the wait passed without any; undefined when the store no longer has the changes
   * after that revision, so that the caller has to list the prefix again
   */
  changesAfter(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
  ): Promise<Either<StoreFailure, StoreChanges | undefined>>;
}

/** Longest value that a store accepts unless its settings tell otherwise, in bytes. */
export const defaultMaximumValueBytes = 1_048_576;
/** Maximum number of expected revisions and writes together in one transaction. */
export const maximumTransactionEntries = 32;

/**
 * Measures a value as the store holds it.
 * @param value - the JSON value; undefined for a key that is deleted
 * @returns its length in bytes, as JSON in UTF-8
 */
export function countValueBytes(value: unknown): number {
  return value === undefined ? 0 : Buffer.byteLength(JSON.stringify(value));
}
