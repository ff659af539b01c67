/**
 * The owner of a pool: accepts its jobs, runs them on its targets and answers for them.
 * @packageDocumentation
 */
import { decodeJobRecord, jobPrefix, readJobState, type JobRecord } from "../jobs/index.js";
import type { RoomArrival } from "../scheduling/index.js";
import { delay } from "../shared/index.js";
import type { TransactionalStore } from "../store/index.js";
import { createAdviceCache, type AdviceCache, type AdviceService } from "./advice-cache.js";
import { dispatch } from "./dispatcher.js";
import { reserveRoomForJob, describeForecast } from "./owner-forecast.js";
import { addJob, openDueOccurrences, type OwnerState } from "./owner-state.js";
import { reportPool, type PoolReport } from "./pool-report.js";
import { JobAdmission, type AcceptedJob } from "./job-admission.js";
import type { CancelOutcome, JobSubmission, StateOutcome, SubmitOutcome } from "./job-outcomes.js";
import { answerAgain, findJob, type JobCaller } from "./job-access.js";
import { endJob, forgetStored, hasEnded, storeProgress } from "./job-progress.js";
import { RoundPace } from "./round-pause.js";
import { stopUnwanted } from "./stopper.js";
import { SubmissionsInProgress } from "./submissions-in-progress.js";
import { expectsTargets, vacateTargets } from "./vacating.js";

/** Settings of an owner. */
export interface PoolOwnerOptions {
  readonly state: OwnerState;
  readonly store: TransactionalStore;
  readonly advice: AdviceService | undefined;
  /** How long an ended job is still answered for. */
  readonly retentionMilliseconds: number;
}

const tickMilliseconds = 100;
/** Part of a caller's time that is kept for the answer's way back. */
const answerMarginMilliseconds = 250;
/** Targets are used again when nobody asked for so long to empty them. */
const vacateExpiryMilliseconds = 2_000;
const retryAfterStoreFailureMilliseconds = 2_000;

/** The owner of a pool. */
export class PoolOwner {
  readonly pool: string;
  readonly #state: OwnerState;
  readonly #options: PoolOwnerOptions;
  readonly #stop = new AbortController();
  readonly #adviceCache: AdviceCache;
  readonly #submissions = new SubmissionsInProgress();
  readonly #admission: JobAdmission;
  #roundTimer: NodeJS.Timeout | undefined;
  readonly #roundPace = new RoundPace();
  #isStarted = false;
  /** When emptied targets were last asked for, by the monotonic clock. */
  #lastVacateAt = 0;

