/**
 * Orders of one owner, which carry its fencing token. The token rises when the owner needs its targets to refuse the orders that
 * it has sent before.
 * @packageDocumentation
 */
import { Left, type Either } from "purify-ts";
import type {
  FailedOrder,
  OrderHeader,
  OrderOutcome,
  PaceOrder,
  RenewOrder,
  StartOrder,
  StopOrder,
  TargetOrders,
  TargetReport,
} from "./target-orders.js";

/** An order without the fencing token. */
export type Unfenced<Order extends OrderHeader> = Omit<Order, "fencingToken">;

/** Orders to targets that carry the token of their sender. */
export interface FencedOrders {
  /** Requests the start of a run. */
  start(order: Unfenced<StartOrder>): Promise<OrderOutcome>;
  /** Requests the stop of a run. */
  stop(order: Unfenced<StopOrder>): Promise<OrderOutcome>;
  /** Sets the pace of a run. */
  pace(order: Unfenced<PaceOrder>): Promise<OrderOutcome>;
  /** Renews the lease of a target's runs and lists them. */
  renew(order: Unfenced<RenewOrder>): Promise<Either<FailedOrder, TargetReport>>;
}

/** The orders of one owner. */
export class OwnerOrders implements FencedOrders {
  readonly #orders: TargetOrders;
  #fencingToken: number;

  /**
   * Creates the orders of an owner.
   * @param orders - sends the orders
   * @param fencingToken - the owner's first token, higher than those of all earlier owners
   */
  constructor(orders: TargetOrders, fencingToken: number) {
    this.#orders = orders;
    this.#fencingToken = fencingToken;
  }

  /** The token that orders carry now. */
  fencingToken(): number {
    return this.#fencingToken;
  }

  /**
   * Raises the token for all later orders.
   * @param fencingToken - a store revision from the time of this ownership, so that the next owner's token is higher
   */
  raiseToken(fencingToken: number): void {
    this.#fencingToken = Math.max(this.#fencingToken, fencingToken);
  }

  async start(order: Unfenced<StartOrder>): Promise<OrderOutcome> {
    const fencingToken = this.#fencingToken;
    return this.#explain(await this.#orders.start({ ...order, fencingToken }), fencingToken);
  }

  async stop(order: Unfenced<StopOrder>): Promise<OrderOutcome> {
    const fencingToken = this.#fencingToken;
    return this.#explain(await this.#orders.stop({ ...order, fencingToken }), fencingToken);
  }

  async pace(order: Unfenced<PaceOrder>): Promise<OrderOutcome> {
    const fencingToken = this.#fencingToken;
    return this.#explain(await this.#orders.pace({ ...order, fencingToken }), fencingToken);
  }

  async renew(order: Unfenced<RenewOrder>): Promise<Either<FailedOrder, TargetReport>> {
    const fencingToken = this.#fencingToken;
    const answer = await this.#orders.renew({ ...order, fencingToken });
    return answer.chainLeft((failure) => Left(this.#explain(failure, fencingToken)));
  }

  /** Tells a refusal over this owner's own higher token from one over another owner's. */
  #explain<Outcome extends OrderOutcome>(outcome: Outcome, sentToken: number): Outcome | FailedOrder {
    const isFenced = outcome.kind === "refused" && outcome.reason === "fenced";
    if (!isFenced || sentToken === this.#fencingToken) return outcome;
    return { ...outcome, kind: "refused", reason: "overtaken" };
  }
}
