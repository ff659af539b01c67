/**
 * Admission of submitted jobs: by the forecast of the job's end and, for a job of a workspace, by the workspace's share of
 * the pool and its cap.
 * @packageDocumentation
 */
import {
  admitInShare,
  admitJob,
  isLongRunningJob,
  jobCoreSeconds,
  type ShareAdmission,
  type ShareRefusal,
} from "../scheduling/index.js";
import { countTasks } from "../jobs/index.js";
import { hashText } from "../shared/index.js";
import type { OwnerWorkspaces } from "../workspaces/index.js";
import { createFirstRequests } from "./first-requests.js";
import { describeForecast, forecastJob, type OwnerForecast } from "./owner-forecast.js";
import type { OwnerState } from "./owner-state.js";
import type { JobSubmission, SubmitOutcome } from "./job-outcomes.js";
import { backlogReason } from "./job-access.js";
import { readRecentLoad } from "./pool-report.js";
import { createWorkspaceRooms, type WorkspaceRooms } from "./workspace-room.js";

/** Acceptance of a job, which takes effect once the job is stored. */
export interface AcceptedJob {
  readonly kind: "accept";
  readonly forecast: OwnerForecast;
  /** How long ago the caller first submitted the job. */
  readonly ageMilliseconds: number;
  /** Whether the job's workspace had used up its share of the pool before this job; undefined when shares do not apply. */
  readonly isOverShare: boolean | undefined;
}

/** The decision on a submitted job. */
export type JobDecision = AcceptedJob | Extract<SubmitOutcome, { kind: "refused" }>;

const refusalReasons: Readonly<Record<ShareRefusal, string>> = {
  backlog: backlogReason,
  share: "the workspace has had its share of the pool",
  limit: "the workspace is at its limit",
};
const hashRange = 2 ** 32;
/** Open tasks that an owner holds at most, which bounds its memory. */
const maximumOpenTasks = 60_000;
const tooManyTasksReason = "the pool holds too many tasks";
/** A pool that holds so many tasks needs a while to end some of them. */
const retryAfterTooManyMilliseconds = 15_000;

/** Decides whether an owner accepts submitted jobs. */
export class JobAdmission {
  readonly #state: OwnerState;
  readonly #firstRequests = createFirstRequests();
  readonly #rooms: WorkspaceRooms;

