/**
 * The home of a pool: accepts its jobs, runs them on its targets and answers for them.
 * @packageDocumentation
 */
import {
  decodeJobRecord,
  jobPrefix,
  progressPrefix,
  readJobState,
  type Job,
  type JobRecord,
} from "../jobs/index.js";
import { admitJob, isLastingJob, jobCoreSeconds, type RoomArrival } from "../scheduling/index.js";
import { delay } from "../shared/index.js";
import type { TransactionalStore } from "../store/index.js";
import { createAdviceBook, type AdviceBook, type AdviceService } from "./advice-book.js";
import { dispatch } from "./dispatcher.js";
import { createFirstRequests } from "./first-requests.js";
import { bookAccepted, describeForecast, forecastJob, type HomeForecast } from "./home-forecast.js";
import { addJob, forgetJob, openDue, type HomeState, type HomeTarget } from "./home-state.js";
import { readRecentLoad, reportPool, type PoolReport } from "./pool-report.js";
import type { CancelOutcome, JobSubmission, StateOutcome, SubmitOutcome } from "./job-outcomes.js";
import { endJob, hasEnded, storeProgress } from "./job-progress.js";
import { RoundPace } from "./round-pause.js";
import { stopUnwanted } from "./stopper.js";

/** Settings of a home. */
export interface JobHomeOptions {
  readonly state: HomeState;
  readonly store: TransactionalStore;
  readonly advice: AdviceService | undefined;
  /** How long an ended job is still answered for. */
  readonly retentionMilliseconds: number;
}

const tickMilliseconds = 100;
/** Part of a caller's time that is kept for the answer's way back. */
const answerMarginMilliseconds = 250;
/** Targets are used again when nobody asked for so long to empty them. */
const vacateMilliseconds = 2_000;
/** Machines that come so soon are looked for in the registry. */
const arrivalNoticeMilliseconds = 800;
const retryAfterStoreMilliseconds = 2_000;

/** The home of a pool. */
export class JobHome {
  readonly pool: string;
  readonly #state: HomeState;
  readonly #options: JobHomeOptions;
  readonly #stop = new AbortController();
  readonly #advice: AdviceBook;
  readonly #firstRequests = createFirstRequests();
  readonly #accepting = new Map<string, Promise<SubmitOutcome>>();
  #round: NodeJS.Timeout | undefined;
  readonly #pace = new RoundPace();
  #isStarted = false;
  /** When emptied targets were last asked for, by the monotonic clock. */
  #vacatedAt = 0;

