/**
 * Queue of requests that wait for a slot. They are ordered by urgency, then by whether their team is within its quota,
 * then by deadline. A request that cannot start in time is refused at once.
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
  /** When the caller stops waiting, in milliseconds since the epoch. */
  readonly deadlineAt: number;
  /** When the request arrived, in milliseconds since the epoch. */
  readonly arrivedAt: number;
}

/** Dependencies and limits of an admission queue. */
export interface AdmissionQueueParts {
  readonly random: Random;
  readonly runTimes: RunTimes;
  /** Maximum number of waiting requests. */
  readonly maximumQueued: number;
  /** Whether a team holds its quota of slots or more. */
  isOverQuota(team: string): boolean;
}

/** Refusal of a request that was not admitted. */
export interface AdmissionRefusal {
  /** Time after which the caller should retry. */
  readonly retryAfterMilliseconds: number;
}

interface TeamQueues<Item extends QueuedRequest> {
  readonly urgent: DeadlineQueue<Item>;
  readonly normal: DeadlineQueue<Item>;
}

/** Quantile of the run time that is reserved for a run before its deadline. */
const runQuantile = 0.999;
/** The estimated wait is multiplied by this margin before it is compared with the deadline, since run times vary. */
const waitMargin = 1.15;
/** Weight of the latest wait in the moving ratio of actual to estimated waits. */
const ratioSmoothing = 0.02;
const maximumWaitRatio = 3;
/** Waits with a shorter estimate do not update the ratio, since they are no evidence of it. */
const minimumComparedMilliseconds = 50;
/**
 * Maximum share of the caller's timeout that is reserved for the run. If runs are long compared with the timeout, a
 * request may wait for the rest of the timeout.
 */
const maximumReservedShare = 0.5;
const maximumRetryAfterMilliseconds = 60_000;
const minimumRetryAfterMilliseconds = 50;
/** Width of the random range of a retry delay, as a share of the delay. */
const retryJitter = 0.25;

/** Requests that wait for a slot of one pool. */
export class AdmissionQueue<Item extends QueuedRequest> {
  readonly #parts: AdmissionQueueParts;
  readonly #teams = new Map<string, TeamQueues<Item>>();
  #size = 0;
  #expectedWork = 0;
  #nextRetryAt = 0;
  readonly #estimates = new Map<Item, number>();
  /** Moving ratio of actual to estimated waits, at least 1. Slots that change owner and urgent requests increase it. */
  #waitRatio = 1;

  /**
   * Creates an empty queue.
   * @param parts - dependencies and limits
   */
  constructor(parts: AdmissionQueueParts) {
    this.#parts = parts;
  }

  /**
   * Counts the waiting requests.
   * @returns the number of waiting requests
   */
  size(): number {
    return this.#size;
  }

  /**
   * Admits a request to the queue or refuses it.
   * @param item - the request
   * @param now - current time, in milliseconds since the epoch
   * @param slots - number of slots of the pool
   * @returns undefined when the request was admitted; a refusal when the queue is full or the request cannot start
   * in time
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
   * Removes a request that starts now, and updates the ratio of actual to estimated waits.
   * @param item - the request
   * @param now - current time, in milliseconds since the epoch
   */
  start(item: Item, now: number): void {
    const estimate = this.#estimates.get(item) ?? 0;
    this.remove(item);
    if (estimate < minimumComparedMilliseconds) return;
    const ratio = Math.min((now - item.arrivedAt) / estimate, maximumWaitRatio);
    this.#waitRatio = Math.max(1, this.#waitRatio + ratioSmoothing * (ratio - this.#waitRatio));
  }

  /**
   * Adds a request without checking whether it can start in time.
   * @param item - the request
   */
  add(item: Item): void {
    this.#queueOf(item).add(item);
    this.#size += 1;
    this.#expectedWork += this.#parts.runTimes.mean(item.operationKey);
  }

  /**
   * Removes a request, in constant time unless it is the last one of its bucket of deadlines.
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
   * Iterates over the requests in the order in which they are served.
   * @returns the requests; the queue must not be changed during the iteration
   */
  *inOrder(): Generator<Item> {
    for (const queues of this.#queuesByPriority()) {
      const firstItems = queues.flatMap((queue) => queue.first() ?? []);
      firstItems.sort(
        (left, right) => left.deadlineAt - right.deadlineAt || left.arrivedAt - right.arrivedAt,
      );
      yield* firstItems;
      for (const queue of queues) {
        for (const item of queue.items()) {
          if (item !== queue.first()) yield item;
        }
      }
    }
  }

  /**
   * Removes the requests that can no longer be answered in time.
   * @param now - current time, in milliseconds since the epoch
   * @returns the removed requests
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
   * Creates a refusal and chooses its retry delay. Retries are spread at the rate at which the pool starts requests.
   * @param now - current time, in milliseconds since the epoch
   * @param slots - number of slots of the pool
   * @returns the refusal
   */
  refusal(now: number, slots: number): AdmissionRefusal {
    const millisecondsPerStart = this.#meanMilliseconds() / Math.max(1, slots);
    const emptiesAt = now + this.#size * millisecondsPerStart;
    const retryAt = Math.max(emptiesAt, this.#nextRetryAt);
    this.#nextRetryAt = Math.min(retryAt + millisecondsPerStart, now + maximumRetryAfterMilliseconds);
    const jitter = 1 + retryJitter * (this.#parts.random.fraction() - 0.5);
    const wait = Math.min((retryAt - now) * jitter, maximumRetryAfterMilliseconds);
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
    const timeoutMilliseconds = item.deadlineAt - item.arrivedAt;
    const run = this.#parts.runTimes.quantile(item.operationKey, runQuantile);
    return item.deadlineAt - Math.min(run, timeoutMilliseconds * maximumReservedShare);
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

  #queuesByPriority(): DeadlineQueue<Item>[][] {
    const queuesWithinQuota: TeamQueues<Item>[] = [];
    const queuesOverQuota: TeamQueues<Item>[] = [];
    for (const [team, queues] of this.#teams) {
      (this.#parts.isOverQuota(team) ? queuesOverQuota : queuesWithinQuota).push(queues);
    }
    return [
      queuesWithinQuota.map(({ urgent }) => urgent),
      queuesOverQuota.map(({ urgent }) => urgent),
      queuesWithinQuota.map(({ normal }) => normal),
      queuesOverQuota.map(({ normal }) => normal),
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
