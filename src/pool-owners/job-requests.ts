/**
 * Callers' requests about the jobs of one owner: submissions, reads and cancellations. Each answer that is final follows what
 * the store holds.
 * @packageDocumentation
 */
import { decodeJobRecord, jobPrefix, readJobState, type JobRecord } from "../jobs/index.js";
import { delay } from "../shared/index.js";
import type { TransactionalStore } from "../store/index.js";
import {
  decodeCancellation,
  EarlyCancellations,
  remainingAfter,
  type CancellationRecord,
} from "./early-cancellations.js";
import { answerRepeatedSubmission, findJob, type JobCaller } from "./job-access.js";
import { JobAdmission, type AcceptedJob } from "./job-admission.js";
import type { CancelOutcome, JobSubmission, StateOutcome, SubmitOutcome } from "./job-outcomes.js";
import { endJob, hasEnded, storeProgress } from "./job-progress.js";
import { describeForecast, reserveRoomForJob } from "./owner-forecast.js";
import { addJob, type OwnerState } from "./owner-state.js";
import { stopUnwanted } from "./stopper.js";
import { SubmissionsInProgress } from "./submissions-in-progress.js";

/** Dependencies of the requests to an owner. */
export interface JobRequestsOptions {
  readonly state: OwnerState;
  readonly store: TransactionalStore;
  /** Cancellations of unknown jobs that earlier owners stored; none by default. */
  readonly cancellations?: readonly CancellationRecord[];
  /** Jobs whose stored progress cannot be read: this owner does not hold them; none by default. */
  readonly unreadable?: ReadonlySet<string>;
}

/** What the store holds under an identifier: a job, its cancellation, or neither. */
interface StoredIdentifier {
  readonly job: JobRecord | undefined;
  readonly cancellation: CancellationRecord | undefined;
}

/** Part of the caller's deadline that is reserved for sending the response. */
const answerMarginMilliseconds = 250;
const retryAfterStoreFailureMilliseconds = 2_000;
const readRetryMilliseconds = 60;
/** The same job is refused again, however long its caller waits. */
const tooLongRefusal: SubmitOutcome = {
  kind: "refused",
  reason: "the job is too long to be stored",
  retryAfterMilliseconds: 60_000,
};
const unreadReason = "the stored job was not read";

/** Answers callers' requests about the jobs of one owner. */
export class JobRequests {
  readonly #state: OwnerState;
  readonly #store: TransactionalStore;
  /** Aborted when the owner is closed. */
  readonly #stop: AbortSignal;
  readonly #admission: JobAdmission;
  readonly #submissions = new SubmissionsInProgress();
  readonly #cancellations: EarlyCancellations;
  readonly #unreadable: ReadonlySet<string>;

  /**
   * Creates the requests to an owner.
   * @param options - the owner's state and the store
   * @param stop - aborted when the owner is closed
   */
  constructor(
    { state, store, cancellations = [], unreadable = new Set() }: JobRequestsOptions,
    stop: AbortSignal,
  ) {
    this.#state = state;
    this.#store = store;
    this.#stop = stop;
    this.#unreadable = unreadable;
    this.#admission = new JobAdmission(state);
    this.#cancellations = new EarlyCancellations(state, cancellations);
  }

