/**
 * The owner of a pool: queues the asks of all entries and grants the pool's slots exactly.
 * It is driven by calls alone and keeps no timers.
 * @packageDocumentation
 */
import { AdmissionQueue, type RunTimes } from "../admission/index.js";
import type { Target } from "../pools/index.js";
import type { Random } from "../shared/index.js";
import { chooseTarget, isUsable, type FreeTarget } from "./choose-target.js";
import type { OwnerAsk } from "./owner-ask.js";
import type { SlotRefusal, SlotUse } from "./slot-allocator.js";
import { SlotLedger, type HeldSlot } from "./slot-ledger.js";
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
  withheld(instanceId: string, ledger: SlotLedger): number;
  now(): number;
  /** Called once for each ask that was granted a slot. */
  onGrant(ask: OwnerAsk, grantId: string, target: Target): void;
  /** Called once for each ask that was refused. */
  onRefusal(ask: OwnerAsk, refusal: SlotRefusal): void;
}

const noTargetRetryMilliseconds = 1_000;
/** Asks looked at for one free slot when those before exclude the free targets. */
const maximumScannedAsks = 64;

/** The owner of a pool. */
export class SlotGranter {
  readonly ledger = new SlotLedger();
  readonly #parts: SlotGranterParts;
  readonly #health = createTargetHealth();
  readonly #queue: AdmissionQueue<OwnerAsk>;
  readonly #waiting = new Map<string, OwnerAsk>();
  #active = false;
  #nextGrant = 1;