  /**
   * Creates an owner, which does not place anything before it is started.
   * @param options - its state and settings
   */
  constructor(options: PoolOwnerOptions) {
    const { state } = options;
    this.pool = state.pool;
    this.#state = state;
    this.#options = options;
    this.#admission = new JobAdmission(state);
    this.#adviceCache = createAdviceCache(options.advice, state.log, () => {
      this.#scheduleRound();
    });
    state.wake = () => {
      this.#scheduleRound();
    };
  }

  /**
   * Takes a job: decides, stores it, and only then accepts it.
   * @param submission - the job
   * @returns what can be told to the caller
   */
  async submit(submission: JobSubmission): Promise<SubmitOutcome> {
    const known = this.#state.jobs.get(submission.jobId);
    if (known !== undefined) return answerAgain(known.record, submission, this.#state.log);
    const outcome = await this.#submissions.decide(submission, async () => this.#accept(submission));
    return outcome ?? this.submit(submission);
  }

  /**
   * Reads a job's state.
   * @param jobId - the job
   * @param caller - who asks; undefined where callers are not told apart
   * @returns its state, or that this owner does not know it
   */
  readState(jobId: string, caller?: JobCaller): StateOutcome {
    const job = findJob(this.#state.jobs, jobId, caller);
    return job === undefined ? { kind: "not-known" } : { kind: "state", state: readJobState(job) };
  }

  /**
   * Cancels a job and stops what runs of it.
   * @param jobId - the job
   * @param caller - who asks; undefined where callers are not told apart
   * @returns `cancelled` once that is stored
   */
  async cancel(jobId: string, caller?: JobCaller): Promise<CancelOutcome> {
    const job = findJob(this.#state.jobs, jobId, caller);
    if (job === undefined) return { kind: "not-known" };
    if (job.finalState !== undefined) return { kind: "cancelled" };
    const isStored = await endJob(this.#state, job, "cancelled");
    stopUnwanted(this.#state);
    return isStored ? { kind: "cancelled" } : { kind: "unknown", reason: "the end is not stored" };
  }

  /**
   * Counts the accepted jobs of a queue of which nothing has started.
   * @param queue - the queue
   * @returns how many there are
   */
  countPending(queue: string): number {
    const jobs = [...this.#state.openJobs.values()];
    return jobs.filter(({ record, hasStarted }) => record.terms.queue === queue && !hasStarted).length;
  }

  /**
   * Empties targets: nothing is started on them, and long-running tasks move away as far as their steps can spare them.
   * @param targetIds - the targets; others that were being emptied are used again
   * @param arrivals - room that comes to the pool, or could be had for it
   * @returns the pool's load
   */
  vacate(targetIds: readonly string[], arrivals: readonly RoomArrival[] = []): PoolReport {
    this.#lastVacateAt = performance.now();
    vacateTargets(this.#state, targetIds, arrivals, this.#lastVacateAt);
    return reportPool(this.#state);
  }

  /** Whether machines are about to come to the pool. */
  expectsTargets(): boolean {
    return expectsTargets(this.#state, performance.now());
  }

  /** Begins rounds of placing. */
  start(): void {
    this.#isStarted = true;
    // Work that was done before the takeover may have been all that was left.
    for (const job of this.#state.openJobs.values()) {
      if (hasEnded(job)) void storeProgress(this.#state, job);
    }
    void this.#runTicks();
  }

  /** Stops placing. */
  close(): void {
    this.#stop.abort();
    clearTimeout(this.#roundTimer);
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
    // Whoever asked for emptied targets asks again while it needs them.
    if (now - this.#lastVacateAt > vacateExpiryMilliseconds) this.vacate([]);
    stopUnwanted(this.#state);
    this.#scheduleRound();
  }

  #forgetEnded(unixNow: number): void {
    for (const job of this.#state.endedJobs) {
      // The others have ended later.
      if (unixNow - (job.endedAt ?? unixNow) <= this.#options.retentionMilliseconds) return;
      forgetStored(this.#state, job);
    }
  }

  async #accept(submission: JobSubmission): Promise<SubmitOutcome> {
    const { jobId, terms, definition, deadlineMilliseconds, workspace } = submission;
    const decision = this.#admission.decide(submission, performance.now());
    if (decision.kind === "refused") return decision;
    const { ageMilliseconds: age } = decision;
    const acceptedAt = Date.now();
    const owner = workspace === undefined ? {} : { workspace };
    const record: JobRecord = {
      jobId,
      terms,
      definition,
      acceptedAt,
      requestedAt: acceptedAt - age,
      ...owner,
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

  /** A job that the store holds already: accepted for another pool, or by a write of this owner without an answer. */
  async #findStored(submission: JobSubmission): Promise<SubmitOutcome> {
    const { jobId } = submission;
    const found = await this.#options.store.get(`${jobPrefix}${jobId}`);
    const record = decodeJobRecord(found.orDefault(undefined)?.value);
    if (record === undefined) return { kind: "unknown", reason: "the stored job was not read" };
    if (record.terms.pool === this.pool && !this.#state.jobs.has(jobId)) this.#add(record, undefined);
    return answerAgain(record, submission, this.#state.log);
  }

  #add(record: JobRecord, accepted: AcceptedJob | undefined): void {
    const forecast = accepted?.forecast;
    const job = addJob(this.#state, record, undefined, Date.now(), false);
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
