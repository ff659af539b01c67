/**
 * Routes callers' requests about jobs to the owner of the job's pool, in this entry or another one, and retries when the
 * owner changes meanwhile.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { z } from "zod";
import { decodeJobRecord, jobPrefix, type JobState } from "../jobs/index.js";
import type { PeerCall, PeerFailure, PeerNetwork } from "../membership/index.js";
import type { RoomArrival } from "../scheduling/index.js";
import { delay, withTimeout } from "../shared/index.js";
import type { StoreFailure, TransactionalStore } from "../store/index.js";
import type { OwnerDirectory } from "./owner-directory.js";
import type { OwnershipManager } from "./ownership-manager.js";
import type { PoolOwner } from "./pool-owner.js";
import { mayAccess, type JobCaller } from "./job-access.js";
import type { CancelOutcome, JobSubmission, StateOutcome, SubmitOutcome } from "./job-outcomes.js";
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
export interface JobGatewayOptions {
  readonly entryId: string;
  readonly keeper: OwnershipManager;
  readonly directory: OwnerDirectory;
  readonly peers: PeerNetwork;
  readonly store: TransactionalStore;
}

const retryMilliseconds = 60;
const callTimeoutMilliseconds = 1_000;
/** Part of a caller's time that is reserved for sending the answer back. */
const replyMarginMilliseconds = 150;
const retryAfterNoOwnerMilliseconds = 1_500;

/** Forwards requests to the owner of a pool, in this entry or over the links between entries. */
export class OwnerGateway implements JobGateway {
  readonly #options: JobGatewayOptions;

  /**
   * Creates a gateway and registers the handlers for calls of other entries.
   * @param options - the owners in this entry and in others
   */
  constructor(options: JobGatewayOptions) {
    this.#options = options;
    registerCallHandlers(options.keeper, options.peers);
  }

  async submit(submission: JobSubmission): Promise<SubmitOutcome> {
    const { terms, deadlineMilliseconds } = submission;
    const local = async (owner: PoolOwner): Promise<SubmitOutcome> => owner.submit(submission);
    const answer = await this.#requestFromOwner<JobSubmission, SubmitOutcome>(
      terms.pool,
      submitCall,
      submission,
      local,
      deadlineMilliseconds,
    );
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
    const answer = await this.#requestFromOwner<typeof request, PendingReply>(
      pool,
      pendingCall,
      request,
      local,
      deadlineMilliseconds,
    );
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
    const answer = await this.#requestFromOwner<typeof request, VacateReply>(
      pool,
      vacateCall,
      request,
      local,
      deadlineMilliseconds,
    );
    return answer.kind === "reply" ? answer.reply : undefined;
  }

  /** Makes one call to the owner of a pool, in this entry or another one. */
  async #callOwner<Request, Reply>(
    pool: string,
    definition: PeerCall<Request, Reply>,
    request: Request,
    local: (owner: PoolOwner) => Promise<Reply> | Reply,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerFailure, Reply> | "no-home"> {
    const { keeper: ownershipManager, directory, entryId, peers } = this.#options;
    const owner = ownershipManager.owner(pool);
    if (owner !== undefined) return callLocal(owner, local, timeoutMilliseconds);
    const holder = directory.owners().get(pool)?.entryId;
    if (holder === undefined || holder === entryId) return "no-home";
    return peers.call(holder, definition, request, timeoutMilliseconds);
  }

  /**
   * Calls the owner until it answers or the caller's deadline passes. Gives up early if the pool has no owner and no
   * earlier call can have been carried out.
   */
  async #requestFromOwner<Request, Reply extends { readonly kind: string }>(
    pool: string,
    definition: PeerCall<Request, Reply | Unanswered>,
    request: Request,
    local: (owner: PoolOwner) => Promise<Reply | Unanswered> | Reply | Unanswered,
    deadlineMilliseconds: number,
  ): Promise<OwnerAnswer<Reply>> {
    const deadlineAt = performance.now() + deadlineMilliseconds - replyMarginMilliseconds;
    let mayHaveArrived = false;
    let reason = "the pool has no home";
    for (let left = deadlineMilliseconds; left > 0; left = deadlineAt - performance.now()) {
      const timeout = Math.min(left, callTimeoutMilliseconds);
      const answer = await this.#callOwner(pool, definition, request, local, timeout);
      if (answer === "no-home") {
        if (!mayHaveArrived) break;
      } else if (answer.isRight()) {
        const reply = answer.unsafeCoerce();
        if (!isUnanswered(reply)) return { kind: "reply", reply };
        if (reply.kind === "undecided") reason = "it is not known yet whether the job is accepted";
      } else {
        const failure = answer.swap().unsafeCoerce();
        reason = `the home does not answer: ${failure.kind}`;
        mayHaveArrived ||= failure.kind !== "not-connected";
      }
      await delay(retryMilliseconds);
    }
    return { kind: "none", mayHaveArrived, reason };
  }

  /** Queries a job's owner; if it does not know the job, queries the owner of the pool in the job's stored record. */
  async #queryJob<Reply extends { readonly kind: string }>(
    request: JobRequest,
    definition: PeerCall<JobRequest, Reply | Unanswered>,
    local: (owner: PoolOwner) => Promise<Reply | Unanswered> | Reply | Unanswered,
    deadlineMilliseconds: number,
  ): Promise<OwnerAnswer<Reply>> {
    const startedAt = performance.now();
    const queryOwner = async (pool: string, left: number): Promise<OwnerAnswer<Reply>> =>
      this.#requestFromOwner<JobRequest, Reply>(pool, definition, { ...request, pool }, local, left);
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
    const found = await this.#options.store.get(`${jobPrefix}${jobId}`);
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

/** A reply after which the caller asks again: the entry does not own the pool, or cannot tell yet whether it has the job. */
interface Unanswered {
  readonly kind: "not-home" | "undecided";
}

type VacateReply = { readonly kind: "report" } & PoolReport;

interface PendingReply {
  readonly kind: "pending";
  readonly count: number;
}

function isUnanswered(reply: { readonly kind: string }): reply is Unanswered {
  return reply.kind === "not-home" || reply.kind === "undecided";
}

/** Calls the owner in this entry, with the same timeout as an owner in another one. */
async function callLocal<Reply>(
  owner: PoolOwner,
  local: (owner: PoolOwner) => Promise<Reply> | Reply,
  timeoutMilliseconds: number,
): Promise<Either<PeerFailure, Reply>> {
  const reply = local(owner);
  if (!(reply instanceof Promise)) return Right(reply);
  const timedOut: Either<PeerFailure, Reply> = Left({
    kind: "timeout",
    message: "the owner has not answered in time",
  });
  const answered = reply.then((value): Either<PeerFailure, Reply> => Right(value));
  return withTimeout(answered, timeoutMilliseconds, timedOut);
}

type OwnerAnswer<Reply> =
  | { readonly kind: "reply"; readonly reply: Reply }
  /** No owner answered; `mayHaveArrived` is true when a call may have been carried out all the same. */
  | { readonly kind: "none"; readonly mayHaveArrived: boolean; readonly reason: string };

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
