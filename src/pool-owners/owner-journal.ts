/**
 * An owner's writes to the store. Only one transaction is in progress at a time, and each one requires that the owner
 * record is unchanged. Thus nothing is written once another entry holds the pool, and no abandoned transaction takes effect
 * after a later write.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";
import {
  maximumTransactionEntries,
  type ExpectedRevision,
  type StoreRecord,
  type TransactionalStore,
  type TransactionResult,
} from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { decodeOwnerRecord, type OwnerRecord } from "./owner-record.js";
import { chooseBatch, measureWrite, type PendingWrite } from "./journal-batch.js";
import type { OwnerJournal, JournalResult, JournalWrite, JournalWriteOptions } from "./journal-writes.js";

/** Settings of a journal. */
export interface OwnerJournalOptions {
  readonly store: TransactionalStore;
  readonly ownerKey: string;
  /** The owner record as it was written when the pool was taken. */
  readonly record: OwnerRecord;
  /** The revision of that record. */
  readonly revision: number;
  readonly leaseId: string;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called once when another entry holds the pool. */
  onSuperseded(reason: string): void;
}

const retryMilliseconds = 60;
/** How long urgent writes wait for other writes, to share a transaction with them. */
const urgentBatchDelayMilliseconds = 15;
/** How long writes that are not urgent wait for other writes. */
const batchDelayMilliseconds = 400;

/** A journal whose transactions require that the owner record is unchanged. */
export class StoredOwnerJournal implements OwnerJournal {
  readonly #options: OwnerJournalOptions;
  #pendingWrites: PendingWrite[] = [];
  /** The latest pending write of each key. */
  readonly #last = new Map<string, PendingWrite>();
  #revision: number;
  #storedRevision: number;
  #record: OwnerRecord;
  #isClosed = false;
  #running: Promise<void> | undefined;
  #hasUrgent = false;
  #batchDelay = new AbortController();

  /**
   * Creates a journal without pending writes.
   * @param options - the owner record and the store
   */
  constructor(options: OwnerJournalOptions) {
    this.#options = options;
    this.#revision = options.revision;
    this.#storedRevision = options.revision;
    this.#record = options.record;
  }

  write(key: string, value: unknown, options: JournalWriteOptions = {}): JournalWrite {
    const { urgency = "now", mustBeAbsent = false } = options;
    let settle: (result: JournalResult) => void = () => undefined;
    const result = new Promise<JournalResult>((resolve) => {
      settle = resolve;
    });
    if (this.#isClosed) {
      settle("superseded");
      return { result, withdraw: () => undefined };
    }
    const item = this.#add({ key, value, mustBeAbsent, isUrgent: urgency === "now" }, settle);
    this.#start(urgency);
    const withdraw = (): void => {
      if (!item.isSent && this.#pendingWrites.includes(item)) this.#settle([item], "withdrawn");
    };
    return { result, withdraw };
  }

  waiting(): number {
    return this.#pendingWrites.length;
  }

  storedRevision(): number {
    return this.#storedRevision;
  }

  async flush(): Promise<void> {
    while (this.#running !== undefined && !this.#isClosed) {
      this.#batchDelay.abort();
      await this.#running;
    }
  }

  /** The precondition for transactions of this owner: it makes them fail once another entry holds the pool. */
  expectHeld(): ExpectedRevision {
    return { key: this.#options.ownerKey, revision: this.#revision };
  }

  close(): void {
    this.#isClosed = true;
    this.#settle(this.#pendingWrites, "superseded");
  }

  #add(
    write: Pick<PendingWrite, "key" | "value" | "mustBeAbsent" | "isUrgent">,
    settle: (result: JournalResult) => void,
  ): PendingWrite {
    // Only the latest pending write may be replaced: an older one of the key may be pending for a retry before it.
    const earlier = this.#last.get(write.key);
    if (earlier?.isSent === false) {
      earlier.value = write.value;
      earlier.valueBytes = undefined;
      if (write.isUrgent) this.#makeKeyUrgent(write.key);
      earlier.settles.push(settle);
      return earlier;
    }
    const item: PendingWrite = {
      ...write,
      valueBytes: undefined,
      settles: [settle],
      isSent: false,
      mayBeStored: false,
    };
    // An older write of the key may have to be sent again, and must not be sent after this one.
    if (write.isUrgent && earlier !== undefined) this.#makeKeyUrgent(write.key);
    this.#pendingWrites.push(item);
    this.#last.set(write.key, item);
    return item;
  }

  /** Makes all pending writes of a key urgent, so that they keep their order. */
  #makeKeyUrgent(key: string): void {
    for (const item of this.#pendingWrites) item.isUrgent ||= item.key === key;
  }

  #start(urgency: "now" | "soon"): void {
    if (urgency === "now" && !this.#hasUrgent) {
      this.#hasUrgent = true;
      setTimeout(() => {
        this.#batchDelay.abort();
      }, urgentBatchDelayMilliseconds);
    }
    this.#running ??= this.#run();
  }

  async #run(): Promise<void> {
    while (this.#pendingWrites.length > 0 && !this.#isClosed) {
      const isUrgent = this.#hasUrgent || this.#pendingWrites.some((item) => item.isSent || item.isUrgent);
      // Waiting is of no use once the pending writes fill a transaction.
      if (this.#pendingWrites.length < maximumTransactionEntries)
        await delay(
          isUrgent ? urgentBatchDelayMilliseconds : batchDelayMilliseconds,
          this.#batchDelay.signal,
        );
      this.#batchDelay = new AbortController();
      this.#hasUrgent = false;
      await this.#writeOnce();
    }
    this.#running = undefined;
  }

