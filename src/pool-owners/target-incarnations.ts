/**
 * The processes of targets to which orders were sent, and for how long orders to a former process matter to its successor. An
 * order names a target's identifier and not the process, so that a process that has started under the same identifier may carry
 * out what was meant for the one before it.
 * @packageDocumentation
 */
import { slowestClockRate, type FormerOrders, type TargetIdentity } from "../task-runs/index.js";

/** An order without an answer is carried out within this time, or never. */
export const lateOrderMilliseconds = 15_000;
/** Orders to a former process are sent at most this long after its end, until it is noticed. */
const noticeMilliseconds = 3_000;
/** The clocks of entries and targets may differ by this much. */
const clockDifferenceMilliseconds = 5_000;

/** A process that this owner has sent orders to. */
interface KnownProcess {
  readonly startedAtUnix: number;
  readonly formerOrders: FormerOrders;
  /** When its session was closed, by the monotonic clock; undefined while it is open. */
  closedAt: number | undefined;
  /** Whether this process or one before it has reported to this owner, so that tasks may have been started. */
  wasUsed: boolean;
}

/** Settings of the processes that an owner keeps. */
export interface TargetIncarnationsOptions {
  /** The longest lease that a target grants. */
  readonly longestLeaseMilliseconds: number;
  /** How many times the pool has been taken, this time included. */
  readonly ownerCount: number;
}

/** The processes to which an owner has sent orders. */
export class TargetIncarnations {
  readonly #options: TargetIncarnationsOptions;
  readonly #known = new Map<string, KnownProcess>();
  readonly #takenAt = performance.now();

  /**
   * Creates an empty record, at the time of the takeover.
   * @param options - the longest lease and the number of owners
   */
  constructor(options: TargetIncarnationsOptions) {
    this.#options = options;
  }

  /**
   * Notes that orders are about to be sent to a process of a target.
   * @param target - the process
   * @returns the orders to former processes that it may carry out
   */
  open({ targetId, startedAtUnix }: TargetIdentity): FormerOrders {
    this.#forgetOld();
    const formerOrders = this.#findFormerOrders(targetId, startedAtUnix);
    const wasUsed = this.wasUsed(targetId);
    this.#known.set(targetId, { startedAtUnix, formerOrders, closedAt: undefined, wasUsed });
    return formerOrders;
  }

  /**
   * Notes that no further orders are sent to the process of a target.
   * @param targetId - the target
   * @param hasReported - whether the process has reported to this owner
   */
  close(targetId: string, hasReported: boolean): void {
    const known = this.#known.get(targetId);
    if (known === undefined) return;
    known.closedAt = performance.now();
    known.wasUsed ||= hasReported;
  }

  /**
   * Whether this owner may have started tasks on an earlier process of a target.
   * @param targetId - the target
   * @returns false when no earlier process has reported, or when its runs have certainly ended
   */
  wasUsed(targetId: string): boolean {
    return this.#known.get(targetId)?.wasUsed ?? false;
  }

  /**
   * Whether a process may hold the longest lease instead of a requested one, because it started so lately that it may have
   * carried out orders to its predecessor.
   * @param startedAtUnix - the start of the process, as the target tells it
   * @returns false for a process that is too old for such a lease
   */
  mayHoldLongestLease(startedAtUnix: number): boolean {
    return Date.now() - startedAtUnix < this.#settleMilliseconds() + clockDifferenceMilliseconds;
  }

  /** Time after which no lease from an order to a former process can last, counted from that process's end. */
  #settleMilliseconds(): number {
    return (
      noticeMilliseconds + lateOrderMilliseconds + this.#options.longestLeaseMilliseconds / slowestClockRate
    );
  }

  #findFormerOrders(targetId: string, startedAtUnix: number): FormerOrders {
    const known = this.#known.get(targetId);
    if (known !== undefined)
      return known.startedAtUnix === startedAtUnix ? known.formerOrders : "of-this-owner";
    const isNewOwner =
      this.#options.ownerCount > 1 && performance.now() - this.#takenAt < this.#settleMilliseconds();
    return isNewOwner && this.mayHoldLongestLease(startedAtUnix) ? "of-earlier-owners" : "none";
  }

  #forgetOld(): void {
    const oldest = performance.now() - this.#settleMilliseconds();
    for (const [targetId, { closedAt }] of this.#known)
      if (closedAt !== undefined && closedAt < oldest) this.#known.delete(targetId);
  }
}
