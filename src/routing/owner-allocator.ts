/**
 * Allocator with one owner entry for each pool, which accounts for the slots of all entries.
 * docs/design/routing.md describes the rules for an owner that crashes, is paused or is partitioned.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import { createRunTimes, type RunTimes } from "../admission/index.js";
import type { PeerNetwork } from "../membership/index.js";
import type { PlacementView } from "../pools/index.js";
import type { Random } from "../shared/index.js";
import { createOwnerView, type OwnerView } from "./owner-view.js";
import { exchangeSlots, reportSlots, type ReportReply, type SlotMessage } from "./messages.js";
import { createOutbox, type Outbox } from "./outbox.js";
import { SlotPoolOwner } from "./slot-pool-owner.js";
import type { SlotAllocator, SlotRequest, SlotGrant, SlotRefusal, SlotUse } from "./slot-allocator.js";
import { SlotRequester } from "./slot-requester.js";

/** Dependencies and limits of the allocator. */
export interface OwnerAllocatorOptions {
  readonly entryId: string;
  /** This entry's availability zone. */
  readonly zone: string;
  readonly view: PlacementView;
  readonly peers: Pick<PeerNetwork, "answer" | "call" | "peers">;
  readonly random: Random;
  /** Maximum number of queued requests for each pool. */
  readonly maximumQueued: number;
  /** Number of slots of each target of a pool. */
  slotsPerTarget(pool: string): number;
  /** Share of a pool's slots, from 0 to 1, that a team may use while other teams wait; 1 without a quota. */
  quota(team: string): number;
  /** Configured run time in milliseconds of an operation with the key `service/operation`. */
  declaredMilliseconds(operationKey: string): number;
}

const tickMilliseconds = 100;
/** Gap between two ticks after which the process counts as paused: other entries may have taken over its pools. */
const pauseThresholdMilliseconds = 700;
/** Timeout of calls that deliver messages or request reports. */
const exchangeTimeoutMilliseconds = 500;
/** Time without an owner after which an entry grants itself slots from its own share. */
const isolationWaitMilliseconds = 3_000;

/** Grants slots through pool owners, so that all entries together do not exceed a target's slots. */
export class OwnerAllocator implements SlotAllocator {
  readonly #options: OwnerAllocatorOptions;
  readonly #ownerView: OwnerView;
  readonly #runTimes: RunTimes;
  readonly #slotRequester: SlotRequester;
  readonly #owners = new Map<string, SlotPoolOwner>();
  readonly #outboxes = new Map<string, Outbox<SlotMessage>>();
  /** Highest known epoch by pool. */
  readonly #epochs = new Map<string, number>();
  /** Time since which no owner accepts this entry's requests, by pool, in milliseconds since the epoch. */
  readonly #ownerlessSince = new Map<string, number>();
  readonly #timer: NodeJS.Timeout;
  #tickedAt = Date.now();

