/**
 * Routes callers' requests about jobs to the owner of the job's pool, in this entry or another one, and retries when the
 * owner changes meanwhile.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type { z } from "zod";
import { decodeJobRecord, jobPrefix, type JobState } from "../jobs/index.js";
import type { PeerNetwork } from "../membership/index.js";
import type { RoomArrival } from "../scheduling/index.js";
import type { StoreFailure, TransactionalStore } from "../store/index.js";
import type { OwnershipManager } from "./ownership-manager.js";
import type { PoolOwner } from "./pool-owner.js";
import { mayAccess, type JobCaller } from "./job-access.js";
import type { CancelOutcome, JobSubmission, StateOutcome, SubmitOutcome } from "./job-outcomes.js";
import {
  OwnerCalls,
  type OwnerAnswer,
  type OwnerCall,
  type OwnerCallsOptions,
  type Unanswered,
} from "./owner-calls.js";
import type { PoolReport } from "./pool-report.js";
import { cancelCall, pendingCall, stateCall, submitCall, vacateCall } from "./messages.js";

/** The result of a caller's query. */
export type GatewayOutcome<Found> =
  | { readonly kind: "found"; readonly value: Found }
  | { readonly kind: "not-known" }
  | { readonly kind: "unavailable"; readonly reason: string };

/** Handles callers' requests about jobs. */
export interface JobGateway {
  submit(submission: JobSubmission): Promise<SubmitOutcome>;
  readState(
    pool: string,
    jobId: string,
    deadlineMilliseconds: number,
    caller?: JobCaller,
  ): Promise<GatewayOutcome<JobState>>;
  cancel(
    pool: string,
    jobId: string,
    deadlineMilliseconds: number,
    caller?: JobCaller,
  ): Promise<GatewayOutcome<"cancelled">>;
  countPending(pool: string, queue: string, deadlineMilliseconds: number): Promise<GatewayOutcome<number>>;
}

/** Dependencies of a gateway. */
export interface JobGatewayOptions extends OwnerCallsOptions {
  readonly store: TransactionalStore;
}

const retryAfterNoOwnerMilliseconds = 1_500;

/** Forwards requests to the owner of a pool, in this entry or over the links between entries. */
export class OwnerGateway implements JobGateway {
  readonly #store: TransactionalStore;
  readonly #calls: OwnerCalls;

  /**
   * Creates a gateway and registers the handlers for calls of other entries.
   * @param options - the owners in this entry and in others
   */
  constructor(options: JobGatewayOptions) {
    this.#store = options.store;
    this.#calls = new OwnerCalls(options);
    registerCallHandlers(options.keeper, options.peers);
  }