  /**
   * Creates an owner that does not grant yet.
   * @param parts - what it works with
   */
  constructor(parts: SlotGranterParts) {
    this.#parts = parts;
    this.#queue = new AdmissionQueue<OwnerAsk>({
      random: parts.random,
      runTimes: parts.runTimes,
      maximumQueued: parts.maximumQueued,
      isOverQuota: (team) => this.ledger.ofTeam(team) >= parts.quota(team) * this.#slots(),
    });
  }

  /** Starts to grant. The slots in use must have been added to the ledger. */
  activate(): void {
    this.#active = true;
    this.pump();
  }

  /**
   * Counts the waiting asks.
   * @returns how many asks wait
   */
  queued(): number {
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
   * Takes an ask. It ends by a grant, a refusal or a cancellation.
   * @param ask - the ask; one that waits already is not taken twice
   */
  ask(ask: OwnerAsk): void {
    if (this.#waiting.has(ask.askId)) return;
    const now = this.#parts.now();
    if (ask.deadlineAt <= now) {
      this.#parts.onRefusal(ask, { reason: "deadline-passed", retryAfterMilliseconds: 0 });
      return;
    }
    const usable = this.#parts.targets().filter((target) => isUsable(ask, target));
    if (usable.length === 0) {
      this.#parts.onRefusal(ask, { reason: "no-target", retryAfterMilliseconds: noTargetRetryMilliseconds });
      return;
    }
    if (this.#canStartNow(ask)) {
      this.#waiting.set(ask.askId, ask);
      this.#queue.add(ask);
      this.pump();
      return;
    }
    this.#queue.offer(ask, now, this.#servingSlots()).caseOf({
      Left: (refusal) => {
        this.#parts.onRefusal(ask, { reason: "overloaded", ...refusal });
      },
      Right: () => {
        this.#waiting.set(ask.askId, ask);
        this.pump();
      },
    });
  }

  /**
   * Ends the wait of an ask without an answer.
   * @param askId - the ask
   */
  cancel(askId: string): void {
    const ask = this.#waiting.get(askId);
    if (ask === undefined) return;
    this.#waiting.delete(askId);
    this.#queue.remove(ask);
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
    this.pump();
  }

  /**
   * Ends everything that an entry asked for and holds.
   * @param entryId - an entry that is gone
   */
  releaseEntry(entryId: string): void {
    for (const ask of [...this.#waiting.values()]) {
      if (ask.entryId === entryId) this.cancel(ask.askId);
    }
    for (const { grantId } of this.ledger.heldBy(entryId)) this.ledger.remove(grantId);
    this.pump();
  }

  /**
   * Ends all waits without an answer and stops granting.
   * @returns the asks that waited
   */
  drain(): OwnerAsk[] {
    this.#active = false;
    const asks = [...this.#waiting.values()];
    for (const { askId } of asks) this.cancel(askId);
    return asks;
  }

  /**
   * Adds slots that an entry reported as in use.
   * @param slots - the slots
   */
  adopt(slots: readonly HeldSlot[]): void {
    for (const slot of slots) this.ledger.add(slot);
  }

  /** Refuses the asks that cannot be answered in time any more and grants the free slots. */
  pump(): void {
    if (!this.#active) return;
    this.#refuseExpired();
    if (this.#queue.size() === 0) return;
    const free = this.#freeTargets();
    while (free.length > 0 && this.#grantNext(free)) {
      // Each pass grants one slot.
    }
  }

  #slots(): number {
    return this.#parts.targets().length * this.#parts.slotsPerTarget();
  }

  /** Counts the slots that serve the queue: not those of ejected targets, nor those withheld. */
  #usableSlots(): number {
    const now = this.#parts.now();
    const slots = this.#parts.slotsPerTarget();
    return this.#parts.targets().reduce((sum, { instanceId }) => {
      if (this.#health.fitness(instanceId, now) !== "healthy") return sum;
      return sum + Math.max(0, slots - this.#parts.withheld(instanceId, this.ledger));
    }, 0);
  }

  /**
   * Counts the slots that the queue can expect. During a take-over and after a pause all are withheld for a moment;
   * the asks that come in then must not be refused for it.
   */
  #servingSlots(): number {
    const usable = this.#active ? this.#usableSlots() : 0;
    return usable > 0 ? usable : this.#slots();
  }

  #canStartNow(ask: OwnerAsk): boolean {
    return this.#active && this.#freeTargets().some(({ target }) => isUsable(ask, target));
  }

  #refuseExpired(): void {
    const now = this.#parts.now();
    for (const ask of this.#queue.takeExpired(now)) {
      this.#waiting.delete(ask.askId);
      const refusal = this.#queue.refusal(now, this.#servingSlots());
      this.#parts.onRefusal(ask, { reason: "overloaded", ...refusal });
    }
  }

  #freeTargets(): FreeTarget[] {
    const now = this.#parts.now();
    const slots = this.#parts.slotsPerTarget();
    return this.#parts.targets().flatMap((target) => {
      const { instanceId } = target;
      const fitness = this.#health.fitness(instanceId, now);
      const inUse = this.ledger.onInstance(instanceId);
      if (fitness === "ejected" || (fitness === "probe" && inUse > 0)) return [];
      const free = slots - inUse - this.#parts.withheld(instanceId, this.ledger);
      if (free <= 0) return [];
      const isProbe = fitness === "probe";
      return [{ target, isProbe, free: isProbe ? 1 : free }];
    });
  }

  #grantNext(free: FreeTarget[]): boolean {
    let scanned = 0;
    for (const ask of this.#queue.inOrder()) {
      scanned += 1;
      if (scanned > maximumScannedAsks) return false;
      const chosen = chooseTarget(ask, free, this.#parts.random);
      if (chosen === undefined) continue;
      this.#grant(ask, chosen);
      if (chosen.free === 0) free.splice(free.indexOf(chosen), 1);
      return true;
    }
    return false;
  }

  #grant(ask: OwnerAsk, chosen: FreeTarget): void {
    const { instanceId } = chosen.target;
    const { entryId, team, operationKey } = ask;
    const grantId = `${this.#parts.grantPrefix}/${this.#nextGrant}`;
    this.#nextGrant += 1;
    chosen.free -= 1;
    this.#waiting.delete(ask.askId);
    this.#queue.start(ask, this.#parts.now());
    this.ledger.add({
      grantId,
      instanceId,
      entryId,
      team,
      operationKey,
      grantedAt: this.#parts.now(),
    });
    this.#parts.onGrant(ask, grantId, chosen.target);
  }
}
