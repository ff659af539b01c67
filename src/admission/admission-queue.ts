/**
 * Asks that wait for a slot, in order of urgency, quota standing and deadline. A request that cannot start in time
 * is refused at once.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { Random } from "../shared/index.js";
import { DeadlineQueue } from "./deadline-queue.js";
import type { RunTimes } from "./run-times.js";

/** A request in the queue. */
export interface QueuedRequest {
  readonly team: string;
  readonly urgency: "urgent" | "normal";
  /** Key of the operation in the run times. */
  readonly operationKey: string;
  /** When the caller gives up, in milliseconds since the epoch. */
  readonly deadlineAt: number;
  /** When the request arrived, in milliseconds since the epoch. */
  readonly arrivedAt: number;
}

/** What an admission queue works with. */
export interface AdmissionQueueParts {
  readonly random: Random;
  readonly runTimes: RunTimes;
  /** Asks that may wait at most. */
  readonly maximumQueued: number;
  /** Whether a team holds its quota of slots or more. */
  isOverQuota(team: string): boolean;
}

/** A request was not admitted. */
export interface AdmissionRefusal {
  /** After how long the caller should ask again. */
  readonly retryAfterMilliseconds: number;
}

interface TeamQueues<Item extends QueuedRequest> {
  readonly urgent: DeadlineQueue<Item>;
  readonly normal: DeadlineQueue<Item>;
}

/** Share of runs that end within the time kept free for a run. */
const runQuantile = 0.999;
/** Multiple of the estimated wait that must fit before the deadline, since run times vary. */
const waitMargin = 1.15;
/** Weight of the latest wait in the learned ratio of real to estimated waits. */
const ratioSmoothing = 0.02;
const maximumWaitRatio = 3;
/** Shorter estimates say nothing of the ratio. */
const minimumComparedMilliseconds = 50;
/** A caller's patience is spent on waiting by at most this share when runs are long against it. */
const maximumWaitShare = 0.5;
const maximumRetryAfterMilliseconds = 60_000;
const minimumRetryAfterMilliseconds = 50;
/** Part of a retry delay that is random. */
const retryJitter = 0.25;

/** Asks that wait for a slot of one pool. */
export class AdmissionQueue<Item extends QueuedRequest> {
  readonly #parts: AdmissionQueueParts;
  readonly #teams = new Map<string, TeamQueues<Item>>();
  #size = 0;
  #expectedWork = 0;
  #nextReturnAt = 0;
  readonly #estimates = new Map<Item, number>();
  /** Real waits as a multiple of the estimated ones: what slots that change hands and urgent asks cost. */
  #waitRatio = 1;

  /**
   * Creates an empty queue.
   * @param parts - what it works with
   */
  constructor(parts: AdmissionQueueParts) {
    this.#parts = parts;
  }

  /**
   * Counts the waiting requests.
   * @returns how many asks wait
   */
  size(): number {
    return this.#size;
  }

  /**
   * Admits a request to the queue or refuses it.
   * @param item - the request
   * @param now - the present time in milliseconds since the epoch
   * @param slots - slots of the pool that the queue is served by
   * @returns nothing, or a refusal when it cannot start in time
   */
  offer(item: Item, now: number, slots: number): Either<AdmissionRefusal, undefined> {
    const estimate = this.#waitMilliseconds(item, slots);
    const startsAt = now + waitMargin * this.#waitRatio * estimate;
    if (this.#size >= this.#parts.maximumQueued || startsAt > this.#latestStart(item)) {
      return Left(this.refusal(now, slots));
    }
    this.add(item);
    this.#estimates.set(item, estimate);
    return Right(undefined);
  }

  /**
   * Takes out a request that starts, and learns from how long it waited.
   * @param item - the request
   * @param now - the present time in milliseconds since the epoch
   */
  start(item: Item, now: number): void {
    const estimate = this.#estimates.get(item) ?? 0;
    this.remove(item);
    if (estimate < minimumComparedMilliseconds) return;
    const ratio = Math.min((now - item.arrivedAt) / estimate, maximumWaitRatio);
    this.#waitRatio = Math.max(1, this.#waitRatio + ratioSmoothing * (ratio - this.#waitRatio));
  }

  /**
   * Adds a request without a check.
   * @param item - the request
   */
  add(item: Item): void {
    this.#queueOf(item).add(item);
    this.#size += 1;
    this.#expectedWork += this.#parts.runTimes.mean(item.operationKey);
  }