  async submit(submission: JobSubmission): Promise<SubmitOutcome> {
    const { terms, deadlineMilliseconds } = submission;
    const local = async (owner: PoolOwner): Promise<SubmitOutcome> => owner.submit(submission);
    const answer = await this.#calls.request<JobSubmission, SubmitOutcome>({
      pool: terms.pool,
      jobId: submission.jobId,
      definition: submitCall,
      request: submission,
      local,
      deadlineMilliseconds,
    });
    if (answer.kind === "reply") return answer.reply;
    const { reason, mayHaveArrived } = answer;
    if (mayHaveArrived) return { kind: "unknown", reason };
    return { kind: "refused", reason, retryAfterMilliseconds: retryAfterNoOwnerMilliseconds };
  }

  async readState(
    pool: string,
    jobId: string,
    deadlineMilliseconds: number,
    caller?: JobCaller,
  ): Promise<GatewayOutcome<JobState>> {
    const local = (owner: PoolOwner): StateOutcome => owner.readState(jobId, caller);
    const request = createJobRequest(pool, jobId, caller);
    const answer = await this.#queryJob<Exclude<StateOutcome, Unanswered>>(
      request,
      stateCall,
      local,
      deadlineMilliseconds,
    );
    if (answer.kind === "none") return { kind: "unavailable", reason: answer.reason };
    if (answer.reply.kind === "state") return { kind: "found", value: answer.reply.state };
    return { kind: "not-known" };
  }

  async cancel(
    pool: string,
    jobId: string,
    deadlineMilliseconds: number,
    caller?: JobCaller,
  ): Promise<GatewayOutcome<"cancelled">> {
    const local = async (owner: PoolOwner): Promise<CancelOutcome> => owner.cancel(jobId, caller);
    const request = createJobRequest(pool, jobId, caller);
    const answer = await this.#queryJob<CancelOutcome>(request, cancelCall, local, deadlineMilliseconds);
    if (answer.kind === "none") return { kind: "unavailable", reason: answer.reason };
    const { reply } = answer;
    if (reply.kind === "cancelled") return { kind: "found", value: "cancelled" };
    return reply.kind === "unknown" ? { kind: "unavailable", reason: reply.reason } : { kind: "not-known" };
  }

  async countPending(
    pool: string,
    queue: string,
    deadlineMilliseconds: number,
  ): Promise<GatewayOutcome<number>> {
    const local = (owner: PoolOwner): PendingReply => ({ kind: "pending", count: owner.countPending(queue) });
    const request = { pool, queue };
    const call = { pool, definition: pendingCall, request, local, deadlineMilliseconds };
    const answer = await this.#calls.request<typeof request, PendingReply>(call);
    if (answer.kind === "none") return { kind: "unavailable", reason: answer.reason };
    return { kind: "found", value: answer.reply.count };
  }

  /**
   * Has the owner of a pool move all runs away from some of its targets.
   * @param pool - the pool
   * @param targetIds - the targets to empty
   * @param arrivals - capacity that will be added to the pool or could be added
   * @param deadlineMilliseconds - limit for the whole call
   * @returns the pool's load; undefined when its owner did not answer in time
   */
  async vacate(
    pool: string,
    targetIds: readonly string[],
    arrivals: readonly RoomArrival[],
    deadlineMilliseconds: number,
  ): Promise<PoolReport | undefined> {
    const local = (owner: PoolOwner): VacateReply => ({
      kind: "report",
      ...owner.vacate(targetIds, arrivals),
    });
    const request = { pool, targetIds: [...targetIds], arrivals: [...arrivals] };
    const call = { pool, definition: vacateCall, request, local, deadlineMilliseconds };
    const answer = await this.#calls.request<typeof request, VacateReply>(call);
    return answer.kind === "reply" ? answer.reply : undefined;
  }

  /** Queries a job's owner; if it does not know the job, queries the owner of the pool in the job's stored record. */
  async #queryJob<Reply extends { readonly kind: string }>(
    request: JobRequest,
    definition: OwnerCall<JobRequest, Reply>["definition"],
    local: OwnerCall<JobRequest, Reply>["local"],
    deadlineMilliseconds: number,
  ): Promise<OwnerAnswer<Reply>> {
    const startedAt = performance.now();
    const queryOwner = async (pool: string, left: number): Promise<OwnerAnswer<Reply>> =>
      this.#calls.request({
        pool,
        jobId: request.jobId,
        definition,
        request: { ...request, pool },
        local,
        deadlineMilliseconds: left,
      });
    const first = await queryOwner(request.pool, deadlineMilliseconds);
    if (first.kind === "none" || first.reply.kind !== "not-known") return first;
    const stored = await this.#findPool(request);
    if (stored.isLeft()) return { kind: "none", mayHaveArrived: true, reason: "the store does not answer" };
    const storedPool = stored.orDefault(undefined);
    if (storedPool === undefined) return first;
    const second = await queryOwner(storedPool, deadlineMilliseconds - (performance.now() - startedAt));
    // The job is stored, so that an owner which does not hold it proves nothing: the next owner would run it.
    if (second.kind === "reply" && second.reply.kind === "not-known")
      return { kind: "none", mayHaveArrived: true, reason: "the owner does not hold the stored job" };
    return second;
  }

  /** The pool in a job's stored record; undefined when there is no such job or the caller may not access it. */
  async #findPool({ jobId, caller }: JobRequest): Promise<Either<StoreFailure, string | undefined>> {
    const found = await this.#store.get(`${jobPrefix}${jobId}`);
    return found.map((stored) => {
      const record = decodeJobRecord(stored?.value);
      return record !== undefined && mayAccess(record, caller) ? record.terms.pool : undefined;
    });
  }
}

type JobRequest = z.infer<(typeof stateCall)["request"]>;

/** Omits the field `caller` where callers are not authenticated. */
function createJobRequest(pool: string, jobId: string, caller: JobCaller | undefined): JobRequest {
  return caller === undefined ? { pool, jobId } : { pool, jobId, caller };
}

type VacateReply = { readonly kind: "report" } & PoolReport;

interface PendingReply {
  readonly kind: "pending";
  readonly count: number;
}

function registerCallHandlers(ownershipManager: OwnershipManager, peers: PeerNetwork): void {
  const notOwner = { kind: "not-home" } as const;
  peers.answer(
    submitCall,
    async (request) => (await ownershipManager.owner(request.terms.pool)?.submit(request)) ?? notOwner,
  );
  peers.answer(stateCall, ({ pool, jobId, caller }) => {
    return ownershipManager.owner(pool)?.readState(jobId, caller) ?? notOwner;
  });
  peers.answer(cancelCall, async ({ pool, jobId, caller }) => {
    return (await ownershipManager.owner(pool)?.cancel(jobId, caller)) ?? notOwner;
  });
  peers.answer(vacateCall, ({ pool, targetIds, arrivals }) => {
    const owner = ownershipManager.owner(pool);
    return owner === undefined ? notOwner : toVacateFrame(owner.vacate(targetIds, arrivals));
  });
  peers.answer(pendingCall, ({ pool, queue }) => {
    const owner = ownershipManager.owner(pool);
    return owner === undefined ? notOwner : { kind: "pending", count: owner.countPending(queue) };
  });
}

/** The reply of `vacateCall`: a pool report with mutable lists. */
type VacateFrame = z.infer<(typeof vacateCall)["reply"]>;

function toVacateFrame({ targets, ...report }: PoolReport): VacateFrame {
  return { kind: "report", ...report, targets: [...targets] };
}
