/**
 * Restarts of stand-in targets after an outage, in which the orders to a target wait for its new process.
 * @packageDocumentation
 */
import { Left } from "purify-ts";
import { delay } from "../../shared/index.js";
import type { OrderHeader, OrderOutcome, TargetOrders } from "../../task-runs/index.js";
import type { JobTarget } from "./job-target.js";

/** A restart of a target after an outage. */
export interface DelayedRestart {
  readonly outageMilliseconds: number;
  /** For how long the registration names the former process after the outage. */
  readonly heartbeatMilliseconds: number;
}

/** The outages of a fleet. */
export class Outages {
  readonly #targets: ReadonlyMap<string, JobTarget>;
  readonly #ends = new Map<string, Promise<void>>();

  /**
   * Creates a fleet's outages, of which there are none at first.
   * @param targets - the fleet's targets
   */
  constructor(targets: ReadonlyMap<string, JobTarget>) {
    this.#targets = targets;
  }

  /**
   * Crashes a target and restarts it later; does nothing for a target in an outage.
   * @param targetId - the target
   * @param restart - duration of the outage and of the wait for its registration
   */
  begin(targetId: string, { outageMilliseconds, heartbeatMilliseconds }: DelayedRestart): void {
    const target = this.#targets.get(targetId);
    if (target === undefined || this.#ends.has(targetId)) return;
    target.crash();
    const end = delay(outageMilliseconds).then(() => {
      target.restart(heartbeatMilliseconds);
      this.#ends.delete(targetId);
    });
    this.#ends.set(targetId, end);
  }

  /**
   * Holds an order until the outage of its target has ended, and lets the new process carry it out.
   * @param order - the order
   * @param lost - the outcome of an order without an answer
   * @param carryOut - carries the order out
   * @returns the outcome as the sender sees it; undefined if the target is in no outage
   */
  hold<Outcome>(
    { target: { targetId }, timeoutMilliseconds }: OrderHeader,
    lost: Outcome,
    carryOut: (target: JobTarget) => Outcome,
  ): Promise<Outcome> | undefined {
    const target = this.#targets.get(targetId);
    const end = this.#ends.get(targetId);
    if (target === undefined || end === undefined) return undefined;
    const answered = end.then(() => {
      const outcome = carryOut(target);
      return target.isSilent || target.losesAnswers ? lost : outcome;
    });
    return Promise.race([answered, delay(timeoutMilliseconds).then(() => lost)]);
  }
}

/**
 * Lets orders to targets in an outage wait.
 * @param outages - the outages
 * @param orders - sends the orders to all other targets
 * @returns the orders
 */
export function holdInOutages(outages: Outages, orders: TargetOrders): TargetOrders {
  const lost = { kind: "unknown", message: "no answer in time" } as const;
  return {
    start: async (order) =>
      outages.hold<OrderOutcome>(order, lost, (target) => target.start(order)) ?? orders.start(order),
    stop: async (order) =>
      outages.hold<OrderOutcome>(order, lost, (target) => target.stop(order)) ?? orders.stop(order),
    pace: async (order) => orders.pace(order),
    renew: async (order) =>
      outages.hold<Awaited<ReturnType<TargetOrders["renew"]>>>(order, Left(lost), (target) =>
        target.renew(order),
      ) ?? orders.renew(order),
  };
}
