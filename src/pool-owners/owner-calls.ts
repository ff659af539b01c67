/**
 * Calls to the owner of a pool, in this entry or another one, repeated until the owner answers or the caller's time is over.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { PeerCall, PeerFailure, PeerNetwork } from "../membership/index.js";
import { delay, withTimeout } from "../shared/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { OwnerDirectory } from "./owner-directory.js";
import type { OwnershipManager } from "./ownership-manager.js";
import type { PoolOwner } from "./pool-owner.js";

/** Dependencies of calls to owners. */
export interface OwnerCallsOptions {
  readonly entryId: string;
  readonly keeper: OwnershipManager;
  readonly directory: OwnerDirectory;
  readonly peers: PeerNetwork;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A reply after which the owner is asked again: the entry does not own the pool, or cannot tell yet whether it has the job. */
export interface Unanswered {
  readonly kind: "not-home" | "undecided";
}

/** A call to the owner of a pool. */
export interface OwnerCall<Request, Reply> {
  readonly pool: string;
  /** The job that the call is about; undefined for calls about the pool. */
  readonly jobId?: string;
  readonly definition: PeerCall<Request, Reply | Unanswered>;
  readonly request: Request;
  /** Makes the call to an owner in this entry. */
  readonly local: (owner: PoolOwner) => Promise<Reply | Unanswered> | Reply | Unanswered;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMilliseconds: number;
}

/** The answer to a call to the owner of a pool. */
export type OwnerAnswer<Reply> =
  | { readonly kind: "reply"; readonly reply: Reply }
  /** No owner answered; `mayHaveArrived` is true when a call may have been carried out all the same. */
  | { readonly kind: "none"; readonly mayHaveArrived: boolean; readonly reason: string };

/** Why a call got no answer. */
type UnansweredCause = "no-owner" | "undecided" | PeerFailure["kind"];

const retryMilliseconds = 60;
/** Timeout of one call to another entry. */
const callTimeoutMilliseconds = 1_000;
/** Part of a caller's time that is reserved for sending the answer back. */
const replyMarginMilliseconds = 150;

/** Calls owners in this entry and in others. */
export class OwnerCalls {
  readonly #options: OwnerCallsOptions;

  /**
   * Creates the calls.
   * @param options - the owners in this entry and in others
   */
  constructor(options: OwnerCallsOptions) {
    this.#options = options;
  }

  /**
   * Calls the owner until it answers or the caller's deadline passes. Gives up early if the pool has no owner and no
   * earlier call can have been carried out.
   * @param call - the call
   * @returns the owner's reply, or why there is none
   */
  async request<Request, Reply extends { readonly kind: string }>(
    call: OwnerCall<Request, Reply>,
  ): Promise<OwnerAnswer<Reply>> {
    const startedAt = performance.now();
    const deadlineAt = startedAt + call.deadlineMilliseconds - replyMarginMilliseconds;
    let mayHaveArrived = false;
    let cause: UnansweredCause = "no-owner";
    for (let left = call.deadlineMilliseconds; left > 0; left = deadlineAt - performance.now()) {
      const answer = await this.#callOnce(call, left);
      if (answer === "no-owner") {
        if (!mayHaveArrived) break;
      } else if (answer.isRight()) {
        const reply = answer.unsafeCoerce();
        if (!isUnanswered(reply)) return { kind: "reply", reply };
        if (reply.kind === "undecided") cause = "undecided";
      } else {
        cause = answer.swap().unsafeCoerce().kind;
        mayHaveArrived ||= cause !== "not-connected";
      }
      await delay(retryMilliseconds);
    }
    this.#note(call, cause, mayHaveArrived, performance.now() - startedAt);
    return { kind: "none", mayHaveArrived, reason: describeCause(cause) };
  }

  /** Makes one call to the owner of a pool, in this entry or another one. */
  async #callOnce<Request, Reply>(
    { pool, definition, request, local }: OwnerCall<Request, Reply>,
    leftMilliseconds: number,
  ): Promise<Either<PeerFailure, Reply | Unanswered> | "no-owner"> {
    const { keeper: ownershipManager, directory, entryId, peers } = this.#options;
    const owner = ownershipManager.owner(pool);
    // No message can be lost on the way, so that one call may take all the time.
    if (owner !== undefined) return callLocal(owner, local, leftMilliseconds - replyMarginMilliseconds);
    const holder = directory.owners().get(pool)?.entryId;
    if (holder === undefined || holder === entryId) return "no-owner";
    return peers.call(holder, definition, request, Math.min(leftMilliseconds, callTimeoutMilliseconds));
  }

  /** Calls about pools are repeated all the time, so that they are only counted. */
  #note<Request, Reply>(
    { pool, jobId, definition }: OwnerCall<Request, Reply>,
    cause: UnansweredCause,
    mayHaveArrived: boolean,
    milliseconds: number,
  ): void {
    const { directory, log, metrics } = this.#options;
    metrics.count("owner_calls_unanswered_total", { call: definition.name, cause });
    if (jobId === undefined) return;
    log.write("info", "owner-not-reached", {
      job: jobId,
      pool,
      call: definition.name,
      owner: directory.owners().get(pool)?.entryId,
      cause,
      mayHaveArrived,
      milliseconds: Math.round(milliseconds),
    });
  }
}

function isUnanswered(reply: { readonly kind: string }): reply is Unanswered {
  return reply.kind === "not-home" || reply.kind === "undecided";
}

function describeCause(cause: UnansweredCause): string {
  if (cause === "no-owner") return "the pool has no home";
  if (cause === "undecided") return "it is not known yet whether the job is accepted";
  return `the home does not answer: ${cause}`;
}

/** Calls the owner in this entry; it may wait for the store for longer than the caller does. */
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
