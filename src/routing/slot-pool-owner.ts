/**
 * This entry's ownership of one pool. A takeover first collects promises from the other entries, then grants slots. The
 * slots that the entries reported stay in use, and the shares of entries without a promise are reserved for them.
 * @packageDocumentation
 */
import type { RunTimes } from "../admission/index.js";
import type { PlacementView } from "../pools/index.js";
import type { Random } from "../shared/index.js";
import type { OwnerView } from "./owner-view.js";
import type { ReportReply, SlotMessage } from "./messages.js";
import { SlotGranter } from "./slot-granter.js";
import type { SlotLedger } from "./slot-ledger.js";

/** Dependencies of a {@link SlotPoolOwner}. */
export interface SlotPoolOwnerParts {
  readonly pool: string;
  readonly entryId: string;
  readonly view: PlacementView;
  readonly ownerView: OwnerView;
  readonly random: Random;
  readonly runTimes: RunTimes;
  /** Maximum number of queued requests. */
  readonly maximumQueued: number;
  slotsPerTarget(): number;
  /** Share of the pool's slots, from 0 to 1, that a team may use while other teams wait. */
  quota(team: string): number;
  /** Makes this entry's own promise to itself. */
  promiseToSelf(epoch: number): ReportReply;
  /** Requests another entry's promise; resolves to undefined when it did not reply. */
  requestReport(entryId: string, epoch: number): Promise<ReportReply | undefined>;
  /** Sends a message to an entry, which may be this one. */
  deliver(entryId: string, message: SlotMessage): void;
  /** Whether all messages to an entry were acknowledged. */
  isOutboxEmpty(entryId: string): boolean;
  /** Whether the last tick was recent. If not, the process was paused and other entries may have taken over. */
  hasRecentTick(): boolean;
  /** Called with the promised epoch when this owner's epoch was denied. */
  onOutdated(epoch: number): void;
}

/** Parameters of a takeover. */
export interface SlotPoolOwnerStart {
  /** Higher than every epoch of the pool that this entry knows. */
  readonly epoch: number;
  /** Time at which this entry first tried to take over the pool, in milliseconds since the epoch. */
  readonly startedAt: number;
  /** Whether the owner serves only this entry and from its own share, because no regular owner accepts its requests. */
  readonly isIsolated: boolean;
}

/** Interval at which all reachable entries report their slots again, which frees slots whose release was lost. */
const reconcileMilliseconds = 2_000;
/** Time after which a takeover proceeds without the promises of reachable entries. */
const promiseWaitMilliseconds = 3_000;

/** Time for which an unreachable entry's slots beyond its share count as in use. Its share stays reserved after that. */
const unreachableHoldMilliseconds = 5_000;

/** Owns one pool: takes it over, then grants its slots to all entries. */
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
   * Creates an owner that queues requests and grants nothing until the takeover is complete.
   * @param parts - dependencies
   * @param start - parameters of the takeover
   */
  constructor(parts: SlotPoolOwnerParts, start: SlotPoolOwnerStart) {
    this.start = start;
    this.#parts = parts;
    this.#granter = this.#createGranter();
  }

  /**
   * Tells whether the owner grants slots.
   * @returns true from the end of the takeover until {@link close}
   */
  isActive(): boolean {
    return this.#isActivated && !this.#isClosed;
  }

  /** Stops granting permanently. The entries of queued requests receive `not-home` and send them to the next owner. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    for (const { entryId, askId } of this.#granter.stop()) {
      this.#parts.deliver(entryId, { kind: "not-home", pool: this.#parts.pool, askId });
    }
  }

  /**
   * Handles a message of a requesting entry.
   * @param fromId - the sender
   * @param message - a request, a cancellation or a release
   */
  receive(fromId: string, message: Extract<SlotMessage, { kind: "ask" | "cancel" | "release" }>): void {
    if (message.kind === "cancel") this.#granter.cancel(message.askId);
    else if (message.kind === "release") this.#granter.release(message.grantId, message);
    else this.#submit(fromId, message);
  }

  /** Continues the takeover, frees the slots of lost entries and grants free slots. Called at every tick. */
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

  /** Frees the slots of ended entries immediately and those of unreachable entries after the hold time. */
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

  /** Requests promises: from entries without one at each call, and from all reachable entries at every reconciliation. */
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
    // A release may arrive before an older report that still lists its slot, so only the first report adds slots.
    if (!this.#promisedEntries.has(entryId)) this.#addReportedSlots(entryId, reply);
    this.#promisedEntries.add(entryId);
    if (wasDelivered) this.#releaseUnreported(entryId, reply, requestSentAt);
  }

  #addReportedSlots(entryId: string, { slots }: Extract<ReportReply, { kind: "promised" }>): void {
    const grantedAt = Date.now();
    this.#granter.addReportedSlots(slots.map((slot) => ({ ...slot, entryId, grantedAt })));
  }

  /** Frees slots whose grant was delivered but that the entry does not report as in use: their release was lost. */
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

  /** Counts the slots of a target that are reserved for entries which may use them without a grant of this owner. */
  #withheldSlots(instanceId: string, ledger: SlotLedger): number {
    const { ownerView } = this.#parts;
    const slots = this.#parts.slotsPerTarget();
    if (!this.#parts.hasRecentTick()) return slots;
    const others = ownerView.members().filter((entryId) => !this.#promisedEntries.has(entryId));
    // While another owner may exist, an ended entry's share stays reserved, so that two owners do not both grant it.
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
