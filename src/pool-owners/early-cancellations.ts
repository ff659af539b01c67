/**
 * Cancellations of jobs that the owner does not know. The submission of such a job may still be on its way, so that its
 * identifier is stored as cancelled: no owner accepts the job as long as that record exists.
 * @packageDocumentation
 */
import * as z from "zod";
import { jobPrefix } from "../jobs/index.js";
import { parseWith } from "../shared/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { OwnerJournal } from "./journal-writes.js";

const cancellationRecordSchema = z.object({
  jobId: z.string(),
  /** The pool whose owner stored the record, and deletes it. */
  pool: z.string(),
  /** Unix time in milliseconds. */
  cancelledAt: z.number(),
});

/** The record of a cancelled identifier; it has the key of the job's record, so that only one of both can exist. */
export type CancellationRecord = z.infer<typeof cancellationRecordSchema>;

/** Twice the longest deadline that an entry accepts from a caller. */
const retentionMilliseconds = 60_000;
/** Bounds the memory and the records of cancellations that belong to no job. */
const maximumCancellations = 2_000;

/**
 * Decodes the record of a cancelled identifier.
 * @param value - the stored value
 * @returns the record; undefined when the value is something else, such as the record of a job
 */
export function decodeCancellation(value: unknown): CancellationRecord | undefined {
  // Nearly all records are jobs, whose validation against this schema would cost more than the check.
  if (typeof value !== "object" || value === null || !("cancelledAt" in value)) return undefined;
  return parseWith(cancellationRecordSchema, value).toMaybe().extract();
}

/**
 * The result of keeping a cancellation: `kept` when it is stored, `exists` when the store already holds a record of the
 * identifier, `too-many` when no further one is kept, `not-stored` when another entry owns the pool.
 */
export type KeptCancellation = "kept" | "exists" | "too-many" | "not-stored";

/** Dependencies of the cancellations of an owner. */
export interface EarlyCancellationsOptions {
  readonly pool: string;
  readonly journal: OwnerJournal;
  readonly log: Log;
  readonly metrics: Metrics;
}

interface Cancellation {
  /** Unix time in milliseconds. */
  readonly cancelledAt: number;
  readonly result: Promise<KeptCancellation>;
}

/** The cancelled identifiers of one owner, in the order of their cancellation. */
export class EarlyCancellations {
  readonly #options: EarlyCancellationsOptions;
  readonly #cancellations = new Map<string, Cancellation>();

  /**
   * Creates the cancellations of an owner.
   * @param options - the owner's pool and journal
   * @param stored - the records that earlier owners of the pool stored
   */
  constructor(options: EarlyCancellationsOptions, stored: readonly CancellationRecord[]) {
    this.#options = options;
    const byAge = [...stored].sort((left, right) => left.cancelledAt - right.cancelledAt);
    for (const record of byAge) this.adopt(record);
  }

  /**
   * Returns for how long a submission of an identifier is still refused.
   * @param jobId - the identifier
   * @param unixNow - the current Unix time in milliseconds
   * @returns milliseconds; undefined when the identifier is not cancelled
   */
  remainingMilliseconds(jobId: string, unixNow: number): number | undefined {
    const cancellation = this.#cancellations.get(jobId);
    return cancellation === undefined ? undefined : remainingAfter(cancellation.cancelledAt, unixNow);
  }

  /**
   * Stores an identifier as cancelled. Submissions of it are refused from the call on.
   * @param jobId - the identifier of a job that the owner does not hold, and on whose submission it is not deciding
   * @returns the result, once the store has answered
   */
  async keep(jobId: string): Promise<KeptCancellation> {
    const known = this.#cancellations.get(jobId);
    if (known !== undefined) return known.result;
    if (this.#cancellations.size >= maximumCancellations) {
      this.#note(jobId, "too-many");
      return "too-many";
    }
    const cancelledAt = Date.now();
    const result = this.#store({ jobId, pool: this.#options.pool, cancelledAt });
    this.#cancellations.set(jobId, { cancelledAt, result });
    return result;
  }

  /**
   * Takes over a record that is stored already: by the owner of another pool, or by a write whose answer was lost.
   * @param record - the record
   */
  adopt({ jobId, pool, cancelledAt }: CancellationRecord): void {
    // The owner of the other pool deletes its record.
    if (pool !== this.#options.pool) return;
    this.#cancellations.set(jobId, { cancelledAt, result: Promise.resolve("kept") });
  }

  /**
   * Deletes the cancellations whose retention is over, from memory and from the store.
   * @param unixNow - the current Unix time in milliseconds
   */
  forgetExpired(unixNow: number): void {
    for (const [jobId, { cancelledAt }] of this.#cancellations) {
      // Ordered by time: all remaining ones were cancelled later.
      if (unixNow - cancelledAt <= retentionMilliseconds) return;
      this.#cancellations.delete(jobId);
      this.#options.journal.write(`${jobPrefix}${jobId}`, undefined, { urgency: "soon" });
    }
  }

  async #store(record: CancellationRecord): Promise<KeptCancellation> {
    const write = this.#options.journal.write(`${jobPrefix}${record.jobId}`, record, { mustBeAbsent: true });
    const stored = await write.result;
    const result = stored === "stored" ? "kept" : stored === "exists" ? "exists" : "not-stored";
    if (result !== "kept") this.#cancellations.delete(record.jobId);
    this.#note(record.jobId, result);
    return result;
  }

  #note(jobId: string, result: KeptCancellation): void {
    const { pool, log, metrics } = this.#options;
    log.write("info", "job-cancelled-early", { job: jobId, pool, result });
    metrics.count("jobs_cancelled_early_total", { pool, result });
  }
}

/**
 * Returns how long a submission is refused after its job was cancelled.
 * @param cancelledAt - Unix time of the cancellation in milliseconds
 * @param unixNow - the current Unix time in milliseconds
 * @returns milliseconds, 0 or more
 */
export function remainingAfter(cancelledAt: number, unixNow: number): number {
  return Math.max(0, cancelledAt + retentionMilliseconds - unixNow);
}
