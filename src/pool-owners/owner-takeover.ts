/**
 * Takes a pool over: writes the owner record and reads the pool's stored jobs.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import {
  decodeJobRecord,
  decodeProgressRecord,
  jobPrefix,
  progressPrefix,
  type ProgressRecord,
} from "../jobs/index.js";
import type { MemberRecord } from "../membership/index.js";
import { delay, withTimeout } from "../shared/index.js";
import type { StoreRecord, TransactionalStore } from "../store/index.js";
import { slowestClockRate } from "../task-runs/index.js";
import type { Log } from "../telemetry/index.js";
import { decodeCancellation } from "./early-cancellations.js";
import type { StoredJobs } from "./stored-jobs.js";
import {
  decodeOwnerRecord,
  decodeTakeoverState,
  ownerPrefix,
  takeoverStatePrefix,
  type TakeoverState,
  type OwnerRecord,
} from "./owner-record.js";

/** A pool that this entry has taken. */
export interface TakenPool {
  readonly record: OwnerRecord;
  /** The revision of the owner record, which is also the owner's fencing token. */
  readonly revision: number;
  readonly leaseId: string;
  readonly takeoverState: TakeoverState;
  /** The revision of the takeover state that the earlier owner stored; 0 when there was none. */
  readonly stateRevision: number;
}

/** An attempt to become a pool's owner. */
export interface PoolTake {
  readonly pool: string;
  /** The member record of this entry. */
  readonly member: MemberRecord;
  /** The entry's lease; the owner record is deleted when it ends. */
  readonly leaseId: string;
  /** A unique identifier of this ownership. */
  readonly term: string;
  /** The revision of the owner record to replace; 0 when there is none. */
  readonly heldRevision: number;
}

/**
 * Tries to become a pool's owner.
 * @param store - the store
 * @param take - the pool and this entry
 * @returns the pool, or the reason why it was not taken
 */
export async function takePool(
  store: TransactionalStore,
  { pool, member, leaseId, term, heldRevision }: PoolTake,
): Promise<Either<string, TakenPool>> {
  const takeoverStateKey = `${takeoverStatePrefix}${pool}`;
  const stored = await store.get(takeoverStateKey);
  if (stored.isLeft()) return Left("the takeover state was not read");
  const earlier = stored.orDefault(undefined);
  const stateRevision = earlier?.revision ?? 0;
  const before = decodeTakeoverState(earlier?.value, stateRevision);
  const takeoverState = { ...before, homes: before.homes + 1 };
  const key = `${ownerPrefix}${pool}`;
  const record: OwnerRecord = { entryId: member.entryId, member, term, barrier: 0 };
  const result = await store.transact({
    expected: [
      { key, revision: heldRevision },
      { key: takeoverStateKey, revision: stateRevision },
    ],
    writes: [
      { key, value: record, leaseId },
      { key: takeoverStateKey, value: takeoverState },
    ],
  });
  const taken = { record, leaseId, takeoverState, stateRevision };
  if (result.kind === "done") return Right({ ...taken, revision: result.revision });
  if (result.kind !== "unknown") return Left(result.kind);
  const found = (await store.get(key)).orDefault(undefined);
  if (found === undefined || decodeOwnerRecord(found.value)?.term !== term) return Left("unknown");
  return Right({ ...taken, revision: found.revision });
}

/** Orders that the earlier owner sent just before it lost the pool may still be delivered within this time. */
const orderDeliveryMilliseconds = 1_000;

/**
 * Computes how long the runs on a target that does not answer may still hold a lease from the earlier owner.
 * @param runLeaseMilliseconds - the duration of run leases
 * @returns the longest time in milliseconds, counted from the takeover
 */
export function formerLeaseMilliseconds(runLeaseMilliseconds: number): number {
  return runLeaseMilliseconds / slowestClockRate + orderDeliveryMilliseconds;
}