  async #writeOnce(): Promise<void> {
    const batch = chooseBatch(this.#pendingWrites);
    if (this.#settleTooLong(batch)) return;
    for (const item of batch) item.isSent = true;
    const result = await this.#transact(batch);
    if (result.kind === "done") {
      this.#storedRevision = Math.max(this.#storedRevision, result.revision);
      this.#settle(batch, "stored");
      return;
    }
    if (result.kind === "unknown") await this.#settleUnknown();
    // The fence, or the answer itself, proves that the transaction will not be carried out any more. A transaction without
    // an answer may have been carried out before the fence.
    for (const item of batch) {
      item.mayBeStored ||= result.kind === "unknown";
      item.isSent = item.mayBeStored;
    }
    if (result.kind === "conflict") await this.#settleConflict(batch, result.current);
    if (result.kind === "not-done") await delay(retryMilliseconds);
  }

  /** Settles the writes whose values the store would never accept; returns whether there were any. */
  #settleTooLong(batch: readonly PendingWrite[]): boolean {
    const { store, ownerKey, log } = this.#options;
    const tooLong = batch.filter((item) => measureWrite(item) > store.maximumValueBytes);
    for (const item of tooLong)
      log.write("error", "value-too-long", {
        homeKey: ownerKey,
        key: item.key,
        bytes: measureWrite(item),
        maximumBytes: store.maximumValueBytes,
      });
    if (tooLong.length > 0) this.#settle(tooLong, "too-long");
    return tooLong.length > 0;
  }

  async #transact(batch: readonly PendingWrite[]): Promise<TransactionResult> {
    const { store, ownerKey, metrics, log } = this.#options;
    const startedAt = performance.now();
    const absent = batch.filter(({ mustBeAbsent }) => mustBeAbsent);
    const result = await store.transact({
      expected: [
        { key: ownerKey, revision: this.#revision },
        ...absent.map(({ key }) => ({ key, revision: 0 })),
      ],
      writes: batch.map(({ key, value }) => ({ key, value })),
    });
    const labels = { result: result.kind };
    metrics.observe("journal_transaction_milliseconds", performance.now() - startedAt, labels);
    metrics.count("journal_writes_total", labels, batch.length);
    if (result.kind !== "done") {
      const failure = "failure" in result ? result.failure.message : undefined;
      log.write("warn", "journal-failed", {
        homeKey: ownerKey,
        result: result.kind,
        writes: batch.length,
        failure,
      });
    }
    return result;
  }

  async #settleUnknown(): Promise<void> {
    while (!this.#isClosed && !(await this.#writeFence())) await delay(retryMilliseconds);
  }

  /** Rewrites the owner record, so that a transaction without an answer can no longer take effect. */
  async #writeFence(): Promise<boolean> {
    const { store, ownerKey, leaseId, log } = this.#options;
    this.#record = { ...this.#record, barrier: this.#record.barrier + 1 };
    const { barrier } = this.#record;
    const result = await store.transact({
      expected: [{ key: ownerKey, revision: this.#revision }],
      writes: [{ key: ownerKey, value: this.#record, leaseId }],
    });
    if (result.kind === "done") {
      this.#adoptRevision(result.revision);
      log.write("info", "journal-barrier", { homeKey: ownerKey, barrier, revision: result.revision });
      return true;
    }
    if (result.kind === "conflict") await this.#readOwnRecord();
    return false;
  }

  /** Settles the writes whose keys exist already; if there are none, the conflict is about the owner record. */
  async #settleConflict(batch: readonly PendingWrite[], current: readonly StoreRecord[]): Promise<void> {
    const present = new Set(current.map(({ key }) => key));
    const existing = batch.filter(({ key, mustBeAbsent }) => mustBeAbsent && present.has(key));
    if (existing.length > 0) this.#settle(existing, "exists");
    else await this.#readOwnRecord();
  }

  /** Reads the owner record: adopts its revision if the record is still this owner's, else closes the journal. */
  async #readOwnRecord(): Promise<void> {
    const found = await this.#options.store.get(this.#options.ownerKey);
    if (found.isLeft()) {
      await delay(retryMilliseconds);
      return;
    }
    const current = found.orDefault(undefined);
    const held = decodeOwnerRecord(current?.value);
    if (current === undefined || held?.term !== this.#record.term) this.#supersede();
    else this.#adoptRevision(current.revision);
  }

  /** Notes a new revision of the owner record. Writes that became known to be stored before it have lower revisions. */
  #adoptRevision(revision: number): void {
    this.#revision = revision;
    this.#storedRevision = Math.max(this.#storedRevision, revision);
  }

  #supersede(): void {
    if (this.#isClosed) return;
    this.close();
    this.#options.onSuperseded("another entry holds the pool");
  }

  #settle(items: readonly PendingWrite[], result: JournalResult): void {
    const settled = new Set(items);
    this.#pendingWrites = this.#pendingWrites.filter((item) => !settled.has(item));
    for (const item of items) {
      if (this.#last.get(item.key) === item) this.#last.delete(item.key);
    }
    for (const { settles } of items) {
      for (const settle of settles) settle(result);
    }
  }
}
