/**
 * One pool's owner in this entry. It takes the pool over by collecting promises, then grants: the slots that the
 * entries reported stay in use, and the shares of entries which did not promise are left to them.
 * @packageDocumentation
 */
import type { RunTimes } from "../admission/index.js";
import type { PlacementView } from "../pools/index.js";
import type { Random } from "../shared/index.js";
import type { OwnerView } from "./owner-view.js";
import type { ReportReply, SlotMessage } from "./messages.js";
import { SlotGranter } from "./slot-granter.js";
import type { SlotLedger } from "./slot-ledger.js";

/** What a pool's owner works with. */
export interface SlotPoolOwnerParts {
  readonly pool: string;
  readonly entryId: string;
  readonly view: PlacementView;
  readonly ownerView: OwnerView;
  readonly random: Random;
  readonly runTimes: RunTimes;
  readonly maximumQueued: number;
  slotsPerTarget(): number;
  quota(team: string): number;
  /** Takes this entry's own promise. */
  promiseOwn(epoch: number): ReportReply;
  /** Asks another entry for its promise; undefined when it did not reply. */
  report(entryId: string, epoch: number): Promise<ReportReply | undefined>;
  deliver(entryId: string, message: SlotMessage): void;
  /** Whether all messages to an entry arrived. */
  isDelivered(entryId: string): boolean;
  /** Whether this process ran without a long pause until now. */
  isAwake(): boolean;
  /** Called when an entry has promised a higher epoch. */
  onOutdated(epoch: number): void;
}

/** How an owner starts. */
export interface SlotPoolOwnerStart {
  /** Higher than every epoch that is known of the pool. */
  readonly epoch: number;
  /** When this entry first tried to take the pool over, in milliseconds since the epoch. */
  readonly startedAt: number;
  /** Whether it serves this entry alone, since no owner answers it. */
  readonly alone: boolean;
}

const reconcileMilliseconds = 2_000;
/** How long a take-over waits for entries that are reachable and do not promise. */
const promiseWaitMilliseconds = 3_000;

/** How long an unreachable entry's slots beyond its share stay in use. Its share stays with it after that. */
const unreachableHoldMilliseconds = 5_000;

/** The owner of one pool. */
export class SlotPoolOwner {
  readonly start: SlotPoolOwnerStart;
  readonly #parts: SlotPoolOwnerParts;
  readonly #owner: SlotGranter;
  readonly #promised = new Set<string>();
  readonly #unreachableSince = new Map<string, number>();
  #activated = false;
  #closed = false;
  #collecting = false;
  #reconciledAt = Date.now();

  /**
   * Creates an owner that queues asks and does not grant yet.
   * @param parts - what it works with
   * @param start - how it starts
   */
  constructor(parts: SlotPoolOwnerParts, start: SlotPoolOwnerStart) {
    this.start = start;
    this.#parts = parts;
    this.#owner = this.#createOwner();
  }

  /**
   * Tells whether the owner grants.
   * @returns true once the pool was taken over
   */
  isActive(): boolean {
    return this.#activated && !this.#closed;
  }

  /** Stops granting for good; those who wait are told to ask anew. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    for (const { entryId, askId } of this.#owner.drain()) {
      this.#parts.deliver(entryId, { kind: "not-home", pool: this.#parts.pool, askId });
    }
  }

  /**
   * Takes a message of an entry that asks for slots.
   * @param fromId - the entry
   * @param message - a request, a cancellation or a release
   */
  receive(fromId: string, message: Extract<SlotMessage, { kind: "ask" | "cancel" | "release" }>): void {
    if (message.kind === "cancel") this.#owner.cancel(message.askId);
    else if (message.kind === "release") this.#owner.release(message.grantId, message);
    else this.#ask(fromId, message);
  }

  /** Goes on with the take-over, follows the states of the entries and grants what became free. */
  step(): void {
    if (this.#closed) return;
    const { ownerView } = this.#parts;
    const reachable = new Set(ownerView.reachable());
    for (const entryId of this.#promised) {
      if (!reachable.has(entryId)) this.#promised.delete(entryId);
    }
    this.#releaseLost(reachable);
    if (!this.#collecting) void this.#collect();
    if (this.isActive()) this.#owner.pump();
  }

  /** Frees the slots of ended entries at once, and those of unreachable ones after a while. */
  #releaseLost(reachable: ReadonlySet<string>): void {
    const { ownerView, entryId: self } = this.#parts;
    const now = Date.now();
    for (const entryId of this.#owner.ledger.entries()) {
      if (entryId === self || reachable.has(entryId)) {
        this.#unreachableSince.delete(entryId);
        continue;
      }
      const since = this.#unreachableSince.get(entryId) ?? now;
      this.#unreachableSince.set(entryId, since);
      const isOver = now - since >= unreachableHoldMilliseconds;
      if (isOver || ownerView.isGone(entryId)) this.#owner.releaseEntry(entryId);
    }
  }

  #ask(fromId: string, message: Extract<SlotMessage, { kind: "ask" }>): void {
    const arrivedAt = Date.now();
    const { askId, zone, team, urgency, operationKey, excludedInstances } = message;
    const deadlineAt = arrivedAt + message.remainingMilliseconds;
    const common = { askId, zone, team, urgency, operationKey, excludedInstances };
    this.#owner.ask({ ...common, entryId: fromId, arrivedAt, deadlineAt });
  }

