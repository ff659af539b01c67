/**
 * The requesting side of slot allocation: this entry's pending requests, the slots in use and the promises to owners.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { RunTimes } from "../admission/index.js";
import type { PlacementView } from "../pools/index.js";
import type { ReportedSlot, ReportReply, SlotMessage } from "./messages.js";
import type { SlotRequest, SlotGrant, SlotRefusal, SlotUse } from "./slot-allocator.js";

/** Dependencies of a {@link SlotRequester}. */
export interface SlotRequesterParts {
  readonly entryId: string;
  readonly zone: string;
  readonly view: PlacementView;
  readonly runTimes: RunTimes;
  /** Identifier of the entry that currently owns a pool. */
  ownerOf(pool: string): string;
  /** Sends a message to an entry, which may be this one. */
  deliver(entryId: string, message: SlotMessage): void;
}

interface PendingSlotRequest {
  readonly askId: string;
  readonly slotRequest: SlotRequest;
  /** The entry to which the request was sent; undefined when it must be sent again. */
  ownerId: string | undefined;
  finish(result: Either<SlotRefusal, SlotGrant>): void;
}

interface PoolSlot extends ReportedSlot {
  readonly pool: string;
}

interface OwnerPromise {
  readonly epoch: number;
  readonly ownerId: string;
}

type MessageOfKind<Kind extends SlotMessage["kind"]> = Extract<SlotMessage, { kind: Kind }>;

/** Retry delay for a request whose pool has no serving target. */
const noTargetRetryMilliseconds = 1_000;
/** Retry delay for requests that are refused because this entry is shutting down. */
const closingRetryMilliseconds = 1_000;

/** Pending slot requests and slots in use of one entry. */
export class SlotRequester {
  readonly #parts: SlotRequesterParts;
  readonly #pending = new Map<string, PendingSlotRequest>();
  readonly #used = new Map<string, PoolSlot>();
  readonly #inProgress = new Map<string, number>();
  readonly #promises = new Map<string, OwnerPromise>();
  /** Distinguishes this process's requests from those of an earlier process with the same entry identifier. */
  readonly #requestPrefix: string;
  #nextRequest = 1;

  /**
   * Creates a requester without pending requests.
   * @param parts - dependencies
   */
  constructor(parts: SlotRequesterParts) {
    this.#parts = parts;
    this.#requestPrefix = `${parts.entryId}/${Date.now()}`;
  }

  /**
   * Waits for a slot.
   * @param slotRequest - the pool, deadline and exclusions of the request
   * @param signal - aborts the wait; the request is then refused as `cancelled`
   * @returns a grant or a refusal, by the request's deadline
   */
  async acquire(slotRequest: SlotRequest, signal: AbortSignal): Promise<Either<SlotRefusal, SlotGrant>> {
    if (signal.aborted) return Left({ reason: "cancelled", retryAfterMilliseconds: 0 });
    const remaining = slotRequest.deadlineAt - Date.now();
    if (remaining <= 0) return Left({ reason: "deadline-passed", retryAfterMilliseconds: 0 });
    if (this.#parts.view.serving(slotRequest.pool).length === 0) {
      return Left({ reason: "no-target", retryAfterMilliseconds: noTargetRetryMilliseconds });
    }
    return new Promise((resolve) => {
      const askId = `${this.#requestPrefix}/${this.#nextRequest}`;
      this.#nextRequest += 1;
      const giveUp = (reason: "cancelled" | "deadline-passed"): void => {
        pending.finish(Left({ reason, retryAfterMilliseconds: 0 }));
        const { ownerId } = pending;
        if (ownerId !== undefined)
          this.#parts.deliver(ownerId, { kind: "cancel", pool: slotRequest.pool, askId });
      };
      const onAbort = (): void => {
        giveUp("cancelled");
      };
      const timer = setTimeout(giveUp, remaining, "deadline-passed");
      const finish = (result: Either<SlotRefusal, SlotGrant>): void => {
        clearTimeout(timer);
        signal.removeEventListener("abort", onAbort);
        this.#pending.delete(askId);
        resolve(result);
      };
      const pending: PendingSlotRequest = { askId, slotRequest: slotRequest, ownerId: undefined, finish };
      signal.addEventListener("abort", onAbort, { once: true });
      this.#pending.set(askId, pending);
      this.#sendToOwner(pending);
    });
  }

  /**
   * Returns a slot to the pool's owner.
   * @param grant - ignored when its slot is not in use
   * @param use - result of the use
   */
  release(grant: SlotGrant, use: SlotUse): void {
    const slot = this.#used.get(grant.grantId);
    if (slot === undefined) return;
    this.#used.delete(grant.grantId);
    const left = this.inProgress(slot.instanceId) - 1;
    if (left === 0) this.#inProgress.delete(slot.instanceId);
    else this.#inProgress.set(slot.instanceId, left);
    const ownerId = this.promisedOwner(slot.pool);
    if (ownerId !== this.#parts.entryId && use.verdict === "ok") {
      this.#parts.runTimes.record(slot.operationKey, use.runMilliseconds);
    }
    this.#parts.deliver(ownerId, { kind: "release", pool: slot.pool, grantId: grant.grantId, ...use });
  }

  /**
   * Counts the slots that this entry uses on a target.
   * @param instanceId - the target
   * @returns the number of slots, of all pools
   */
  inProgress(instanceId: string): number {
    return this.#inProgress.get(instanceId) ?? 0;
  }