  /**
   * Decides on a submitted job and stores it before accepting it.
   * @param submission - the job
   * @returns `accepted` once the job is stored, `refused`, or `unknown` when it is not certain whether the job is stored
   */
  async submit(submission: JobSubmission): Promise<SubmitOutcome> {
    const existing = this.#state.jobs.get(submission.jobId);
    if (existing !== undefined) return answerRepeatedSubmission(existing.record, submission, this.#state.log);
    const refusedFor = this.#cancellations.remainingMilliseconds(submission.jobId, Date.now());
    if (refusedFor !== undefined) return this.#refuseCancelled(submission, refusedFor);
    const outcome = await this.#submissions.decide(submission, async () => this.#accept(submission));
    return outcome ?? this.submit(submission);
  }

  /**
   * Reads a job's state.
   * @param jobId - the job
   * @param caller - the caller; undefined where callers are not distinguished
   * @returns the job's state; `undecided` while it is not known whether the job is accepted; `not-known` when this owner
   * does not hold the job or the caller has no access to it
   */
  readState(jobId: string, caller?: JobCaller): StateOutcome {
    const job = findJob(this.#state.jobs, jobId, caller);
    if (job !== undefined) return { kind: "state", state: readJobState(job) };
    return { kind: this.#submissions.isDeciding(jobId) ? "undecided" : "not-known" };
  }

  /**
   * Cancels a job and stops its runs. Waits for the decision on a submission of the job that is in progress; a job that is
   * accepted then does not start. For a job that is not known, stores that it is not accepted any more: its submission may
   * still be on its way.
   * @param jobId - the job
   * @param caller - the caller; undefined where callers are not distinguished
   * @returns `cancelled` once the cancellation is stored or when the job has already ended; `not-accepted` once it is stored
   * that the job is not accepted any more; `unknown` when nothing is stored
   */
  async cancel(jobId: string, caller?: JobCaller): Promise<CancelOutcome> {
    while (this.#submissions.isDeciding(jobId)) await this.#submissions.untilDecided(jobId);
    const job = findJob(this.#state.jobs, jobId, caller);
    if (job === undefined) {
      // A job of another workspace does not exist for this caller.
      if (this.#state.jobs.has(jobId)) return { kind: "not-known" };
      return this.#cancelUnknown(jobId, caller);
    }
    if (job.finalState !== undefined) return { kind: "cancelled" };
    const isStored = await endJob(this.#state, job, "cancelled");
    stopUnwanted(this.#state);
    return isStored ? { kind: "cancelled" } : { kind: "unknown", reason: "the end is not stored" };
  }

  /**
   * Deletes the cancellations of unknown jobs whose retention is over.
   * @param unixNow - the current Unix time in milliseconds
   */
  forgetExpired(unixNow: number): void {
    this.#cancellations.forgetExpired(unixNow);
  }

  async #cancelUnknown(jobId: string, caller: JobCaller | undefined): Promise<CancelOutcome> {
    const result = await this.#cancellations.keep(jobId);
    if (result === "kept") return { kind: "not-accepted" };
    if (result === "exists") return this.#cancelStored(jobId, caller);
    const isFull = result === "too-many";
    return {
      kind: "unknown",
      reason: isFull ? "too many unknown jobs were cancelled" : "the cancellation is not stored",
    };
  }

  /** Cancels a job that is stored although this owner does not hold it; the record may also be an earlier cancellation. */
  async #cancelStored(jobId: string, caller: JobCaller | undefined): Promise<CancelOutcome> {
    const { job, cancellation } = await this.#readStored(jobId);
    if (cancellation !== undefined) {
      this.#cancellations.adopt(cancellation);
      return { kind: "not-accepted" };
    }
    if (job === undefined || this.#unreadable.has(jobId)) return { kind: "unknown", reason: unreadReason };
    if (job.terms.pool !== this.#state.pool) return { kind: "not-known" };
    this.#hold(job);
    return this.cancel(jobId, caller);
  }

  #refuseCancelled(
    { jobId, terms, workspace }: JobSubmission,
    retryAfterMilliseconds: number,
  ): SubmitOutcome {
    const { queue, pool } = terms;
    const { log, metrics } = this.#state;
    log.write("info", "cancelled-job-refused", {
      job: jobId,
      queue,
      pool,
      workspace,
      retryAfterMilliseconds,
    });
    metrics.count("cancelled_jobs_refused_total", { pool });
    return { kind: "refused", reason: "the job was cancelled", retryAfterMilliseconds };
  }

  async #accept(submission: JobSubmission): Promise<SubmitOutcome> {
    const { jobId, terms, definition, deadlineMilliseconds, workspace } = submission;
    const decision = this.#admission.decide(submission, performance.now());
    if (decision.kind === "refused") return decision;
    const { ageMilliseconds } = decision;
    const acceptedAt = Date.now();
    const workspaceField = workspace === undefined ? {} : { workspace };
    const record: JobRecord = {
      jobId,
      terms,
      definition,
      acceptedAt,
      requestedAt: acceptedAt - ageMilliseconds,
      ...workspaceField,
    };
    const write = this.#state.journal.write(`${jobPrefix}${jobId}`, record, { mustBeAbsent: true });
    const timer = setTimeout(() => {
      write.withdraw();
    }, deadlineMilliseconds - answerMarginMilliseconds);
    const result = await write.result;
    clearTimeout(timer);
    if (result === "exists") return this.#findStored(submission);
    if (result === "superseded") return { kind: "unknown", reason: "another entry has taken the pool" };
    if (result === "too-long") return tooLongRefusal;
    if (result === "withdrawn") {
      const retryAfterMilliseconds = retryAfterStoreFailureMilliseconds;
      return { kind: "refused", reason: "the store does not answer", retryAfterMilliseconds };
    }
    this.#add(record, decision);
    return { kind: "accepted" };
  }

  /**
   * Handles a job whose identifier is already in the store: another pool accepted it, an earlier write of this owner succeeded
   * although its response was lost, or the job was cancelled before its submission arrived.
   */
  async #findStored(submission: JobSubmission): Promise<SubmitOutcome> {
    const { job, cancellation } = await this.#readStored(submission.jobId);
    if (cancellation !== undefined)
      return this.#refuseCancelled(submission, remainingAfter(cancellation.cancelledAt, Date.now()));
    if (job === undefined) return { kind: "unknown", reason: unreadReason };
    if (job.terms.pool === this.#state.pool) this.#hold(job);
    return answerRepeatedSubmission(job, submission, this.#state.log);
  }

  /**
   * Reads what is stored under an identifier, with retries while this owner holds the pool: a stored job that its owner does
   * not hold would be unknown to callers until the next owner runs it.
   */
  async #readStored(jobId: string): Promise<StoredIdentifier> {
    while (!this.#stop.aborted) {
      const found = await this.#store.get(`${jobPrefix}${jobId}`);
      if (found.isRight()) {
        const value = found.orDefault(undefined)?.value;
        return { job: decodeJobRecord(value), cancellation: decodeCancellation(value) };
      }
      await delay(readRetryMilliseconds, this.#stop);
    }
    return { job: undefined, cancellation: undefined };
  }

  /** Holds a job of this pool that is stored, unless it would run without its progress. */
  #hold(record: JobRecord): void {
    const { jobId } = record;
    if (!this.#state.jobs.has(jobId) && !this.#unreadable.has(jobId)) this.#add(record, undefined);
  }

  #add(record: JobRecord, accepted: AcceptedJob | undefined): void {
    const forecast = accepted?.forecast;
    const job = addJob(this.#state, record, undefined, Date.now());
    reserveRoomForJob(this.#state, record.terms, record.definition);
    if (forecast !== undefined && Number.isFinite(forecast.uncorrectedEndMilliseconds))
      job.expectedEndAt = performance.now() + forecast.uncorrectedEndMilliseconds;
    const { queue, pool } = record.terms;
    this.#state.log.write("info", "job-accepted", {
      job: record.jobId,
      queue,
      pool,
      workspace: record.workspace,
      isOverShare: accepted?.isOverShare,
      ...(forecast === undefined ? {} : describeForecast(forecast)),
    });
    // A job without tasks has ended already.
    if (hasEnded(job)) void storeProgress(this.#state, job);
    this.#state.wake();
  }
}