const loadRetryMilliseconds = 100;
/** An entry that has not read a pool's jobs within this time leaves the pool to another entry. */
const loadTimeoutMilliseconds = 4_000;

/**
 * Reads the jobs of a pool, with retries for a limited time.
 * @param store - the store
 * @param pool - the pool
 * @param log - receives failed attempts and unreadable records
 * @param isStillHeld - whether this entry still holds the pool; no further attempt is made when it does not
 * @returns the jobs; undefined when they could not be read
 */
export async function loadPoolJobs(
  store: TransactionalStore,
  pool: string,
  log: Log,
  isStillHeld: () => boolean,
): Promise<StoredJobs | undefined> {
  const until = performance.now() + loadTimeoutMilliseconds;
  const timedOut: Either<string, StoredJobs> = Left("not read in time");
  while (isStillHeld() && performance.now() < until) {
    const jobs = await withTimeout(readPoolJobs(store, pool, log), until - performance.now(), timedOut);
    if (jobs.isRight()) return jobs.unsafeCoerce();
    log.write("warn", "home-load-failed", { pool, reason: jobs.swap().unsafeCoerce() });
    await delay(loadRetryMilliseconds);
  }
  return undefined;
}

/**
 * Reads the jobs of a pool.
 * @param store - the store
 * @param pool - the pool
 * @param log - receives the keys of unreadable records, which are skipped
 * @returns the jobs, or the reason why they could not be read
 */
async function readPoolJobs(
  store: TransactionalStore,
  pool: string,
  log: Log,
): Promise<Either<string, StoredJobs>> {
  const [jobs, progressList] = await Promise.all([store.list(jobPrefix), store.list(progressPrefix)]);
  return jobs
    .chain(({ records }) => progressList.map((found) => ({ records, progressRecords: found.records })))
    .mapLeft(({ kind, message }) => `${kind}: ${message}`)
    .map(({ records, progressRecords }) => {
      const cancellations = records.flatMap(({ value }) => decodeCancellation(value) ?? []);
      const cancelled = new Set(cancellations.map(({ jobId }) => `${jobPrefix}${jobId}`));
      const own = records.flatMap((record) => {
        if (cancelled.has(record.key)) return [];
        const job = decodeOrLog(record, decodeJobRecord, log);
        return job?.terms.pool === pool ? [{ job, revision: record.revision }] : [];
      });
      const { progress, unreadable } = decodeProgress(
        progressRecords,
        new Set(own.map(({ job }) => job.jobId)),
        log,
      );
      // Without its progress a job would run again what has ended, so that it is not held.
      const readable = own.filter(({ job }) => !unreadable.has(job.jobId));
      return {
        records: readable.map(({ job }) => job),
        revisions: new Map(readable.map(({ job, revision }) => [job.jobId, revision])),
        progress,
        unreadable,
        cancellations: cancellations.filter((cancellation) => cancellation.pool === pool),
      };
    });
}

/** Decodes the progress of the given jobs. */
function decodeProgress(
  progressRecords: readonly StoreRecord[],
  jobIds: ReadonlySet<string>,
  log: Log,
): Pick<StoredJobs, "progress" | "unreadable"> {
  const progress = new Map<string, ProgressRecord>();
  const unreadable = new Set<string>();
  for (const record of progressRecords) {
    const jobId = record.key.slice(progressPrefix.length);
    if (!jobIds.has(jobId)) continue;
    const found = decodeOrLog(record, decodeProgressRecord, log);
    if (found === undefined) unreadable.add(jobId);
    else progress.set(jobId, found);
  }
  return { progress, unreadable };
}

function decodeOrLog<Decoded>(
  { key, value }: StoreRecord,
  decode: (value: unknown) => Decoded | undefined,
  log: Log,
): Decoded | undefined {
  const decoded = decode(value);
  if (decoded === undefined) log.write("error", "record-unreadable", { key });
  return decoded;
}