  /** Collects promises: of all entries before the first grant, later of new ones, and of all again now and then. */
  async #collect(): Promise<void> {
    const { ownerView } = this.#parts;
    const reachable = this.start.alone ? [] : [...ownerView.reachable()];
    const isDue = Date.now() - this.#reconciledAt >= reconcileMilliseconds;
    if (isDue) this.#reconciledAt = Date.now();
    const asked = isDue ? reachable : reachable.filter((entryId) => !this.#promised.has(entryId));
    this.#collecting = true;
    await Promise.all(asked.map(async (entryId) => this.#collectFrom(entryId)));
    this.#collecting = false;
    if (!this.#activated && !this.#closed && this.#mayActivate()) this.#activate();
  }

  #mayActivate(): boolean {
    const { ownerView } = this.#parts;
    const hasWaited = Date.now() - this.start.startedAt >= promiseWaitMilliseconds;
    const isComplete = ownerView.reachable().every((entryId) => this.#promised.has(entryId));
    return ownerView.isSettled() && (hasWaited || (isComplete && !this.start.alone));
  }

  #activate(): void {
    const reply = this.#parts.promiseOwn(this.start.epoch);
    if (reply.kind === "denied") {
      this.#parts.onOutdated(reply.epoch);
      return;
    }
    this.#adopt(this.#parts.entryId, reply);
    this.#activated = true;
    this.#owner.activate();
  }

  async #collectFrom(entryId: string): Promise<void> {
    const requestSentAt = Date.now();
    const wasDelivered = this.#parts.isDelivered(entryId);
    const reply = await this.#parts.report(entryId, this.start.epoch);
    if (reply === undefined || this.#closed) return;
    if (reply.kind === "denied") {
      this.#promised.delete(entryId);
      if (!reply.seesOtherHome) this.#parts.onOutdated(reply.epoch);
      return;
    }
    // A release may overtake the report that still names its slot, so that only the first report adds slots.
    if (!this.#promised.has(entryId)) this.#adopt(entryId, reply);
    this.#promised.add(entryId);
    if (wasDelivered) this.#dropUnreported(entryId, reply, requestSentAt);
  }

  #adopt(entryId: string, { slots }: Extract<ReportReply, { kind: "promised" }>): void {
    const grantedAt = Date.now();
    this.#owner.adopt(slots.map((slot) => ({ ...slot, entryId, grantedAt })));
  }

  /** Frees slots whose grant arrived and that the entry does not use: their release was lost. */
  #dropUnreported(
    entryId: string,
    { slots }: Extract<ReportReply, { kind: "promised" }>,
    requestSentAt: number,
  ): void {
    const reported = new Set(slots.map(({ grantId }) => grantId));
    for (const { grantId, grantedAt } of this.#owner.ledger.heldBy(entryId)) {
      if (grantedAt >= requestSentAt || reported.has(grantId)) continue;
      this.#owner.release(grantId, { verdict: "neutral", runMilliseconds: 0 });
    }
  }

  /** Counts the slots of a target that belong to entries which may use them without asking here. */
  #withheld(instanceId: string, ledger: SlotLedger): number {
    const { ownerView } = this.#parts;
    const slots = this.#parts.slotsPerTarget();
    if (!this.#parts.isAwake()) return slots;
    const others = ownerView.members().filter((entryId) => !this.#promised.has(entryId));
    // While another owner may exist, an ended entry's share is nobody's, so that two owners do not both take it.
    if (others.every((entryId) => ownerView.isGone(entryId))) return 0;
    return others.reduce((sum, entryId) => {
      const unused = ownerView.share(entryId, instanceId, slots) - ledger.onInstance(instanceId, entryId);
      return sum + Math.max(0, unused);
    }, 0);
  }

  #createOwner(): SlotGranter {
    const { pool, entryId, view } = this.#parts;
    const { epoch } = this.start;
    return new SlotGranter({
      random: this.#parts.random,
      runTimes: this.#parts.runTimes,
      maximumQueued: this.#parts.maximumQueued,
      grantPrefix: `${entryId}/${pool}/${epoch}/${Date.now()}`,
      targets: () => view.serving(pool),
      slotsPerTarget: () => this.#parts.slotsPerTarget(),
      quota: (team) => this.#parts.quota(team),
      withheld: (instanceId, ledger) => this.#withheld(instanceId, ledger),
      now: () => Date.now(),
      onGrant: ({ askId, entryId: requesterId }, grantId, { instanceId }) => {
        this.#parts.deliver(requesterId, { kind: "grant", pool, epoch, askId, grantId, instanceId });
      },
      onRefusal: ({ askId, entryId: requesterId }, refusal) => {
        this.#parts.deliver(requesterId, { kind: "refusal", pool, askId, ...refusal });
      },
    });
  }
}
