/**
 * The owner of a pool: queues the requests of all entries and grants the pool's slots exactly.
 * It is driven by calls alone and keeps no timers.
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

/** What an owner works with. */
export interface SlotGranterParts {
  readonly random: Random;
  readonly runTimes: RunTimes;
  readonly maximumQueued: number;
  /** Starts every grant's identifier; differs for each owner and epoch. */
  readonly grantPrefix: string;
  /** The pool's targets that take new work. */
  targets(): readonly Target[];
  slotsPerTarget(): number;
  /** Share of the pool's slots that a team may hold while others wait; 1 without a quota. */
  quota(team: string): number;
  /** Slots of a target that are kept for entries which cannot be reached. */
  withheldSlots(instanceId: string, ledger: SlotLedger): number;
  now(): number;
  /** Called once for each request that was granted a slot. */
  onGrant(slotRequest: OwnerSlotRequest, grantId: string, target: Target): void;
  /** Called once for each request that was refused. */
  onRefusal(slotRequest: OwnerSlotRequest, refusal: SlotRefusal): void;
}

const noTargetRetryMilliseconds = 1_000;
/** Asks looked at for one free slot when those before exclude the free targets. */
const maximumScannedRequests = 64;

/** The owner of a pool. */
export class SlotGranter {
  readonly ledger = new SlotLedger();
  readonly #parts: SlotGranterParts;
  readonly #health = createTargetHealth();
  readonly #queue: AdmissionQueue<OwnerSlotRequest>;
  readonly #waiting = new Map<string, OwnerSlotRequest>();
  #active = false;
  #nextGrant = 1;

  /**
   * Creates an owner that does not grant yet.
   * @param parts - what it works with
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

  /** Starts to grant. The slots in use must have been added to the ledger. */
  activate(): void {
    this.#active = true;
    this.grantFreeSlots();
  }

  /**
   * Counts the waiting requests.
   * @returns how many asks wait
   */
  queuedCount(): number {
    return this.#queue.size();
  }

  /**
   * Counts the free slots on healthy targets.
   * @returns how many slots could be granted now
   */
  freeSlots(): number {
    return this.#freeTargets().reduce((sum, { free }) => sum + free, 0);
  }

  /**
   * Takes a request. It ends by a grant, a refusal or a cancellation.
   * @param ask - the request; one that waits already is not taken twice
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
   * Ends the wait of a request without an answer.
   * @param askId - the request
   */
  cancel(askId: string): void {
    const slotRequest = this.#waiting.get(askId);
    if (slotRequest === undefined) return;
    this.#waiting.delete(askId);
    this.#queue.remove(slotRequest);
  }

  /**
   * Takes a slot back.
   * @param grantId - the slot's grant
   * @param use - what came of it
   */
  release(grantId: string, use: SlotUse): void {
    const slot = this.ledger.remove(grantId);
    if (slot === undefined) return;
    if (use.verdict === "ok") this.#parts.runTimes.record(slot.operationKey, use.runMilliseconds);
    this.#health.record(slot.instanceId, use.verdict, this.#parts.targets(), this.#parts.now());
    this.grantFreeSlots();
  }

  /**
   * Ends everything that an entry asked for and holds.
   * @param entryId - an entry that is gone
   */
  releaseEntry(entryId: string): void {
    for (const slotRequest of [...this.#waiting.values()]) {
      if (slotRequest.entryId === entryId) this.cancel(slotRequest.askId);
    }
    for (const { grantId } of this.ledger.slotsOfEntry(entryId)) this.ledger.remove(grantId);
    this.grantFreeSlots();
  }

  /**
   * Ends all waits without an answer and stops granting.
   * @returns the requests that waited
   */
  stop(): OwnerSlotRequest[] {
    this.#active = false;
    const slotRequests = [...this.#waiting.values()];
    for (const { askId } of slotRequests) this.cancel(askId);
    return slotRequests;
  }

  /**
   * Adds slots that an entry reported as in use.
   * @param slots - the slots
   */
  addReportedSlots(slots: readonly UsedSlot[]): void {
    for (const slot of slots) this.ledger.add(slot);
  }

  /** Refuses the requests that cannot be answered in time any more and grants the free slots. */
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

  /** Counts the slots that serve the queue: not those of ejected targets, nor those withheld. */
  #usableSlots(): number {
    const now = this.#parts.now();
    const slots = this.#parts.slotsPerTarget();
    return this.#parts.targets().reduce((sum, { instanceId }) => {
      if (this.#health.stateOf(instanceId, now) !== "healthy") return sum;
      return sum + Math.max(0, slots - this.#parts.withheldSlots(instanceId, this.ledger));
    }, 0);
  }

  /**
   * Counts the slots that the queue can expect. During a take-over and after a pause all are withheld for a moment;
   * the requests that come in then must not be refused for it.
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