  /**
   * Creates an allocator, registers its peer calls and starts its timer.
   * @param options - dependencies and limits
   */
  constructor(options: OwnerAllocatorOptions) {
    const { entryId, zone, view, peers } = options;
    this.#options = options;
    this.#ownerView = createOwnerView(entryId, peers);
    this.#runTimes = createRunTimes((key) => options.declaredMilliseconds(key));
    this.#slotRequester = new SlotRequester({
      entryId,
      zone,
      view,
      runTimes: this.#runTimes,
      ownerOf: (pool) => this.#ownerOf(pool),
      deliver: (toId, message) => {
        this.#deliver(toId, message);
      },
    });
    peers.answer(exchangeSlots, ({ messages }, fromId) => {
      this.#ownerView.noteContact(fromId);
      for (const message of messages) this.#receive(fromId, message);
      return {};
    });
    peers.answer(reportSlots, ({ pool, epoch }, fromId) => this.#onReport(pool, epoch, fromId));
    this.#timer = setInterval(() => {
      this.#tick();
    }, tickMilliseconds);
  }

  async acquire(slotRequest: SlotRequest, signal: AbortSignal): Promise<Either<SlotRefusal, SlotGrant>> {
    return this.#slotRequester.acquire(slotRequest, signal);
  }

  release(grant: SlotGrant, use: SlotUse): void {
    this.#slotRequester.release(grant, use);
  }

  inProgress(instanceId: string): number {
    return this.#slotRequester.inProgress(instanceId);
  }

  close(): void {
    clearInterval(this.#timer);
    this.#slotRequester.close();
    for (const outbox of this.#outboxes.values()) outbox.close();
  }

  #tick(): void {
    const wasPaused = !this.#hasRecentTick();
    this.#tickedAt = Date.now();
    this.#ownerView.refresh();
    if (wasPaused) for (const pool of [...this.#owners.keys()]) this.#closeOwner(pool);
    for (const entryId of [...this.#outboxes.keys()]) {
      if (this.#ownerView.isGone(entryId)) this.#closeOutbox(entryId);
    }
    const pools = new Set(this.#options.view.all().map(({ pool }) => pool));
    for (const pool of pools) this.#findOrOpenOwner(pool);
    for (const owner of [...this.#owners.values()]) owner.step();
    this.#slotRequester.resendToNewOwners();
  }

  #hasRecentTick(): boolean {
    return Date.now() - this.#tickedAt < pauseThresholdMilliseconds;
  }

  /** Whether no owner has accepted this entry's requests for so long that it serves itself from its own share. */
  #isIsolated(pool: string): boolean {
    const since = this.#ownerlessSince.get(pool);
    return since !== undefined && Date.now() - since >= isolationWaitMilliseconds;
  }

  #ownerOf(pool: string): string {
    return this.#isIsolated(pool) ? this.#options.entryId : this.#ownerView.ownerOf(pool);
  }

  /**
   * Returns this entry's owner of a pool, opened if needed; undefined when another entry owns the pool. An isolated owner
   * is replaced as soon as this entry is the regular owner.
   */
  #findOrOpenOwner(pool: string): SlotPoolOwner | undefined {
    const { entryId } = this.#options;
    const existing = this.#owners.get(pool);
    const isNowRegularOwner =
      existing?.start.isIsolated === true && this.#ownerView.ownerOf(pool) === entryId;
    if (existing !== undefined && !isNowRegularOwner) return existing;
    if (isNowRegularOwner) {
      this.#ownerlessSince.delete(pool);
      this.#closeOwner(pool);
    }
    if (this.#ownerOf(pool) !== entryId) return undefined;
    return this.#openOwner(pool, Date.now());
  }

  #openOwner(pool: string, startedAt: number): SlotPoolOwner {
    const { view, random, maximumQueued, entryId, peers } = this.#options;
    const knownEpoch = Math.max(this.#epochs.get(pool) ?? 0, this.#slotRequester.promisedEpoch(pool));
    const epoch = knownEpoch + 1;
    this.#epochs.set(pool, epoch);
    const parts = {
      pool,
      entryId,
      view,
      random,
      maximumQueued,
      ownerView: this.#ownerView,
      runTimes: this.#runTimes,
      slotsPerTarget: () => this.#options.slotsPerTarget(pool),
      quota: (team: string) => this.#options.quota(team),
      promiseToSelf: (ownEpoch: number) => this.#slotRequester.promiseEpoch(pool, entryId, ownEpoch),
      requestReport: async (peerId: string, own: number): Promise<ReportReply | undefined> => {
        const request = { pool, epoch: own };
        const reply = await peers.call(peerId, reportSlots, request, exchangeTimeoutMilliseconds);
        return reply.caseOf<ReportReply | undefined>({ Left: () => undefined, Right: (value) => value });
      },
      deliver: (toId: string, message: SlotMessage) => {
        this.#deliver(toId, message);
      },
      isOutboxEmpty: (peerId: string) => this.#outboxes.get(peerId)?.isIdle() ?? true,
      hasRecentTick: () => this.#hasRecentTick(),
      onOutdated: (higherEpoch: number) => {
        this.#onOutdated(pool, higherEpoch, startedAt);
      },
    };
    const owner = new SlotPoolOwner(parts, { epoch, startedAt, isIsolated: this.#isIsolated(pool) });
    this.#owners.set(pool, owner);
    return owner;
  }

  /** Closes an owner whose epoch was denied and opens a new one with a higher epoch if this entry still owns the pool. */
  #onOutdated(pool: string, higher: number, startedAt: number): void {
    this.#epochs.set(pool, Math.max(higher, this.#epochs.get(pool) ?? 0));
    const wasActive = this.#owners.get(pool)?.isActive() === true;
    this.#closeOwner(pool);
    if (this.#ownerOf(pool) === this.#options.entryId) {
      this.#openOwner(pool, wasActive ? Date.now() : startedAt);
    }
  }

  #closeOwner(pool: string): void {
    const owner = this.#owners.get(pool);
    this.#owners.delete(pool);
    owner?.close();
  }

  #onReport(pool: string, epoch: number, fromId: string): ReportReply {
    this.#ownerView.noteContact(fromId);
    this.#ownerView.refresh();
    const promised = this.#slotRequester.promisedEpoch(pool);
    if (this.#ownerView.ownerOf(pool) !== fromId) {
      return { kind: "denied", epoch: promised, seesOtherHome: true };
    }
    const reply = this.#slotRequester.promiseEpoch(pool, fromId, epoch);
    if (reply.kind === "promised") {
      this.#epochs.set(pool, Math.max(epoch, this.#epochs.get(pool) ?? 0));
      this.#ownerlessSince.delete(pool);
      this.#closeOwner(pool);
    }
    return reply;
  }

  #deliver(toId: string, message: SlotMessage): void {
    if (toId === this.#options.entryId) {
      this.#receive(toId, message);
      return;
    }
    let outbox = this.#outboxes.get(toId);
    if (outbox === undefined) {
      outbox = createOutbox<SlotMessage>(async (messages) => {
        const request = { messages: [...messages] };
        const { peers } = this.#options;
        return (await peers.call(toId, exchangeSlots, request, exchangeTimeoutMilliseconds)).isRight();
      });
      this.#outboxes.set(toId, outbox);
    }
    outbox.push(message);
  }

  #closeOutbox(entryId: string): void {
    this.#outboxes.get(entryId)?.close();
    this.#outboxes.delete(entryId);
  }

  #receive(fromId: string, message: SlotMessage): void {
    switch (message.kind) {
      case "grant":
        this.#noteOwner(fromId, message.pool);
        this.#slotRequester.onGrant(fromId, message);
        break;
      case "refusal":
        this.#noteOwner(fromId, message.pool);
        this.#slotRequester.onRefusal(message);
        break;
      case "not-home":
        if (fromId !== this.#options.entryId) this.#noteOwnerless(message.pool);
        this.#slotRequester.onNotOwner(message.askId);
        break;
      default:
        this.#receiveAsOwner(fromId, message);
    }
  }

  #receiveAsOwner(
    fromId: string,
    message: Extract<SlotMessage, { kind: "ask" | "cancel" | "release" }>,
  ): void {
    const owner =
      message.kind === "ask" ? this.#findOrOpenOwner(message.pool) : this.#owners.get(message.pool);
    const isServed = owner?.start.isIsolated !== true || fromId === this.#options.entryId;
    if (owner !== undefined && isServed) owner.receive(fromId, message);
    else if (message.kind === "ask") {
      this.#deliver(fromId, { kind: "not-home", pool: message.pool, askId: message.askId });
    }
  }

  #noteOwner(fromId: string, pool: string): void {
    const isIsolatedOwner =
      fromId === this.#options.entryId && this.#owners.get(pool)?.start.isIsolated === true;
    if (!isIsolatedOwner) this.#ownerlessSince.delete(pool);
  }

  #noteOwnerless(pool: string): void {
    if (!this.#ownerlessSince.has(pool)) this.#ownerlessSince.set(pool, Date.now());
  }
}
