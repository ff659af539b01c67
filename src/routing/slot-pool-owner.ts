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
  promiseToSelf(epoch: number): ReportReply;
  /** Asks another entry for its promise; undefined when it did not reply. */
  requestReport(entryId: string, epoch: number): Promise<ReportReply | undefined>;
  deliver(entryId: string, message: SlotMessage): void;
  /** Whether all messages to an entry arrived. */
  isOutboxEmpty(entryId: string): boolean;
  /** Whether this process ran without a long pause until now. */
  hasRecentTick(): boolean;
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
  readonly isIsolated: boolean;
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
  readonly #granter: SlotGranter;
  readonly #promisedEntries = new Set<string>();
  readonly #unreachableSince = new Map<string, number>();
  #isActivated = false;
  #isClosed = false;
  #isCollecting = false;
  #reconciledAt = Date.now();

  /**
   * Creates an owner that queues asks and does not grant yet.
   * @param parts - what it works with
   * @param start - how it starts
   */
  constructor(parts: SlotPoolOwnerParts, start: SlotPoolOwnerStart) {
    this.start = start;
    this.#parts = parts;
    this.#granter = this.#createGranter();
  }

  /**
   * Tells whether the owner grants.
   * @returns true once the pool was taken over
   */
  isActive(): boolean {
    return this.#isActivated && !this.#isClosed;
  }

  /** Stops granting for good; those who wait are told to ask anew. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    for (const { entryId, askId } of this.#granter.stop()) {
      this.#parts.deliver(entryId, { kind: "not-home", pool: this.#parts.pool, askId });
    }
  }

  /**
   * Takes a message of an entry that asks for slots.
   * @param fromId - the entry
   * @param message - a request, a cancellation or a release
   */
  receive(fromId: string, message: Extract<SlotMessage, { kind: "ask" | "cancel" | "release" }>): void {
    if (message.kind === "cancel") this.#granter.cancel(message.askId);
    else if (message.kind === "release") this.#granter.release(message.grantId, message);
    else this.#submit(fromId, message);
  }

  /** Goes on with the take-over, follows the states of the entries and grants what became free. */
  step(): void {
    if (this.#isClosed) return;
    const { ownerView } = this.#parts;
    const reachable = new Set(ownerView.reachable());
    for (const entryId of this.#promisedEntries) {
      if (!reachable.has(entryId)) this.#promisedEntries.delete(entryId);
    }
    this.#releaseLost(reachable);
    if (!this.#isCollecting) void this.#collectPromises();
    if (this.isActive()) this.#granter.grantFreeSlots();
  }

  /** Frees the slots of ended entries at once, and those of unreachable ones after a while. */
  #releaseLost(reachable: ReadonlySet<string>): void {
    const { ownerView, entryId: self } = this.#parts;
    const now = Date.now();
    for (const entryId of this.#granter.ledger.entryIds()) {
      if (entryId === self || reachable.has(entryId)) {
        this.#unreachableSince.delete(entryId);
        continue;
      }
      const since = this.#unreachableSince.get(entryId) ?? now;
      this.#unreachableSince.set(entryId, since);
      const hasHoldExpired = now - since >= unreachableHoldMilliseconds;
      if (hasHoldExpired || ownerView.isGone(entryId)) this.#granter.releaseEntry(entryId);
    }
  }

  #submit(fromId: string, message: Extract<SlotMessage, { kind: "ask" }>): void {
    const arrivedAt = Date.now();
    const { askId, zone, team, urgency, operationKey, excludedInstances } = message;
    const deadlineAt = arrivedAt + message.remainingMilliseconds;
    const fields = { askId, zone, team, urgency, operationKey, excludedInstances };
    this.#granter.submit({ ...fields, entryId: fromId, arrivedAt, deadlineAt });
  }

  /** Collects promises: of all entries before the first grant, later of new ones, and of all again now and then. */
  async #collectPromises(): Promise<void> {
    const { ownerView } = this.#parts;
    const reachable = this.start.isIsolated ? [] : [...ownerView.reachable()];
    const isDue = Date.now() - this.#reconciledAt >= reconcileMilliseconds;
    if (isDue) this.#reconciledAt = Date.now();
    const queried = isDue ? reachable : reachable.filter((entryId) => !this.#promisedEntries.has(entryId));
    this.#isCollecting = true;
    await Promise.all(queried.map(async (entryId) => this.#collectPromiseFrom(entryId)));
    this.#isCollecting = false;
    if (!this.#isActivated && !this.#isClosed && this.#mayActivate()) this.#activate();
  }

  #mayActivate(): boolean {
    const { ownerView } = this.#parts;
    const hasWaited = Date.now() - this.start.startedAt >= promiseWaitMilliseconds;
    const isComplete = ownerView.reachable().every((entryId) => this.#promisedEntries.has(entryId));
    return ownerView.isSettled() && (hasWaited || (isComplete && !this.start.isIsolated));
  }

  #activate(): void {
    const reply = this.#parts.promiseToSelf(this.start.epoch);
    if (reply.kind === "denied") {
      this.#parts.onOutdated(reply.epoch);
      return;
    }
    this.#addReportedSlots(this.#parts.entryId, reply);
    this.#isActivated = true;
    this.#granter.activate();
  }

  async #collectPromiseFrom(entryId: string): Promise<void> {
    const requestSentAt = Date.now();
    const wasDelivered = this.#parts.isOutboxEmpty(entryId);
    const reply = await this.#parts.requestReport(entryId, this.start.epoch);
    if (reply === undefined || this.#isClosed) return;
    if (reply.kind === "denied") {
      this.#promisedEntries.delete(entryId);
      if (!reply.seesOtherHome) this.#parts.onOutdated(reply.epoch);
      return;
    }
    // A release may overtake the report that still names its slot, so that only the first report adds slots.
    if (!this.#promisedEntries.has(entryId)) this.#addReportedSlots(entryId, reply);
    this.#promisedEntries.add(entryId);
    if (wasDelivered) this.#releaseUnreported(entryId, reply, requestSentAt);
  }

  #addReportedSlots(entryId: string, { slots }: Extract<ReportReply, { kind: "promised" }>): void {
    const grantedAt = Date.now();
    this.#granter.addReportedSlots(slots.map((slot) => ({ ...slot, entryId, grantedAt })));
  }

  /** Frees slots whose grant arrived and that the entry does not use: their release was lost. */
  #releaseUnreported(
    entryId: string,
    { slots }: Extract<ReportReply, { kind: "promised" }>,
    requestSentAt: number,
  ): void {
    const reported = new Set(slots.map(({ grantId }) => grantId));
    for (const { grantId, grantedAt } of this.#granter.ledger.slotsOfEntry(entryId)) {
      if (grantedAt >= requestSentAt || reported.has(grantId)) continue;
      this.#granter.release(grantId, { verdict: "neutral", runMilliseconds: 0 });
    }
  }

  /** Counts the slots of a target that belong to entries which may use them without asking here. */
  #withheldSlots(instanceId: string, ledger: SlotLedger): number {
    const { ownerView } = this.#parts;
    const slots = this.#parts.slotsPerTarget();
    if (!this.#parts.hasRecentTick()) return slots;
    const others = ownerView.members().filter((entryId) => !this.#promisedEntries.has(entryId));
    // While another owner may exist, an ended entry's share is nobody's, so that two owners do not both take it.
    if (others.every((entryId) => ownerView.isGone(entryId))) return 0;
    return others.reduce((sum, entryId) => {
      const unusedShare =
        ownerView.share(entryId, instanceId, slots) - ledger.countOnInstance(instanceId, entryId);
      return sum + Math.max(0, unusedShare);
    }, 0);
  }

  #createGranter(): SlotGranter {
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
      withheldSlots: (instanceId, ledger) => this.#withheldSlots(instanceId, ledger),
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