  /**
   * Creates the admission of an owner.
   * @param state - the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
    this.#rooms = createWorkspaceRooms(state);
  }

  /**
   * Decides on a job. The work of an accepted job is charged to its workspace at once.
   * @param submission - the job
   * @param now - the monotonic clock
   * @returns the acceptance, or the refusal with a reason and a retry delay for the caller
   */
  decide(submission: JobSubmission, now: number): JobDecision {
    const { jobId, terms, definition, workspace } = submission;
    const { workspaces } = this.#state;
    if (this.#state.tasks.size + countTasks(definition) > maximumOpenTasks)
      return this.#refuseTooManyTasks(submission);
    const ageMilliseconds = now - this.#firstRequests.note(jobId, now);
    const forecast = forecastJob(this.#state, terms, definition, ageMilliseconds);
    const isShared = workspaces !== undefined && workspace !== undefined && !isLongRunningJob(definition);
    if (isShared)
      return this.#decideInShare(submission, forecast, workspaces, workspace, now, ageMilliseconds);
    if (ageMilliseconds === 0) this.#state.demand.note(this.#readWork(submission), now);
    const admission = admitJob(forecast);
    if (admission.kind === "accept" || isLongRunningJob(definition))
      return { kind: "accept", forecast, ageMilliseconds, isOverShare: undefined };
    const { retryAfterMilliseconds } = admission;
    this.#logRefusal(submission, forecast, retryAfterMilliseconds, {});
    return { kind: "refused", reason: refusalReasons.backlog, retryAfterMilliseconds };
  }

  #refuseTooManyTasks({ jobId, terms, definition }: JobSubmission): JobDecision {
    const { log, metrics, pool, tasks } = this.#state;
    metrics.count("jobs_refused_total", { pool, reason: "tasks" });
    log.write("warn", "job-refused", {
      job: jobId,
      queue: terms.queue,
      reason: "tasks",
      tasks: countTasks(definition),
      openTasks: tasks.size,
      retryAfterMilliseconds: retryAfterTooManyMilliseconds,
    });
    return {
      kind: "refused",
      reason: tooManyTasksReason,
      retryAfterMilliseconds: retryAfterTooManyMilliseconds,
    };
  }

  #decideInShare(
    submission: JobSubmission,
    forecast: OwnerForecast,
    { shares }: OwnerWorkspaces,
    workspace: string,
    now: number,
    ageMilliseconds: number,
  ): JobDecision {
    const { jobId, terms, definition } = submission;
    const limitEnd = this.#rooms.forecast(workspace, terms, definition, now);
    const limitEndMilliseconds = limitEnd === 0 ? 0 : limitEnd + this.#state.forecastMargin.milliseconds();
    const work = this.#readWork(submission);
    // Work beyond the workspace's cap could not run: it is neither demand for machines nor a claim on the share.
    if (ageMilliseconds === 0 && limitEndMilliseconds <= forecast.objectiveMilliseconds) {
      this.#state.demand.note(work, now);
      shares.noteRequested(workspace, work, now);
    }
    const isOverShare = shares.isOverShare(workspace, now);
    const admission = admitInShare(forecast, {
      isOverShare,
      waitMilliseconds: shares.waitMilliseconds(workspace, now),
      limitEndMilliseconds,
      chainMilliseconds: forecast.chainMilliseconds,
      spread: hashText(jobId) / hashRange,
    });
    if (admission.kind === "refuse")
      return this.#refuse(submission, forecast, { ...admission, workspace, limitEndMilliseconds }, now);
    // Charged before the job is stored, since further jobs of the workspace may be submitted until then.
    shares.noteAccepted(workspace, work, now);
    this.#rooms.reserve(workspace, terms, definition, now);
    return {
      kind: "accept",
      forecast,
      ageMilliseconds,
      isOverShare,
    };
  }

  #refuse(
    submission: JobSubmission,
    forecast: OwnerForecast,
    refusal: Extract<ShareAdmission, { kind: "refuse" }> & {
      readonly workspace: string;
      readonly limitEndMilliseconds: number;
    },
    now: number,
  ): JobDecision {
    const { pool, metrics, workspaces } = this.#state;
    const { cause, retryAfterMilliseconds, workspace, limitEndMilliseconds } = refusal;
    const rates = workspaces?.shares.rates(workspace, now);
    metrics.count("jobs_refused_total", { pool, reason: cause });
    this.#logRefusal(submission, forecast, retryAfterMilliseconds, {
      workspace,
      reason: cause,
      givenCores: Math.round(rates?.givenCores ?? 0),
      // Omitted while the pool has enough room for all workspaces.
      allowedCores: Number.isFinite(rates?.allowedCores) ? Math.round(rates?.allowedCores ?? 0) : undefined,
      limitEndMilliseconds: limitEndMilliseconds === 0 ? undefined : Math.round(limitEndMilliseconds),
    });
    return { kind: "refused", reason: refusalReasons[cause], retryAfterMilliseconds };
  }

  #readWork({ terms, definition }: JobSubmission): number {
    return jobCoreSeconds(definition, this.#state.runTimes.ofQueue(terms.queue).task);
  }

  #logRefusal(
    { jobId, terms }: JobSubmission,
    forecast: OwnerForecast,
    retryAfterMilliseconds: number,
    workspaceFields: Readonly<Record<string, string | number | undefined>>,
  ): void {
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
      ...workspaceFields,
    });
  }
}
