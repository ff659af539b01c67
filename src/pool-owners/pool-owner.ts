/**
 * The owner of a pool: accepts its jobs, runs them on its targets, and serves their state to callers.
 * @packageDocumentation
 */
import { decodeJobRecord, jobPrefix, readJobState, type JobRecord } from "../jobs/index.js";
import type { RoomArrival } from "../scheduling/index.js";
import { delay } from "../shared/index.js";
import type { StoreRecord, TransactionalStore } from "../store/index.js";
import { createAdviceCache, type AdviceCache, type AdviceService } from "./advice-cache.js";
import { dispatch } from "./dispatcher.js";
import {
  decodeCancellation,
  EarlyCancellations,
  remainingAfter,
  type CancellationRecord,
} from "./early-cancellations.js";
import { reserveRoomForJob, describeForecast } from "./owner-forecast.js";
import { addJob, openDueOccurrences, type OwnerState } from "./owner-state.js";
import { reportPool, type PoolReport } from "./pool-report.js";
import { JobAdmission, type AcceptedJob } from "./job-admission.js";
import type { CancelOutcome, JobSubmission, StateOutcome, SubmitOutcome } from "./job-outcomes.js";
import { answerRepeatedSubmission, findJob, type JobCaller } from "./job-access.js";
import { endJob, deleteStoredJob, hasEnded, storeProgress } from "./job-progress.js";
import { RoundPace } from "./round-pause.js";
import { stopUnwanted } from "./stopper.js";
import { SubmissionsInProgress } from "./submissions-in-progress.js";
import { expectsTargets, vacateTargets } from "./vacating.js";

/** Settings of an owner. */
export interface PoolOwnerOptions {
  readonly state: OwnerState;
  readonly store: TransactionalStore;
  readonly advice: AdviceService | undefined;
  /** How long the state of an ended job can still be read. */
  readonly retentionMilliseconds: number;
  /** Cancellations of unknown jobs that earlier owners stored; none by default. */
  readonly cancellations?: readonly CancellationRecord[];
  /** Called in each of the owner's periodic rounds. */
  readonly onTick?: () => void;
}

const tickMilliseconds = 100;
/** Part of the caller's deadline that is reserved for sending the response. */
const answerMarginMilliseconds = 250;
/** A request to vacate targets expires after this time; its sender repeats it while the targets have to stay empty. */
const vacateExpiryMilliseconds = 2_000;
const retryAfterStoreFailureMilliseconds = 2_000;
const readRetryMilliseconds = 60;

/** Accepts the jobs of one pool and places their tasks in periodic and event-driven rounds. */
export class PoolOwner {
  readonly pool: string;
  readonly #state: OwnerState;
  readonly #options: PoolOwnerOptions;
  readonly #stop = new AbortController();
  readonly #adviceCache: AdviceCache;
  readonly #submissions = new SubmissionsInProgress();
  readonly #cancellations: EarlyCancellations;
  readonly #admission: JobAdmission;
  #roundTimer: NodeJS.Timeout | undefined;
  readonly #roundPace = new RoundPace();
  #isStarted = false;
  /** When targets were last requested to be vacated, by the monotonic clock. */
  #lastVacateAt = 0;

