/**
 * Writes the shares of one pool, several workspaces in one transaction. The transaction is conditional on the known
 * revision of each workspace's record and on the owner's own record, so that a superseded owner can't change anything.
 * @packageDocumentation
 */
import { createRandom, hashText } from "../shared/index.js";
import {
  maximumTransactionEntries,
  type ExpectedRevision,
  type StoreRecord,
  type TransactionalStore,
  type TransactionResult,
} from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { HeldQuota, QuotaPlan } from "./held-quota.js";
import { noAmounts, quotaPrefix, type Amounts } from "./quota-record.js";

/** Dependencies of a quota writer. */
export interface QuotaWriterOptions {
  readonly pool: string;
  readonly store: TransactionalStore;
  /** Returns the condition that the owner still holds the pool. */
  readonly expectHeld: () => ExpectedRevision;
  /** Returns the condition that an abandoned pool has no owner, under which its share may be dropped. */
  readonly expectNoOwner: (pool: string) => ExpectedRevision;
  /** Called after each write, whatever its result. */
  readonly onEnded: () => void;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A planned change of one workspace's record. */
export interface QuotaChange {
  readonly workspace: string;
  readonly held: HeldQuota;
  readonly plan: QuotaPlan;
}

/** Shortest interval between the starts of two writes of an owner. */
const pauseMilliseconds = 100;
/** Pause after a failed write. */
const failedMilliseconds = 200;
/** Upper bound of the random pause after a conflict; owners that wrote the same record retry at different times. */
const conflictMilliseconds = 30;
/** Transaction entries of a workspace: an expected revision and a write. */
const entriesPerWorkspace = 2;

/** Writes the shares of one pool, one transaction at a time. */
export class QuotaWriter {
  readonly #options: QuotaWriterOptions;
  readonly #random;
  #isWriting = false;
  #nextAt = Number.NEGATIVE_INFINITY;
  /** Most workspaces in a transaction; halved after another owner changed one of the records, doubled otherwise. */
  #maximumBatchSize = maximumTransactionEntries;

  /**
   * Creates a writer.
   * @param options - the pool and the store
   */
  constructor(options: QuotaWriterOptions) {
    this.#options = options;
    this.#random = createRandom(hashText(options.pool));
  }

  /** Whether a write may begin now. */
  isReady(now: number): boolean {
    return !this.#isWriting && now >= this.#nextAt;
  }

  /**
   * Writes as many changes as fit into one transaction.
   * @param changes - the changes; those that enlarge the pool's share are written first
   * @param abandoned - abandoned pools whose shares these changes drop; each takes one entry of the transaction
   * @param now - monotonic time in milliseconds
   */
  async write(changes: readonly QuotaChange[], abandoned: readonly string[], now: number): Promise<void> {
    const { store, expectHeld, expectNoOwner, onEnded } = this.#options;
    const expectedAbandoned = abandoned.map(expectNoOwner);
    // One entry is the condition on the owner's own record.
    const maximumWorkspaces = Math.floor(
      (maximumTransactionEntries - 1 - expectedAbandoned.length) / entriesPerWorkspace,
    );
    const batch = [...changes].sort(byUrgency).slice(0, Math.min(maximumWorkspaces, this.#maximumBatchSize));
    const shares = batch.map(({ plan }) => plan.share.share);
    batch.forEach(({ held }, index) => {
      held.copy.noteSent(shares[index] ?? noAmounts);
    });
    this.#isWriting = true;
    const expected = batch.map(({ workspace, held }) => ({
      key: `${quotaPrefix}${workspace}`,
      revision: held.copy.revision(),
    }));
    const result = await store.transact({
      expected: [expectHeld(), ...expected, ...expectedAbandoned],
      writes: batch.map(({ workspace, plan }) => ({ key: `${quotaPrefix}${workspace}`, value: plan.record })),
    });
    if (result.kind === "done") {
      for (const { held, plan } of batch) held.copy.update(plan.record, result.revision);
      for (const change of batch) this.#log(change, result.revision);
    }
    // After a write without an answer, the pool uses the smaller share until a later revision is known.
    if (result.kind === "conflict" || result.kind === "not-done")
      batch.forEach(({ held }, index) => {
        held.copy.noteNotDone(shares[index] ?? noAmounts);
      });
    const isOutdated = result.kind === "conflict" && applyConflict(batch, expected, result.current);
    // The conflict concerns the owner's own record or a record that was deleted.
    if (result.kind === "conflict" && !isOutdated) await this.#rereadRecords(batch);
    this.#noteResult(result.kind, isOutdated, now);
    this.#isWriting = false;
    onEnded();
  }

  async #rereadRecords(batch: readonly QuotaChange[]): Promise<void> {
    const reads = batch.map(async ({ workspace, held }) => {
      const found = await this.#options.store.get(`${quotaPrefix}${workspace}`);
      found.ifRight((record) => {
        if (record === undefined) held.copy.clear();
        else held.copy.update(record.value, record.revision);
      });
    });
    await Promise.all(reads);
  }

  /** Counts the result and chooses the time and the size of the next write. */
  #noteResult(result: TransactionResult["kind"], isOutdated: boolean, startedAt: number): void {
    const { metrics, pool } = this.#options;
    metrics.count("quota_writes_total", { pool, result });
    this.#maximumBatchSize = isOutdated
      ? Math.max(1, Math.floor(Math.min(this.#maximumBatchSize, maximumTransactionEntries / 2) / 2))
      : Math.min(maximumTransactionEntries, this.#maximumBatchSize * 2);
    const now = performance.now();
    // A conflict on the owner's own record lasts until the owner's journal has resolved it.
    const pause = isOutdated ? conflictMilliseconds * this.#random.fraction() : failedMilliseconds;
    this.#nextAt = result === "done" ? startedAt + pauseMilliseconds : now + pause;
  }

  #log({ workspace, held, plan }: QuotaChange, revision: number): void {
    const { log, pool } = this.#options;
    const [before, after] = [plan.before?.share ?? noAmounts, plan.share.share];
    log.write("info", "quota-share", {
      workspace,
      pool,
      action: describeAction(before, after),
      before: before.join(),
      after: after.join(),
      asks: (plan.share.asks ?? noAmounts).join(),
      running: held.use.running.join(),
      cap: held.cap().join(),
      revision,
    });
  }
}

/** Sorts changes that enlarge the pool's share before the others. */
function byUrgency(left: QuotaChange, right: QuotaChange): number {
  const isTaking = ({ plan }: QuotaChange): boolean =>
    describeAction(plan.before?.share ?? noAmounts, plan.share.share) === "taken";
  return Number(isTaking(right)) - Number(isTaking(left));
}

function describeAction(before: Amounts, after: Amounts): "taken" | "given-back" | "asked" {
  if (after.some((amount, resource) => amount > (before[resource] ?? 0))) return "taken";
  return after.some((amount, resource) => amount < (before[resource] ?? 0)) ? "given-back" : "asked";
}

/** Updates the copies of the records that had another revision than expected; returns whether there were any. */
function applyConflict(
  batch: readonly QuotaChange[],
  expected: readonly ExpectedRevision[],
  current: readonly StoreRecord[],
): boolean {
  let isOutdated = false;
  batch.forEach(({ held }, index) => {
    const sent = expected[index];
    const found = current.find(({ key }) => key === sent?.key);
    if (found === undefined || found.revision === sent?.revision) return;
    isOutdated = true;
    held.copy.update(found.value, found.revision);
  });
  return isOutdated;
}
