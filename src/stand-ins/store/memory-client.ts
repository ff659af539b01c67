/**
 * The key-value stand-in behind the client interface, without a network in between.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { prefixEnd } from "../../store/etcd-messages.js";
import { countValueBytes, defaultMaximumValueBytes } from "../../store/store.js";
import type {
  ConditionalWrite,
  StoreChange,
  StoreChanges,
  StoreFailure,
  StoreLease,
  StoreListing,
  StoreRecord,
  StoreTransaction,
  StoreWatch,
  TransactionalStore,
  TransactionResult,
  WatchHandlers,
  WriteResult,
} from "../../store/index.js";
import { delay } from "../../shared/index.js";
import type { EngineChange, EngineRecord, StoreEngine } from "./engine.js";
import type { StoreFaults } from "./faults.js";

/** Interval at which a wait for changes polls the engine. */
const pollMilliseconds = 5;

/** Calls the engine directly, with the same faults as over HTTP. */
export class MemoryStoreClient implements TransactionalStore {
  /** May be changed by tests. */
  maximumValueBytes = defaultMaximumValueBytes;
  readonly #engine: StoreEngine;
  readonly #faults: StoreFaults;

  /**
   * Creates a client.
   * @param engine - the store's state, shared between clients
   * @param faults - the faults in force, shared or of this client alone
   */
  constructor(engine: StoreEngine, faults: StoreFaults) {
    this.#engine = engine;
    this.#faults = faults;
  }

  async get(key: string): Promise<Either<StoreFailure, StoreRecord | undefined>> {
    return this.#call(() => this.#engine.range(key).map(decodeRecord)[0]);
  }

  async list(prefix: string): Promise<Either<StoreFailure, StoreListing>> {
    return this.#call(() => ({
      records: this.#engine.range(prefix, prefixEnd(prefix)).map(decodeRecord),
      revision: this.#engine.revision(),
    }));
  }

  async compareAndSwap(write: ConditionalWrite): Promise<WriteResult> {
    const result = await this.#call(() => this.#write(write));
    return result.caseOf<WriteResult>({
      Left: (failure) => ({ kind: "not-done", failure }),
      Right: (done) => {
        if (this.#faults.loseAnswers === 0) return done;
        this.#faults.loseAnswers -= 1;
        return { kind: "unknown", failure: { kind: "timeout", message: "the answer was lost" } };
      },
    });
  }

  async transact({ expected, writes }: StoreTransaction): Promise<TransactionResult> {
    if (writes.some(({ value }) => countValueBytes(value) > this.maximumValueBytes))
      return { kind: "unknown", failure: { kind: "unavailable", message: "a value is too long" } };
    const result = await this.#call((): TransactionResult => {
      const encoded = writes.map(({ key, value, leaseId }) => ({
        key,
        value: value === undefined ? undefined : JSON.stringify(value),
        leaseId,
      }));
      if (this.#engine.writeAll(expected, encoded))
        return { kind: "done", revision: this.#engine.revision() };
      const current = expected.flatMap(({ key }) => this.#engine.range(key).map(decodeRecord));
      return { kind: "conflict", current };
    });
    return result.caseOf<TransactionResult>({
      Left: (failure) => ({ kind: "not-done", failure }),
      Right: (done) => {
        if (this.#faults.loseAnswers === 0) return done;
        this.#faults.loseAnswers -= 1;
        return { kind: "unknown", failure: { kind: "timeout", message: "the answer was lost" } };
      },
    });
  }

  async changesAfter(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
  ): Promise<Either<StoreFailure, StoreChanges | undefined>> {
    const read = (): StoreChanges => ({
      changes: this.#engine.changes(prefix, prefixEnd(prefix), afterRevision).map(decodeChange),
      revision: this.#engine.revision(),
    });
    const deadlineAt = performance.now() + waitMilliseconds;
    for (;;) {
      const found = await this.#call(read);
      const isEmpty = found.map(({ changes }) => changes.length === 0).orDefault(false);
      if (!isEmpty || performance.now() >= deadlineAt) return found;
      await delay(pollMilliseconds);
    }
  }

  async grantLease(ttlSeconds: number): Promise<Either<StoreFailure, StoreLease>> {
    return this.#call(() => ({ leaseId: this.#engine.grantLease(ttlSeconds * 1_000), ttlSeconds }));
  }

  async renewLease(leaseId: string): Promise<Either<StoreFailure, boolean>> {
    return this.#call(() => this.#engine.renewLease(leaseId) > 0);
  }

  async revokeLease(leaseId: string): Promise<Either<StoreFailure, boolean>> {
    return this.#call(() => this.#engine.revokeLease(leaseId));
  }

  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): StoreWatch {
    let open = true;
    const report = (change: EngineChange): void => {
      if (!open || this.#faults.muteWatches) return;
      if (this.#faults.mode === "up") {
        handlers.onChange(decodeChange(change));
        return;
      }
      open = false;
      handlers.onBroken({ kind: "unavailable", message: "the store is down" });
    };
    const stop = this.#engine.watch(prefix, prefixEnd(prefix), fromRevision, report);
    return {
      close: () => {
        open = false;
        stop();
      },
    };
  }

  #write(write: ConditionalWrite): WriteResult {
    const done = this.#engine.write({
      key: write.key,
      value: write.value === undefined ? undefined : JSON.stringify(write.value),
      expectedRevision: write.expectedRevision,
      leaseId: write.leaseId,
    });
    if (done) return { kind: "done", revision: this.#engine.revision() };
    return { kind: "conflict", current: this.#engine.range(write.key).map(decodeRecord)[0] };
  }

  async #call<Output>(action: () => Output): Promise<Either<StoreFailure, Output>> {
    if (this.#faults.delayMilliseconds > 0) await delay(this.#faults.delayMilliseconds);
    else await Promise.resolve();
    if (this.#faults.mode !== "up") return Left({ kind: "unavailable", message: "the store is down" });
    return Right(action());
  }
}

function decodeRecord(record: EngineRecord): StoreRecord {
  return { key: record.key, value: JSON.parse(record.value) as unknown, revision: record.revision };
}

function decodeChange(change: EngineChange): StoreChange {
  const value = change.value === undefined ? undefined : (JSON.parse(change.value) as unknown);
  return { key: change.key, value, revision: change.revision };
}
