/**
 * The owner of a pool: accepts its jobs, runs them on its targets, and serves their state to callers.
 * @packageDocumentation
 */
import type { RoomArrival } from "../scheduling/index.js";
import { delay } from "../shared/index.js";
import { dispatch } from "./dispatcher.js";
import type { JobCaller } from "./job-access.js";
import type { CancelOutcome, JobSubmission, StateOutcome, SubmitOutcome } from "./job-outcomes.js";
import { deleteStoredJob, hasEnded, storeProgress } from "./job-progress.js";
import { JobRequests, type JobRequestsOptions } from "./job-requests.js";
import { openDueOccurrences, type OwnerState } from "./owner-state.js";
import { reportPool, type PoolReport } from "./pool-report.js";
import { RoundPace } from "./round-pause.js";
import { stopUnwanted } from "./stopper.js";
import { expectsTargets, vacateTargets } from "./vacating.js";

/** Settings of an owner. */
export interface PoolOwnerOptions extends JobRequestsOptions {
  /** How long the state of an ended job can still be read. */
  readonly retentionMilliseconds: number;
  /** Called in each of the owner's periodic rounds. */
  readonly onTick?: () => void;
}

const tickMilliseconds = 100;
/** A request to vacate targets expires after this time; its sender repeats it while the targets have to stay empty. */
const vacateExpiryMilliseconds = 2_000;

/** Accepts the jobs of one pool and places their tasks in periodic and event-driven rounds. */
export class PoolOwner {
  readonly pool: string;
  readonly #state: OwnerState;
  readonly #options: PoolOwnerOptions;
  readonly #stop = new AbortController();
  readonly #requests: JobRequests;
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
    this.#requests = new JobRequests(options, this.#stop.signal);
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
    return this.#requests.submit(submission);
  }

  /**
   * Reads a job's state.
   * @param jobId - the job
   * @param caller - the caller; undefined where callers are not distinguished
   * @returns the job's state, or why it cannot be told
   */
  readState(jobId: string, caller?: JobCaller): StateOutcome {
    return this.#requests.readState(jobId, caller);
  }

  /**
   * Cancels a job and stops its runs.
   * @param jobId - the job
   * @param caller - the caller; undefined where callers are not distinguished
   * @returns the outcome, once it is stored
   */
  async cancel(jobId: string, caller?: JobCaller): Promise<CancelOutcome> {
    return this.#requests.cancel(jobId, caller);
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

  #scheduleRound(): void {
    if (!this.#isStarted || this.#stop.signal.aborted) return;
    this.#roundTimer ??= setTimeout(() => {
      this.#roundTimer = undefined;
      const startedAt = performance.now();
      dispatch(this.#state);
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
    this.#requests.forgetExpired(unixNow);
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
}
