/**
 * Writes the shares of one pool: several workspaces in one transaction, each bound to the revision that the owner knows,
 * and all to the owner's own record, so that an owner that was superseded changes nothing.
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

/** What shares are written with. */
export interface QuotaWriterOptions {
  readonly pool: string;
  readonly store: TransactionalStore;
  /** The condition under which the owner writes. */
  readonly expectHeld: () => ExpectedRevision;
  /** The condition under which the share of a pool that was given up lapses. */
  readonly expectNoOwner: (pool: string) => ExpectedRevision;
  /** Called when a write has ended. */
  readonly onEnded: () => void;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A workspace whose record should be written. */
export interface QuotaChange {
  readonly workspace: string;
  readonly held: HeldQuota;
  readonly plan: QuotaPlan;
}

/** An owner writes so often at most. */
const pauseMilliseconds = 100;
const failedMilliseconds = 200;
/** Owners that met at a record try again at different times. */
const conflictMilliseconds = 30;
/** The owner's own record is expected with each transaction; each workspace takes an expectation and a write. */
const entriesPerWorkspace = 2;

/** Writes the shares of one pool. */
export class QuotaWriter {
  readonly #options: QuotaWriterOptions;
  readonly #random;
  #isWriting = false;
  #nextAt = Number.NEGATIVE_INFINITY;
  /** Fewer workspaces share a transaction after one of them was changed by somebody else. */
  #mostWorkspaces = maximumTransactionEntries;

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
   * Writes as many changes as one transaction takes.
   * @param changes - the changes; what brings room goes first
   * @param abandoned - pools whose shares lapse with these changes, a few
   * @param now - the monotonic clock
   */
  async write(changes: readonly QuotaChange[], abandoned: readonly string[], now: number): Promise<void> {
    const { store, expectHeld, expectNoOwner, onEnded } = this.#options;
    const gone = abandoned.map(expectNoOwner);
    const most = Math.floor((maximumTransactionEntries - 1 - gone.length) / entriesPerWorkspace);
    const batch = [...changes].sort(byUrgency).slice(0, Math.min(most, this.#mostWorkspaces));
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
      expected: [expectHeld(), ...expected, ...gone],
      writes: batch.map(({ workspace, plan }) => ({ key: `${quotaPrefix}${workspace}`, value: plan.record })),
    });
    if (result.kind === "done") {
      for (const { held, plan } of batch) held.copy.offer(plan.record, result.revision);
      for (const change of batch) this.#log(change, result.revision);
    }
    // A write without an answer leaves the smaller share until a later revision is known.
    if (result.kind === "conflict" || result.kind === "not-done")
      batch.forEach(({ held }, index) => {
        held.copy.noteNotDone(shares[index] ?? noAmounts);
      });
    const isOutdated = result.kind === "conflict" && takeConflict(batch, expected, result.current);
    // The conflict is about the owner's own record, or about one that somebody deleted.
    if (result.kind === "conflict" && !isOutdated) await this.#readAgain(batch);
    this.#note(result.kind, isOutdated, now);
    this.#isWriting = false;
    onEnded();
  }

  async #readAgain(batch: readonly QuotaChange[]): Promise<void> {
    const reads = batch.map(async ({ workspace, held }) => {
      const found = await this.#options.store.get(`${quotaPrefix}${workspace}`);
      found.ifRight((record) => {
        if (record === undefined) held.copy.clear();
        else held.copy.offer(record.value, record.revision);
      });
    });
    await Promise.all(reads);
  }

  /** Chooses when to write again, and how much at once. */
  #note(result: TransactionResult["kind"], isOutdated: boolean, startedAt: number): void {
    const { metrics, pool } = this.#options;
    metrics.count("quota_writes_total", { pool, result });
    this.#mostWorkspaces = isOutdated
      ? Math.max(1, Math.floor(Math.min(this.#mostWorkspaces, maximumTransactionEntries / 2) / 2))
      : Math.min(maximumTransactionEntries, this.#mostWorkspaces * 2);
    const now = performance.now();
    // A conflict about the owner's own record lasts until its journal has settled it.
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

/** What brings room goes before what gives it back. */
function byUrgency(left: QuotaChange, right: QuotaChange): number {
  const isTaking = ({ plan }: QuotaChange): boolean =>
    describeAction(plan.before?.share ?? noAmounts, plan.share.share) === "taken";
  return Number(isTaking(right)) - Number(isTaking(left));
}

function describeAction(before: Amounts, after: Amounts): "taken" | "given-back" | "asked" {
  if (after.some((amount, resource) => amount > (before[resource] ?? 0))) return "taken";
  return after.some((amount, resource) => amount < (before[resource] ?? 0)) ? "given-back" : "asked";
}

/** Takes over what the store said of the records that were expected otherwise; returns whether there were any. */
function takeConflict(
  batch: readonly QuotaChange[],
  expected: readonly ExpectedRevision[],
  current: readonly StoreRecord[],
): boolean {
  let isOutdated = false;
  batch.forEach(({ held }, index) => {
    const asked = expected[index];
    const found = current.find(({ key }) => key === asked?.key);
    if (found === undefined || found.revision === asked?.revision) return;
    isOutdated = true;
    held.copy.offer(found.value, found.revision);
  });
  return isOutdated;
}