  /**
   * Creates an owner that places no tasks until `start` is called.
   * @param options - the owner's state and settings
   */
  constructor(options: PoolOwnerOptions) {
    const { state } = options;
    this.pool = state.pool;
    this.#state = state;
    this.#options = options;
    this.#admission = new JobAdmission(state);
    this.#cancellations = new EarlyCancellations(state, options.cancellations ?? []);
    this.#adviceCache = createAdviceCache(options.advice, state.log, () => {
      this.#scheduleRound();
    });
    state.wake = () => {
      this.#scheduleRound();
    };
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
   * Counts the open jobs of a queue that have not started any task.
   * @param queue - the queue
   * @returns the number of jobs
   */
  countPending(queue: string): number {
    const jobs = [...this.#state.openJobs.values()];
    return jobs.filter(({ record, hasStarted }) => record.terms.queue === queue && !hasStarted).length;
  }

  /**
   * Vacates targets: no task is started on them, and long-running tasks move to other targets within the
   * `maximumUnavailable` of their step.
   * @param targetIds - the targets to vacate; all other targets are used again
   * @param arrivals - capacity that is about to join the pool, or that could be obtained for it
   * @returns the pool's load
   */
  vacate(targetIds: readonly string[], arrivals: readonly RoomArrival[] = []): PoolReport {
    this.#lastVacateAt = performance.now();
    vacateTargets(this.#state, targetIds, arrivals, this.#lastVacateAt);
    return reportPool(this.#state);
  }

  /** Whether new targets are about to join the pool. */
  expectsTargets(): boolean {
    return expectsTargets(this.#state, performance.now());
  }

  /** Starts the placement rounds. */
  start(): void {
    this.#isStarted = true;
    // A job may have finished its last task just before the takeover, without its end being stored.
    for (const job of this.#state.openJobs.values()) {
      if (hasEnded(job)) void storeProgress(this.#state, job);
    }
    void this.#runTicks();
  }

  /** Stops the placement rounds. */
  close(): void {
    this.#stop.abort();
    clearTimeout(this.#roundTimer);
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
    const stored = await this.#readStored(jobId);
    const cancellation = decodeCancellation(stored?.value);
    if (cancellation !== undefined) {
      this.#cancellations.adopt(cancellation);
      return { kind: "not-accepted" };
    }
    const record = decodeJobRecord(stored?.value);
    if (record === undefined) return { kind: "unknown", reason: "the stored job was not read" };
    if (record.terms.pool !== this.pool) return { kind: "not-known" };
    this.#hold(record);
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

  #scheduleRound(): void {
    if (!this.#isStarted || this.#stop.signal.aborted) return;
    this.#roundTimer ??= setTimeout(() => {
      this.#roundTimer = undefined;
      const startedAt = performance.now();
      dispatch(this.#state, this.#adviceCache);
      this.#roundPace.recordRound(performance.now() - startedAt);
    }, this.#roundPace.pauseMilliseconds());
  }

  async #runTicks(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      this.#tick();
      await delay(tickMilliseconds, this.#stop.signal);
    }
  }

  #tick(): void {
    const now = performance.now();
    const unixNow = Date.now();
    for (const job of this.#state.openJobs.values()) openDueOccurrences(this.#state, job, unixNow);
    this.#forgetEnded(unixNow);
    this.#cancellations.forgetExpired(unixNow);
    // The sender repeats the request while the targets have to stay empty.
    if (now - this.#lastVacateAt > vacateExpiryMilliseconds) this.vacate([]);
    this.#options.onTick?.();
    stopUnwanted(this.#state);
    this.#scheduleRound();
  }

  #forgetEnded(unixNow: number): void {
    for (const job of this.#state.endedJobs) {
      // `endedJobs` is ordered by end time: all remaining jobs ended later.
      if (unixNow - (job.endedAt ?? unixNow) <= this.#options.retentionMilliseconds) return;
      deleteStoredJob(this.#state, job);
    }
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
    const { jobId } = submission;
    const stored = await this.#readStored(jobId);
    const cancellation = decodeCancellation(stored?.value);
    if (cancellation !== undefined)
      return this.#refuseCancelled(submission, remainingAfter(cancellation.cancelledAt, Date.now()));
    const record = decodeJobRecord(stored?.value);
    if (record === undefined) return { kind: "unknown", reason: "the stored job was not read" };
    if (record.terms.pool === this.pool) this.#hold(record);
    return answerRepeatedSubmission(record, submission, this.#state.log);
  }

  /**
   * Reads a job's record, with retries while this owner holds the pool: a stored job that its owner does not hold would be
   * unknown to callers until the next owner runs it.
   */
  async #readStored(jobId: string): Promise<StoreRecord | undefined> {
    while (!this.#stop.signal.aborted) {
      const found = await this.#options.store.get(`${jobPrefix}${jobId}`);
      if (found.isRight()) return found.orDefault(undefined);
      await delay(readRetryMilliseconds, this.#stop.signal);
    }
    return undefined;
  }

  /** Holds a job of this pool that is stored. */
  #hold(record: JobRecord): void {
    if (!this.#state.jobs.has(record.jobId)) this.#add(record, undefined);
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
    this.#scheduleRound();
  }
}
