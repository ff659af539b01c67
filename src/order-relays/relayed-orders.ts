/**
 * Sends an owner's orders through other entries, so that the calls of a large pool are spread over many processes
 * while one decides. An order that certainly was not sent to its target takes another path; an order whose relay is
 * lost may have been carried out.
 * @packageDocumentation
 */
import { randomInt } from "node:crypto";
import type { PeerFailure, PeerNetwork } from "../membership/index.js";
import type { OrderHeader, OrderOutcome, RenewOrder, StartOrder, TargetOrders } from "../task-runs/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { createFrameBatcher } from "./frame-batcher.js";
import { carryOutCall, outcomesCall, type RelayedOrder, type RelayedOutcome } from "./messages.js";
import { decodeOutcome, decodeRenewal, type RelayResult, type RenewalOutcome } from "./outcome-rows.js";
import type { RelayDirectory } from "./relay-directory.js";

/** Dependencies of relayed orders. */
export interface RelayedOrdersOptions {
  readonly peers: PeerNetwork;
  /** Sends orders to targets from this process. */
  readonly local: TargetOrders;
  readonly relays: RelayDirectory;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** How long orders wait for others to share a frame. */
const batchMilliseconds = 4;
/** Timeout of the call that hands orders to a relay, which replies before it carries them out. */
const arrivalTimeoutMilliseconds = 500;
/** Added to an order's timeout for the hop through the relay. */
const relayMilliseconds = 150;

/** Order identifiers start below this, so that they remain exact integers as they increase. */
const firstIdLimit = 2 ** 47;
/** Process identifiers are below this; large enough that two processes of an entry never share one. */
const senderProcessLimit = 2 ** 47;

/** Fields of one kind of order that are neither in its header nor added by the encoding. */
type Body<Kind extends RelayedOrder["kind"]> = Omit<
  Extract<RelayedOrder, { kind: Kind }>,
  "id" | "kind" | "spec" | "targetId" | "address" | "startedAtUnix" | "fencingToken" | "timeoutMilliseconds"
>;
/** The body of any kind of order. */
type OrderBody = {
  [Kind in RelayedOrder["kind"]]: Body<Kind> & { readonly kind: Kind };
}[RelayedOrder["kind"]];

/** An order that waits for its outcome. */
interface PendingOrder {
  readonly relay: string;
  readonly order: OrderBody & { readonly id: number };
  readonly header: OrderHeader;
  readonly spec: string;
  /** Ends the wait; `not-sent` when the order certainly was not sent to its target. */
  readonly settle: (outcome: RelayResult | "not-sent") => void;
}

/** No relay accepted the order, and it certainly was not sent: this process sends it within the time left. */
interface SendDirectly {
  readonly kind: "own-way";
  readonly timeoutMilliseconds: number;
}

/** Sends orders through relays, and from this process where there are none. */
export class RelayedTargetOrders implements TargetOrders {
  readonly #options: RelayedOrdersOptions;
  readonly #pending = new Map<number, PendingOrder>();
  readonly #batcher = createFrameBatcher<PendingOrder>(batchMilliseconds, (relay, orders) => {
    void this.#sendFrame(relay, orders);
  });
  /** Starts at a random number, so that outcomes for an earlier process of this entry match no order of this one. */
  #nextId = randomInt(firstIdLimit);
  readonly #senderProcess = randomInt(senderProcessLimit);

  /**
   * Creates the sender and registers the handler for outcomes from relays.
   * @param options - the peers, the relays and the sender of this process
   */
  constructor(options: RelayedOrdersOptions) {
    this.#options = options;
    options.peers.answer(outcomesCall, ({ outcomes }) => {
      for (const outcome of outcomes) this.#handleOutcome(outcome);
      return {};
    });
    options.peers.events.on("peerState", ({ peerId, state }) => {
      if (state === "gone" || state === "unreachable") this.#failOrdersOf(peerId, state);
    });
  }

  async start(order: StartOrder): Promise<OrderOutcome> {
    const { task, run, leaseUntilMilliseconds, checkpoint, ticket, spec } = order;
    const optional = ticket === undefined ? {} : { ticket };
    const body = { kind: "start" as const, task, run, leaseUntilMilliseconds, checkpoint, ...optional };
    const outcome = await this.#relay(order, body, spec);
    if (outcome.kind !== "own-way") return decodeOutcome(outcome);
    return this.#options.local.start({ ...order, timeoutMilliseconds: outcome.timeoutMilliseconds });
  }

  async stop(order: OrderHeader & { readonly task: string; readonly run: number }): Promise<OrderOutcome> {
    const { task, run } = order;
    const outcome = await this.#relay(order, { kind: "stop", task, run });
    if (outcome.kind !== "own-way") return decodeOutcome(outcome);
    return this.#options.local.stop({ ...order, timeoutMilliseconds: outcome.timeoutMilliseconds });
  }

  async pace(
    order: OrderHeader & { readonly task: string; readonly run: number; readonly percent: number },
  ): Promise<OrderOutcome> {
    const { task, run, percent } = order;
    const outcome = await this.#relay(order, { kind: "pace", task, run, percent });
    if (outcome.kind !== "own-way") return decodeOutcome(outcome);
    return this.#options.local.pace({ ...order, timeoutMilliseconds: outcome.timeoutMilliseconds });
  }

  async renew(order: RenewOrder): Promise<RenewalOutcome> {
    const { acknowledgedSequence, leaseUntilMilliseconds, waitMilliseconds } = order;
    const optional = leaseUntilMilliseconds === undefined ? {} : { leaseUntilMilliseconds };
    const body = { kind: "renew" as const, acknowledgedSequence, waitMilliseconds, ...optional };
    const outcome = await this.#relay(order, body);
    if (outcome.kind !== "own-way") return decodeRenewal(outcome);
    return this.#options.local.renew({ ...order, timeoutMilliseconds: outcome.timeoutMilliseconds });
  }

  /** Sends an order through the first relay that accepts it; otherwise returns the time left to send it from here. */
  async #relay(header: OrderHeader, body: OrderBody, spec = ""): Promise<RelayResult | SendDirectly> {
    const { relays, metrics } = this.#options;
    const endsAt = performance.now() + header.timeoutMilliseconds;
    let left = header.timeoutMilliseconds;
    for (const relay of relays.relaysFor(header.target).slice(0, relayAttempts)) {
      const outcome = await this.#sendThrough(relay, { ...header, timeoutMilliseconds: left }, body, spec);
      const result = outcome === "not-sent" ? outcome : outcome.kind;
      metrics.count("orders_through_relays_total", { order: body.kind, result });
      if (outcome !== "not-sent") {
        if (isUnanswered(outcome)) relays.rerouteTarget(header.target.targetId, relay);
        return outcome;
      }
      left = endsAt - performance.now();
      // The time may have passed during a pause of this process, in which the owner may have lost its pool.
      if (left <= 0) return { id: 0, kind: "refused", reason: "not-connected" };
    }
    return { kind: "own-way", timeoutMilliseconds: left };
  }

  async #sendThrough(
    relay: string,
    header: OrderHeader,
    body: OrderBody,
    spec: string,
  ): Promise<RelayResult | "not-sent"> {
    const id = this.#nextId;
    this.#nextId += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        // After the event loop was blocked, timers run before sockets are read: an outcome that has already arrived is
        // read before the order counts as unanswered.
        setImmediate(() => {
          settle({ id, kind: "unknown", message: "the relay returned no outcome in time" });
        });
      }, header.timeoutMilliseconds + relayMilliseconds);
      const settle = (outcome: RelayResult | "not-sent"): void => {
        clearTimeout(timer);
        this.#pending.delete(id);
        resolve(outcome);
      };
      const pending = { relay, order: { ...body, id }, header, spec, settle };
      this.#pending.set(id, pending);
      this.#batcher.add(relay, pending);
    });
  }

  async #sendFrame(relay: string, pending: readonly PendingOrder[]): Promise<void> {
    const specs = [...new Set(pending.map(({ spec }) => spec))];
    const orders = pending.map((each) => encodeOrder(each, specs.indexOf(each.spec)));
    const frame = { senderProcess: this.#senderProcess, sentAt: performance.now(), specs, orders };
    const reply = await this.#options.peers.call(relay, carryOutCall, frame, arrivalTimeoutMilliseconds);
    reply.ifLeft((failure) => {
      this.#handleFailure(relay, pending, failure);
    });
  }

  #handleOutcome(outcome: RelayedOutcome): void {
    const pending = this.#pending.get(outcome.id);
    if (pending === undefined) return;
    if (outcome.kind !== "declined") {
      pending.settle(outcome);
      return;
    }
    this.#options.relays.avoid(pending.relay);
    pending.settle("not-sent");
  }

  #handleFailure(relay: string, pending: readonly PendingOrder[], { kind, message }: PeerFailure): void {
    const { log, relays } = this.#options;
    const waiting = pending.filter(({ order }) => this.#pending.has(order.id));
    log.write("warn", "relay-failed", { peer: relay, reason: kind, orders: waiting.length });
    relays.avoid(relay);
    for (const { order, settle } of waiting) {
      settle(kind === "not-connected" ? "not-sent" : { id: order.id, kind: "unknown", message });
    }
  }

  /** Settles the orders of a relay whose link is down as unknown, since their outcomes will not arrive. */
  #failOrdersOf(relay: string, state: string): void {
    const lost = [...this.#pending.values()].filter((pending) => pending.relay === relay);
    if (lost.length === 0) return;
    this.#options.log.write("warn", "relay-lost", { peer: relay, state, orders: lost.length });
    this.#options.relays.avoid(relay);
    const message = `the link to the relay is ${state}`;
    for (const { order, settle } of lost) settle({ id: order.id, kind: "unknown", message });
  }
}

/** Whether the relay got no answer from the target, which another path may reach. */
function isUnanswered(outcome: RelayResult): boolean {
  return outcome.kind === "unknown" || (outcome.kind === "refused" && outcome.reason === "not-connected");
}

/** After this many relays that did not accept an order, this process sends it itself. */
const relayAttempts = 2;

function encodeOrder({ order, header }: PendingOrder, specIndex: number): RelayedOrder {
  const { targetId, address, startedAtUnix } = header.target;
  const { fencingToken, timeoutMilliseconds } = header;
  const common = { targetId, address, startedAtUnix, fencingToken, timeoutMilliseconds };
  return order.kind === "start" ? { ...order, ...common, spec: specIndex } : { ...order, ...common };
}