  /**
   * Lists the slots that this entry uses in a pool.
   * @param pool - name of the pool
   * @returns a new array
   */
  usedSlotsOf(pool: string): PoolSlot[] {
    return [...this.#used.values()].filter((slot) => slot.pool === pool);
  }

  /**
   * Returns the owner to which this entry made its promise.
   * @param pool - name of the pool
   * @returns the owner's entry identifier, or this entry's own when it made no promise
   */
  promisedOwner(pool: string): string {
    return this.#promises.get(pool)?.ownerId ?? this.#parts.entryId;
  }

  /**
   * Returns the highest epoch that this entry promised.
   * @param pool - name of the pool
   * @returns the epoch, or 0 without a promise
   */
  promisedEpoch(pool: string): number {
    return this.#promises.get(pool)?.epoch ?? 0;
  }

  /**
   * Promises to accept no grant of a lower epoch.
   * @param pool - name of the pool
   * @param ownerId - the entry that takes over the pool
   * @param epoch - epoch of the takeover
   * @returns the slots in use, or a denial when a higher epoch, or this one of another entry, was promised
   */
  promiseEpoch(pool: string, ownerId: string, epoch: number): ReportReply {
    const promised = this.#promises.get(pool);
    const isLower = promised !== undefined && epoch < promised.epoch;
    const hasOtherOwner = epoch === promised?.epoch && ownerId !== promised.ownerId;
    if (isLower || hasOtherOwner) {
      return { kind: "denied", epoch: promised.epoch, seesOtherHome: false };
    }
    this.#promises.set(pool, { epoch, ownerId });
    if (epoch !== promised?.epoch) this.#markForResend(pool);
    const slots = this.usedSlotsOf(pool).map(({ grantId, instanceId, team, operationKey }) => ({
      grantId,
      instanceId,
      team,
      operationKey,
    }));
    return { kind: "promised", slots };
  }

  /**
   * Handles a grant. Returns the slot to the sender when the request has ended, the sender has no promise of this
   * epoch or the target accepts no new requests.
   * @param fromId - the sender of the grant
   * @param grant - ignored when it was received before
   */
  onGrant(fromId: string, grant: MessageOfKind<"grant">): void {
    const { pool, askId, grantId, instanceId, epoch } = grant;
    // A batch whose reply was lost is delivered twice.
    if (this.#used.has(grantId)) return;
    const pending = this.#pending.get(askId);
    const target = this.#parts.view.serving(pool).find((each) => each.instanceId === instanceId);
    if (pending === undefined || target === undefined || !this.#acceptsGrantFrom(fromId, pool, epoch)) {
      const unused = { verdict: "neutral", runMilliseconds: 0 } as const;
      this.#parts.deliver(fromId, { kind: "release", pool, grantId, ...unused });
      if (pending !== undefined) pending.ownerId = undefined;
      return;
    }
    const { team, service, operation } = pending.slotRequest;
    const operationKey = operationKeyOf(service, operation);
    this.#used.set(grantId, { pool, grantId, instanceId, team, operationKey });
    this.#inProgress.set(instanceId, this.inProgress(instanceId) + 1);
    pending.finish(Right({ grantId, target }));
  }

  /**
   * Handles an owner's refusal.
   * @param refusal - ignored when the request is not pending
   */
  onRefusal({ askId, reason, retryAfterMilliseconds }: MessageOfKind<"refusal">): void {
    this.#pending.get(askId)?.finish(Left({ reason, retryAfterMilliseconds }));
  }

  /**
   * Handles the reply that the receiver of a request is not the owner: marks the request to be sent again.
   * @param askId - ignored when the request is not pending
   */
  onNotOwner(askId: string): void {
    const pending = this.#pending.get(askId);
    if (pending !== undefined) pending.ownerId = undefined;
  }

  /** Sends each pending request whose owner has changed, or that was marked, to the current owner. */
  resendToNewOwners(): void {
    for (const pending of [...this.#pending.values()]) {
      const { ownerId, askId, slotRequest: slotRequest } = pending;
      if (ownerId === this.#parts.ownerOf(slotRequest.pool)) continue;
      if (ownerId !== undefined)
        this.#parts.deliver(ownerId, { kind: "cancel", pool: slotRequest.pool, askId });
      this.#sendToOwner(pending);
    }
  }

  /** Refuses all pending requests as `unavailable`. */
  close(): void {
    for (const pending of [...this.#pending.values()]) {
      pending.finish(Left({ reason: "unavailable", retryAfterMilliseconds: closingRetryMilliseconds }));
    }
  }

  /** Marks every request of a pool to be sent again, because an owner of a new epoch does not have them. */
  #markForResend(pool: string): void {
    for (const pending of this.#pending.values()) {
      if (pending.slotRequest.pool === pool) pending.ownerId = undefined;
    }
  }

  #acceptsGrantFrom(fromId: string, pool: string, epoch: number): boolean {
    // Grants from this entry to itself are delivered synchronously, so none can be outdated.
    if (fromId === this.#parts.entryId) return true;
    const promised = this.#promises.get(pool);
    return epoch === promised?.epoch && fromId === promised.ownerId;
  }

  #sendToOwner(pending: PendingSlotRequest): void {
    const { slotRequest: slotRequest, askId } = pending;
    const ownerId = this.#parts.ownerOf(slotRequest.pool);
    pending.ownerId = ownerId;
    this.#parts.deliver(ownerId, {
      kind: "ask",
      pool: slotRequest.pool,
      askId,
      zone: this.#parts.zone,
      team: slotRequest.team,
      urgency: slotRequest.urgency,
      operationKey: operationKeyOf(slotRequest.service, slotRequest.operation),
      remainingMilliseconds: slotRequest.deadlineAt - Date.now(),
      excludedInstances: [...slotRequest.excludedInstances],
    });
  }
}

/**
 * Builds the key under which an operation's run times are recorded.
 * @param service - name of the service
 * @param operation - name of the operation
 * @returns `service/operation`
 */
export function operationKeyOf(service: string, operation: string): string {
  return `${service}/${operation}`;
}
