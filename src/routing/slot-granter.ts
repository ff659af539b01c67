/**
 * Queue and slot accounting of a pool's owner: queues the requests of all entries and never grants more slots than the
 * pool has. It has no timers; the caller drives it.
 * @packageDocumentation
 */
import { AdmissionQueue, type RunTimes } from "../admission/index.js";
import type { Target } from "../pools/index.js";
import type { Random } from "../shared/index.js";
import { chooseTarget, isUsable, type FreeTarget } from "./choose-target.js";
import type { OwnerSlotRequest } from "./owner-slot-request.js";
import type { SlotRefusal, SlotUse } from "./slot-allocator.js";
import { SlotLedger, type UsedSlot } from "./slot-ledger.js";
import { createTargetHealth } from "./target-health.js";

/** Dependencies of a {@link SlotGranter}. */
export interface SlotGranterParts {
  readonly random: Random;
  readonly runTimes: RunTimes;
  /** Maximum number of queued requests. */
  readonly maximumQueued: number;
  /** Prefix of the grant identifiers; must be unique for each owner and epoch. */
  readonly grantPrefix: string;
  /** The pool's targets that accept new requests. */
  targets(): readonly Target[];
  slotsPerTarget(): number;
  /** Share of the pool's slots, from 0 to 1, that a team may use while other teams wait; 1 without a quota. */
  quota(team: string): number;
  /** Number of a target's free slots that must not be granted, such as those reserved for unreachable entries. */
  withheldSlots(instanceId: string, ledger: SlotLedger): number;
  /** Current time in milliseconds since the epoch. */
  now(): number;
  /** Called once for each request that is granted a slot. */
  onGrant(slotRequest: OwnerSlotRequest, grantId: string, target: Target): void;
  /** Called once for each request that is refused. */
  onRefusal(slotRequest: OwnerSlotRequest, refusal: SlotRefusal): void;
}

/** Retry delay for a request that excludes every serving target, or whose pool has none. */
const noTargetRetryMilliseconds = 1_000;
/** Maximum number of queued requests examined to find one that may use a free target; bounds the cost of each grant. */
const maximumScannedRequests = 64;

/** Queues slot requests and grants the slots of one pool. */
export class SlotGranter {
  readonly ledger = new SlotLedger();
  readonly #parts: SlotGranterParts;
  readonly #health = createTargetHealth();
  readonly #queue: AdmissionQueue<OwnerSlotRequest>;
  readonly #waiting = new Map<string, OwnerSlotRequest>();
  #active = false;
  #nextGrant = 1;