  /**
   * Creates a home, which does not place anything before it is started.
   * @param options - its state and settings
   */
  constructor(options: JobHomeOptions) {
    const { state } = options;
    this.pool = state.pool;
    this.#state = state;
    this.#options = options;
    this.#advice = createAdviceBook(options.advice, state.log, () => {
      this.#wake();
    });
    state.wake = () => {
      this.#wake();
    };
  }

  /**
   * Takes a job: decides, stores it, and only then accepts it.
   * @param submission - the job
   * @returns what can be told to the caller
   */
  async submit(submission: JobSubmission): Promise<SubmitOutcome> {
    const { jobId } = submission;
    if (this.#state.jobs.has(jobId)) return { kind: "accepted" };
    const running = this.#accepting.get(jobId) ?? this.#accept(submission);
    this.#accepting.set(jobId, running);
    const outcome = await running;
    this.#accepting.delete(jobId);
    return outcome;
  }

  /**
   * Reads a job's state.
   * @param jobId - the job
   * @returns its state, or that this home does not know it
   */
  readState(jobId: string): StateOutcome {
    const job = this.#state.jobs.get(jobId);
    return job === undefined ? { kind: "not-known" } : { kind: "state", state: readJobState(job) };
  }

  /**
   * Cancels a job and stops what runs of it.
   * @param jobId - the job
   * @returns `cancelled` once that is stored
   */
  async cancel(jobId: string): Promise<CancelOutcome> {
    const job = this.#state.jobs.get(jobId);
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
   * Empties targets: nothing is started on them, and lasting tasks move away as far as their steps can spare them.
   * @param targetIds - the targets; others that were being emptied are used again
   * @param arrivals - room that comes to the pool, or could be had for it
   * @returns the pool's load
   */
  vacate(targetIds: readonly string[], arrivals: readonly RoomArrival[] = []): PoolReport {
    const chosen = new Set(targetIds);
    const now = performance.now();
    this.#vacatedAt = now;
    this.#state.expectedRoom = arrivals.map(({ resources, atMilliseconds }) => ({
      resources,
      at: now + atMilliseconds,
    }));
    for (const [targetId, target] of this.#state.targets)
      this.#setVacating(targetId, target, chosen.has(targetId));
    return reportPool(this.#state);
  }

  /** Whether machines are about to come to the pool. */
  expectsTargets(): boolean {
    const soon = performance.now() + arrivalNoticeMilliseconds;
    return this.#state.expectedRoom.some(({ at }) => at < soon);
  }

  /** Begins rounds of placing. */
  start(): void {
    this.#isStarted = true;
    // Work that was done before the takeover may have been all that was left.
    for (const job of this.#state.openJobs.values()) {
      if (hasEnded(job)) void storeProgress(this.#state, job);
    }
    void this.#run();
  }

  /** Stops placing. */
  close(): void {
    this.#stop.abort();
    clearTimeout(this.#round);
  }

  #setVacating(targetId: string, target: HomeTarget, isVacating: boolean): void {
    if (target.isVacating === isVacating) return;
    target.isVacating = isVacating;
    const runs = target.runs.size;
    this.#state.log.write("info", "target-vacating", { pool: this.pool, target: targetId, isVacating, runs });
    this.#wake();
  }

  #wake(): void {
    if (!this.#isStarted || this.#stop.signal.aborted) return;
    this.#round ??= setTimeout(() => {
      this.#round = undefined;
      const startedAt = performance.now();
      dispatch(this.#state, this.#advice);
      this.#pace.note(performance.now() - startedAt);
    }, this.#pace.pauseMilliseconds());
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      this.#tick();
      await delay(tickMilliseconds, this.#stop.signal);
    }
  }

  #tick(): void {
    const now = performance.now();
    const unixNow = Date.now();
    for (const job of this.#state.openJobs.values()) openDue(this.#state, job, unixNow);
    this.#forgetEnded(unixNow);
    // Whoever asked for emptied targets asks again while it needs them.
    if (now - this.#vacatedAt > vacateMilliseconds) this.vacate([]);
    stopUnwanted(this.#state);
    this.#wake();
  }

  #forgetEnded(unixNow: number): void {
    for (const job of this.#state.endedJobs) {
      // The others have ended later.
      if (unixNow - (job.endedAt ?? unixNow) <= this.#options.retentionMilliseconds) return;
      forget(this.#state, job);
    }
  }

  async #accept(submission: JobSubmission): Promise<SubmitOutcome> {
    const { jobId, terms, definition, deadlineMilliseconds } = submission;
    const now = performance.now();
    const age = now - this.#firstRequests.note(jobId, now);
    if (age === 0) this.#noteDemand(submission, now);
    const forecast = forecastJob(this.#state, terms, definition, age);
    const admission = admitJob(forecast);
    if (admission.kind === "refuse" && !isLastingJob(definition)) {
      const { retryAfterMilliseconds } = admission;
      this.#logRefusal(submission, forecast, retryAfterMilliseconds);
      return { kind: "refused", reason: "the pool's backlog is too long", retryAfterMilliseconds };
    }
    const acceptedAt = Date.now();
    const record: JobRecord = { jobId, terms, definition, acceptedAt, requestedAt: acceptedAt - age };
    const write = this.#state.journal.write(`${jobPrefix}${jobId}`, record, { mustBeAbsent: true });
    const timer = setTimeout(() => {
      write.withdraw();
    }, deadlineMilliseconds - answerMarginMilliseconds);
    const result = await write.result;
    clearTimeout(timer);
    if (result === "exists") return this.#findStored(jobId);
    if (result === "superseded") return { kind: "unknown", reason: "another entry has taken the pool" };
    if (result === "withdrawn") {
      const retryAfterMilliseconds = retryAfterStoreMilliseconds;
      return { kind: "refused", reason: "the store does not answer", retryAfterMilliseconds };
    }
    this.#add(record, forecast);
    return { kind: "accepted" };
  }

  /** Takes the work of a job that is asked for the first time. */
  #noteDemand({ terms, definition }: JobSubmission, now: number): void {
    const { demand, runTimes } = this.#state;
    demand.note(jobCoreSeconds(definition, runTimes.ofQueue(terms.queue).task), now);
  }

  #logRefusal({ jobId, terms }: JobSubmission, forecast: HomeForecast, retryAfterMilliseconds: number): void {
    const { backlogCoreSeconds, cores, busyCores } = readRecentLoad(this.#state);
    const { endMilliseconds, objectiveMilliseconds, ...parts } = describeForecast(forecast);
    this.#state.log.write("info", "job-refused", {
      job: jobId,
      queue: terms.queue,
      endMilliseconds,
      objectiveMilliseconds,
      backlogCoreSeconds: Math.round(backlogCoreSeconds),
      cores: Math.round(cores),
      busyCores: Math.round(busyCores),
      ...parts,
      retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
    });
  }

  /** A job that the store holds already: accepted for another pool, or by a write of this home without an answer. */
  async #findStored(jobId: string): Promise<SubmitOutcome> {
    const found = await this.#options.store.get(`${jobPrefix}${jobId}`);
    const record = decodeJobRecord(found.orDefault(undefined)?.value);
    if (record === undefined) return { kind: "unknown", reason: "the stored job was not read" };
    if (record.terms.pool === this.pool && !this.#state.jobs.has(jobId)) this.#add(record, undefined);
    return { kind: "accepted" };
  }

  #add(record: JobRecord, forecast: HomeForecast | undefined): void {
    const job = addJob(this.#state, record, undefined, Date.now(), false);
    bookAccepted(this.#state, record.terms, record.definition);
    if (forecast !== undefined && Number.isFinite(forecast.uncorrectedEndMilliseconds))
      job.expectedEndAt = performance.now() + forecast.uncorrectedEndMilliseconds;
    const { queue, pool } = record.terms;
    this.#state.log.write("info", "job-accepted", {
      job: record.jobId,
      queue,
      pool,
      ...(forecast === undefined ? {} : describeForecast(forecast)),
    });
    this.#wake();
  }
}

function forget(state: HomeState, job: Job): void {
  forgetJob(state, job);
  state.journal.write(`${jobPrefix}${job.id}`, undefined, { urgency: "soon" });
  state.journal.write(`${progressPrefix}${job.id}`, undefined, { urgency: "soon" });
}