  /**
   * Removes a request in constant time.
   * @param item - the request
   * @returns whether it was waiting
   */
  remove(item: Item): boolean {
    if (!this.#queueOf(item).delete(item)) return false;
    this.#size -= 1;
    this.#estimates.delete(item);
    this.#expectedWork = this.#size === 0 ? 0 : this.#expectedWork * (this.#size / (this.#size + 1));
    const queues = this.#teams.get(item.team);
    if (queues?.urgent.size() === 0 && queues.normal.size() === 0) this.#teams.delete(item.team);
    return true;
  }

  /**
   * Walks through the requests in the order in which they are served.
   * @returns the requests; none may be added or removed during the walk
   */
  *inOrder(): Generator<Item> {
    for (const queues of this.#ranks()) {
      const heads = queues.flatMap((queue) => queue.first() ?? []);
      heads.sort((left, right) => left.deadlineAt - right.deadlineAt || left.arrivedAt - right.arrivedAt);
      yield* heads;
      for (const queue of queues) {
        for (const item of queue.items()) {
          if (item !== queue.first()) yield item;
        }
      }
    }
  }

  /**
   * Takes out the requests that can no longer be answered in time.
   * @param now - the present time in milliseconds since the epoch
   * @returns the requests taken out
   */
  takeExpired(now: number): Item[] {
    const expired: Item[] = [];
    for (const { urgent, normal } of [...this.#teams.values()]) {
      for (const queue of [urgent, normal]) {
        for (let item = queue.first(); item !== undefined; item = queue.first()) {
          if (this.#latestStart(item) >= now) break;
          this.remove(item);
          expired.push(item);
        }
      }
    }
    return expired;
  }

  /**
   * Says when a refused caller should come back. Returns are spread at the rate at which the pool takes work.
   * @param now - the present time in milliseconds since the epoch
   * @param slots - slots of the pool
   * @returns the refusal
   */
  refusal(now: number, slots: number): AdmissionRefusal {
    const perStart = this.#meanMilliseconds() / Math.max(1, slots);
    const emptiesAt = now + this.#size * perStart;
    const returnAt = Math.max(emptiesAt, this.#nextReturnAt);
    this.#nextReturnAt = Math.min(returnAt + perStart, now + maximumRetryAfterMilliseconds);
    const jitter = 1 + retryJitter * (this.#parts.random.fraction() - 0.5);
    const wait = Math.min((returnAt - now) * jitter, maximumRetryAfterMilliseconds);
    return { retryAfterMilliseconds: Math.round(Math.max(wait, minimumRetryAfterMilliseconds)) };
  }

  #meanMilliseconds(): number {
    return this.#size === 0 ? minimumRetryAfterMilliseconds : this.#expectedWork / this.#size;
  }

  #waitMilliseconds(item: Item, slots: number): number {
    const ahead = this.#countAhead(item);
    const mean = this.#size === 0 ? this.#parts.runTimes.mean(item.operationKey) : this.#meanMilliseconds();
    return ((ahead + 1) * mean) / Math.max(1, slots);
  }

  #latestStart(item: Item): number {
    const patience = item.deadlineAt - item.arrivedAt;
    const run = this.#parts.runTimes.quantile(item.operationKey, runQuantile);
    return item.deadlineAt - Math.min(run, patience * maximumWaitShare);
  }

  #countAhead(item: Item): number {
    const isOver = this.#parts.isOverQuota(item.team);
    let ahead = 0;
    for (const [team, { urgent, normal }] of this.#teams) {
      const isTeamOver = this.#parts.isOverQuota(team);
      const same = item.urgency === "urgent" ? urgent : normal;
      if (item.urgency === "normal") ahead += urgent.size();
      if (isTeamOver === isOver) ahead += same.countUpTo(item.deadlineAt);
      else if (isOver) ahead += same.size();
    }
    return ahead;
  }

  #ranks(): DeadlineQueue<Item>[][] {
    const within: TeamQueues<Item>[] = [];
    const over: TeamQueues<Item>[] = [];
    for (const [team, queues] of this.#teams) {
      (this.#parts.isOverQuota(team) ? over : within).push(queues);
    }
    return [
      within.map(({ urgent }) => urgent),
      over.map(({ urgent }) => urgent),
      within.map(({ normal }) => normal),
      over.map(({ normal }) => normal),
    ];
  }

  #queueOf(item: Item): DeadlineQueue<Item> {
    let queues = this.#teams.get(item.team);
    if (queues === undefined) {
      queues = { urgent: new DeadlineQueue<Item>(), normal: new DeadlineQueue<Item>() };
      this.#teams.set(item.team, queues);
    }
    return queues[item.urgency];
  }
}
