/**
 * How an owner decides on a job that comes: by the forecast of its end and, for a job of a workspace, by the workspace's
 * share of the pool and its cap.
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
import { hashText } from "../shared/index.js";
import type { OwnerWorkspaces } from "../workspaces/index.js";
import { createFirstRequests } from "./first-requests.js";
import { describeForecast, forecastJob, type OwnerForecast } from "./owner-forecast.js";
import type { OwnerState } from "./owner-state.js";
import type { JobSubmission, SubmitOutcome } from "./job-outcomes.js";
import { backlogReason } from "./job-access.js";
import { readRecentLoad } from "./pool-report.js";
import { createWorkspaceRooms, type WorkspaceRooms } from "./workspace-room.js";

/** A job that is accepted once it is stored. */
export interface AcceptedJob {
  readonly kind: "accept";
  readonly forecast: OwnerForecast;
  /** How long ago its caller first handed it in. */
  readonly ageMilliseconds: number;
  /** Whether the job's workspace had its share of the pool before this job; undefined where that is not told. */
  readonly isOverShare: boolean | undefined;
}

/** A decision on a job. */
export type JobDecision = AcceptedJob | Extract<SubmitOutcome, { kind: "refused" }>;

const refusalReasons: Readonly<Record<ShareRefusal, string>> = {
  backlog: backlogReason,
  share: "the workspace has had its share of the pool",
  limit: "the workspace is at its limit",
};
const hashRange = 2 ** 32;

/** Decides on the jobs of an owner. */
export class JobAdmission {
  readonly #state: OwnerState;
  readonly #firstRequests = createFirstRequests();
  readonly #rooms: WorkspaceRooms;

  /**
   * Creates the decisions.
   * @param state - the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
    this.#rooms = createWorkspaceRooms(state);
  }

  /**
   * Decides on a job; one that is accepted is counted as given to its workspace.
   * @param submission - the job
   * @param now - the monotonic clock
   * @returns acceptance, or what the caller is told
   */
  decide(submission: JobSubmission, now: number): JobDecision {
    const { jobId, terms, definition, workspace } = submission;
    const { workspaces } = this.#state;
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
    // Work that its cap keeps out is no reason for machines, and leaves the pool to others.
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
    // Before the job is stored: others of its workspace may come until then.
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
      // Left out while the pool has enough for all.
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
