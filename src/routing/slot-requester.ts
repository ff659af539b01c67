/**
 * The asking side: the requests of this entry's requests, the slots they hold, and what was promised to owners.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { RunTimes } from "../admission/index.js";
import type { PlacementView } from "../pools/index.js";
import type { ReportedSlot, ReportReply, SlotMessage } from "./messages.js";
import type { SlotRequest, SlotGrant, SlotRefusal, SlotUse } from "./slot-allocator.js";

/** What the asking side works with. */
export interface SlotRequesterParts {
  readonly entryId: string;
  readonly zone: string;
  readonly view: PlacementView;
  readonly runTimes: RunTimes;
  /** Names the entry to ask for a pool's slots. */
  ownerOf(pool: string): string;
  deliver(entryId: string, message: SlotMessage): void;
}

interface PendingSlotRequest {
  readonly askId: string;
  readonly slotRequest: SlotRequest;
  /** The entry that was asked, undefined when the request must be placed anew. */
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

const noTargetRetryMilliseconds = 1_000;
const closingRetryMilliseconds = 1_000;

/** The asks and slots of one entry. */
export class SlotRequester {
  readonly #parts: SlotRequesterParts;
  readonly #pending = new Map<string, PendingSlotRequest>();
  readonly #used = new Map<string, PoolSlot>();
  readonly #inProgress = new Map<string, number>();
  readonly #promises = new Map<string, OwnerPromise>();
  /** Distinguishes the requests of this process from those of an earlier one with the same name. */
  readonly #requestPrefix: string;
  #nextRequest = 1;

  /**
   * Creates the asking side.
   * @param parts - what it works with
   */
  constructor(parts: SlotRequesterParts) {
    this.#parts = parts;
    this.#requestPrefix = `${parts.entryId}/${Date.now()}`;
  }

  /**
   * Waits for a slot.
   * @param ask - what is asked for
   * @param signal - aborts the wait
   * @returns a grant or a refusal, at the request's deadline at the latest
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
   * Gives a slot back to the pool's owner.
   * @param grant - the slot
   * @param use - what came of it
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
   * @returns how many
   */
  inProgress(instanceId: string): number {
    return this.#inProgress.get(instanceId) ?? 0;
  }

  /**
   * Lists the slots in use.
   * @param pool - the pool
   * @returns this entry's slots of the pool
   */
  usedSlotsOf(pool: string): PoolSlot[] {
    return [...this.#used.values()].filter((slot) => slot.pool === pool);
  }

  /**
   * Names the owner that has this entry's promise.
   * @param pool - the pool
   * @returns the owner, or this entry itself when it promised none
   */
  promisedOwner(pool: string): string {
    return this.#promises.get(pool)?.ownerId ?? this.#parts.entryId;
  }

  /**
   * Names the highest epoch that this entry promised.
   * @param pool - the pool
   * @returns the epoch, 0 for none
   */
  promisedEpoch(pool: string): number {
    return this.#promises.get(pool)?.epoch ?? 0;
  }

  /**
   * Promises to use no grant of a lower epoch.
   * @param pool - the pool
   * @param ownerId - the entry that wants to be its owner
   * @param epoch - its epoch
   * @returns the slots in use, or a denial when a higher epoch was promised
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
   * Takes a slot, unless the request ended, the granting owner has no promise or the target takes no new work.
   * @param fromId - the entry that grants
   * @param grant - the grant
   */
  onGrant(fromId: string, grant: MessageOfKind<"grant">): void {
    const { pool, askId, grantId, instanceId, epoch } = grant;
    // A batch whose reply was lost comes twice.
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
   * Ends a request that its owner refused.
   * @param refusal - the refusal
   */
  onRefusal({ askId, reason, retryAfterMilliseconds }: MessageOfKind<"refusal">): void {
    this.#pending.get(askId)?.finish(Left({ reason, retryAfterMilliseconds }));
  }

  /**
   * Notes that a request must be placed anew.
   * @param askId - the request
   */
  onNotOwner(askId: string): void {
    const pending = this.#pending.get(askId);
    if (pending !== undefined) pending.ownerId = undefined;
  }

  /** Places the requests anew whose owner is another entry by now. */
  resendToNewOwners(): void {
    for (const pending of [...this.#pending.values()]) {
      const { ownerId, askId, slotRequest: slotRequest } = pending;
      if (ownerId === this.#parts.ownerOf(slotRequest.pool)) continue;
      if (ownerId !== undefined)
        this.#parts.deliver(ownerId, { kind: "cancel", pool: slotRequest.pool, askId });
      this.#sendToOwner(pending);
    }
  }

  /** Refuses all waiting requests. */
  close(): void {
    for (const pending of [...this.#pending.values()]) {
      pending.finish(Left({ reason: "unavailable", retryAfterMilliseconds: closingRetryMilliseconds }));
    }
  }

  /** Lets every request of a pool be placed anew, since an owner that started again has lost them. */
  #markForResend(pool: string): void {
    for (const pending of this.#pending.values()) {
      if (pending.slotRequest.pool === pool) pending.ownerId = undefined;
    }
  }

  #acceptsGrantFrom(fromId: string, pool: string, epoch: number): boolean {
    // This entry's own grants are given without delay, so that none can come late.
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
 * Names an operation of a service.
 * @param service - the service
 * @param operation - the operation
 * @returns the key of its run times
 */
export function operationKeyOf(service: string, operation: string): string {
  return `${service}/${operation}`;
}