  /**
   * Creates an inactive granter: it queues requests and grants nothing before {@link activate}.
   * @param parts - dependencies
   */
  constructor(parts: SlotGranterParts) {
    this.#parts = parts;
    this.#queue = new AdmissionQueue<OwnerSlotRequest>({
      random: parts.random,
      runTimes: parts.runTimes,
      maximumQueued: parts.maximumQueued,
      isOverQuota: (team) => this.ledger.countOfTeam(team) >= parts.quota(team) * this.#totalSlots(),
    });
  }

  /** Starts granting. The slots that are already in use must have been added to the ledger before. */
  activate(): void {
    this.#active = true;
    this.grantFreeSlots();
  }

  /**
   * Counts the queued requests.
   * @returns the number of requests without a grant or refusal
   */
  queuedCount(): number {
    return this.#queue.size();
  }

  /**
   * Counts the slots that could be granted now.
   * @returns free slots on all targets; a target being probed has at most 1 and an ejected one has none
   */
  freeSlots(): number {
    return this.#freeTargets().reduce((sum, { free }) => sum + free, 0);
  }

  /**
   * Accepts a request. It ends with a grant, a refusal or a cancellation.
   * @param slotRequest - ignored when a request with the same `askId` is queued
   */
  submit(slotRequest: OwnerSlotRequest): void {
    if (this.#waiting.has(slotRequest.askId)) return;
    const now = this.#parts.now();
    if (slotRequest.deadlineAt <= now) {
      this.#parts.onRefusal(slotRequest, { reason: "deadline-passed", retryAfterMilliseconds: 0 });
      return;
    }
    const usable = this.#parts.targets().filter((target) => isUsable(slotRequest, target));
    if (usable.length === 0) {
      this.#parts.onRefusal(slotRequest, {
        reason: "no-target",
        retryAfterMilliseconds: noTargetRetryMilliseconds,
      });
      return;
    }
    if (this.#canStartNow(slotRequest)) {
      this.#waiting.set(slotRequest.askId, slotRequest);
      this.#queue.add(slotRequest);
      this.grantFreeSlots();
      return;
    }
    this.#queue.offer(slotRequest, now, this.#expectedSlots()).caseOf({
      Left: (refusal) => {
        this.#parts.onRefusal(slotRequest, { reason: "overloaded", ...refusal });
      },
      Right: () => {
        this.#waiting.set(slotRequest.askId, slotRequest);
        this.grantFreeSlots();
      },
    });
  }

  /**
   * Removes a request from the queue without a grant or refusal.
   * @param askId - ignored when no such request is queued
   */
  cancel(askId: string): void {
    const slotRequest = this.#waiting.get(askId);
    if (slotRequest === undefined) return;
    this.#waiting.delete(askId);
    this.#queue.remove(slotRequest);
  }

  /**
   * Frees a slot and records the run time and the target's health.
   * @param grantId - ignored when no slot with this grant is in use
   * @param use - result of the use
   */
  release(grantId: string, use: SlotUse): void {
    const slot = this.ledger.remove(grantId);
    if (slot === undefined) return;
    if (use.verdict === "ok") this.#parts.runTimes.record(slot.operationKey, use.runMilliseconds);
    this.#health.record(slot.instanceId, use.verdict, this.#parts.targets(), this.#parts.now());
    this.grantFreeSlots();
  }

  /**
   * Cancels an entry's queued requests and frees its slots.
   * @param entryId - an entry that ended or is treated as ended
   */
  releaseEntry(entryId: string): void {
    for (const slotRequest of [...this.#waiting.values()]) {
      if (slotRequest.entryId === entryId) this.cancel(slotRequest.askId);
    }
    for (const { grantId } of this.ledger.slotsOfEntry(entryId)) this.ledger.remove(grantId);
    this.grantFreeSlots();
  }

  /**
   * Stops granting and removes all queued requests without a grant or refusal.
   * @returns the requests that were queued
   */
  stop(): OwnerSlotRequest[] {
    this.#active = false;
    const slotRequests = [...this.#waiting.values()];
    for (const { askId } of slotRequests) this.cancel(askId);
    return slotRequests;
  }

  /**
   * Records slots that an entry reported as in use.
   * @param slots - those already recorded are ignored
   */
  addReportedSlots(slots: readonly UsedSlot[]): void {
    for (const slot of slots) this.ledger.add(slot);
  }

  /** Refuses the requests that can no longer start in time, then grants the free slots. */
  grantFreeSlots(): void {
    if (!this.#active) return;
    this.#refuseExpired();
    if (this.#queue.size() === 0) return;
    const free = this.#freeTargets();
    while (free.length > 0 && this.#grantNext(free)) {
      // Each pass grants one slot.
    }
  }

  #totalSlots(): number {
    return this.#parts.targets().length * this.#parts.slotsPerTarget();
  }

  /** Counts the slots of healthy targets without the withheld ones, whether in use or free. */
  #usableSlots(): number {
    const now = this.#parts.now();
    const slots = this.#parts.slotsPerTarget();
    return this.#parts.targets().reduce((sum, { instanceId }) => {
      if (this.#health.stateOf(instanceId, now) !== "healthy") return sum;
      return sum + Math.max(0, slots - this.#parts.withheldSlots(instanceId, this.ledger));
    }, 0);
  }

  /**
   * Counts the slots by which the queue estimates waiting times. During a takeover and after a pause of the process all
   * slots are withheld for a short time; requests that arrive then must not be refused because of that.
   */
  #expectedSlots(): number {
    const usable = this.#active ? this.#usableSlots() : 0;
    return usable > 0 ? usable : this.#totalSlots();
  }

  #canStartNow(slotRequest: OwnerSlotRequest): boolean {
    return this.#active && this.#freeTargets().some(({ target }) => isUsable(slotRequest, target));
  }

  #refuseExpired(): void {
    const now = this.#parts.now();
    for (const slotRequest of this.#queue.takeExpired(now)) {
      this.#waiting.delete(slotRequest.askId);
      const refusal = this.#queue.refusal(now, this.#expectedSlots());
      this.#parts.onRefusal(slotRequest, { reason: "overloaded", ...refusal });
    }
  }

  #freeTargets(): FreeTarget[] {
    const now = this.#parts.now();
    const slots = this.#parts.slotsPerTarget();
    return this.#parts.targets().flatMap((target) => {
      const { instanceId } = target;
      const fitness = this.#health.stateOf(instanceId, now);
      const inUse = this.ledger.countOnInstance(instanceId);
      if (fitness === "ejected" || (fitness === "probe" && inUse > 0)) return [];
      const free = slots - inUse - this.#parts.withheldSlots(instanceId, this.ledger);
      if (free <= 0) return [];
      const isProbe = fitness === "probe";
      return [{ target, isProbe, free: isProbe ? 1 : free }];
    });
  }

  #grantNext(free: FreeTarget[]): boolean {
    let scanned = 0;
    for (const slotRequest of this.#queue.inOrder()) {
      scanned += 1;
      if (scanned > maximumScannedRequests) return false;
      const chosen = chooseTarget(slotRequest, free, this.#parts.random);
      if (chosen === undefined) continue;
      this.#grant(slotRequest, chosen);
      if (chosen.free === 0) free.splice(free.indexOf(chosen), 1);
      return true;
    }
    return false;
  }

  #grant(slotRequest: OwnerSlotRequest, chosen: FreeTarget): void {
    const { instanceId } = chosen.target;
    const { entryId, team, operationKey } = slotRequest;
    const grantId = `${this.#parts.grantPrefix}/${this.#nextGrant}`;
    this.#nextGrant += 1;
    chosen.free -= 1;
    this.#waiting.delete(slotRequest.askId);
    this.#queue.start(slotRequest, this.#parts.now());
    this.ledger.add({
      grantId,
      instanceId,
      entryId,
      team,
      operationKey,
      grantedAt: this.#parts.now(),
    });
    this.#parts.onGrant(slotRequest, grantId, chosen.target);
  }
}
