/**
 * Sends an owner's orders through other entries, so that the calls of a large pool are spread over many processes while one
 * decides. An order that surely did not leave takes another path; one whose relay is lost may have been carried out.
 * @packageDocumentation
 */
import { randomInt } from "node:crypto";
import type { PeerFailure, PeerNetwork } from "../membership/index.js";
import type { OrderHeader, OrderOutcome, RenewOrder, StartOrder, TargetOrders } from "../task-runs/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { createFrameGatherer } from "./frame-gatherer.js";
import { carryOutCall, outcomesCall, type RelayedOrder, type RelayedOutcome } from "./messages.js";
import { decodeOutcome, decodeRenewal, type CarriedOut, type RenewalOutcome } from "./outcome-rows.js";
import type { RelayDirectory } from "./relay-directory.js";

/** What relayed orders work with. */
export interface RelayedOrdersOptions {
  readonly peers: PeerNetwork;
  /** Sends orders from this process. */
  readonly local: TargetOrders;
  readonly relays: RelayDirectory;
  readonly log: Log;
  readonly metrics: Metrics;
}

const gatherMilliseconds = 4;
/** A relay says at once that orders have arrived. */
const arrivalTimeoutMilliseconds = 500;
/** What the path through a relay may add to an order's time. */
const relayMilliseconds = 150;

const largestFirstId = 2 ** 47;
const processNames = 2 ** 47;

type Body<Kind extends RelayedOrder["kind"]> = Omit<
  Extract<RelayedOrder, { kind: Kind }>,
  "id" | "kind" | "spec" | "targetId" | "address" | "startedAtUnix" | "fencingToken" | "timeoutMilliseconds"
>;
type OrderBody = {
  [Kind in RelayedOrder["kind"]]: Body<Kind> & { readonly kind: Kind };
}[RelayedOrder["kind"]];

/** An order that waits for its outcome. */
interface PendingOrder {
  readonly relay: string;
  readonly order: OrderBody & { readonly id: number };
  readonly header: OrderHeader;
  readonly spec: string;
  /** Ends the wait; `not-sent` when the order surely was not carried out. */
  readonly settle: (outcome: CarriedOut | "not-sent") => void;
}

/** No relay took an order, which surely did not leave: this process has so much time to send it. */
interface TimeLeft {
  readonly kind: "own-way";
  readonly timeoutMilliseconds: number;
}

/** Sends orders through relays, and from this process where there are none. */
export class RelayedTargetOrders implements TargetOrders {
  readonly #options: RelayedOrdersOptions;
  readonly #pending = new Map<number, PendingOrder>();
  readonly #frames = createFrameGatherer<PendingOrder>(gatherMilliseconds, (relay, orders) => {
    void this.#sendFrame(relay, orders);
  });
  /** Outcomes for an earlier process of this entry must not be taken for those of this one. */
  #nextId = randomInt(largestFirstId);
  readonly #senderProcess = randomInt(processNames);

  /**
   * Creates the orders, and takes outcomes from other entries.
   * @param options - the peers, the relays and the path from this process
   */
  constructor(options: RelayedOrdersOptions) {
    this.#options = options;
    options.peers.answer(outcomesCall, ({ outcomes }) => {
      for (const outcome of outcomes) this.#takeOutcome(outcome);
      return {};
    });
    options.peers.events.on("peerState", ({ peerId, state }) => {
      if (state === "gone" || state === "unreachable") this.#loseRelay(peerId, state);
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

  /** Sends an order through the first relay that takes it; else tells how long it may still take from this process. */
  async #relay(header: OrderHeader, body: OrderBody, spec = ""): Promise<CarriedOut | TimeLeft> {
    const { relays, metrics } = this.#options;
    const endsAt = performance.now() + header.timeoutMilliseconds;
    let left = header.timeoutMilliseconds;
    for (const relay of relays.relaysFor(header.target).slice(0, relayAttempts)) {
      const outcome = await this.#sendThrough(relay, { ...header, timeoutMilliseconds: left }, body, spec);
      const result = outcome === "not-sent" ? outcome : outcome.kind;
      metrics.count("orders_through_relays_total", { order: body.kind, result });
      if (outcome !== "not-sent") {
        if (isUnanswered(outcome)) relays.passOver(header.target.targetId, relay);
        return outcome;
      }
      left = endsAt - performance.now();
      // Its owner may have ended meanwhile, as after a pause of this process.
      if (left <= 0) return { id: 0, kind: "refused", reason: "not-connected" };
    }
    return { kind: "own-way", timeoutMilliseconds: left };
  }

  async #sendThrough(
    relay: string,
    header: OrderHeader,
    body: OrderBody,
    spec: string,
  ): Promise<CarriedOut | "not-sent"> {
    const id = this.#nextId;
    this.#nextId += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        // After a hold-up timers come first; an outcome that is there already is read before the order is given up.
        setImmediate(() => {
          settle({ id, kind: "unknown", message: "the relay brought no outcome in time" });
        });
      }, header.timeoutMilliseconds + relayMilliseconds);
      const settle = (outcome: CarriedOut | "not-sent"): void => {
        clearTimeout(timer);
        this.#pending.delete(id);
        resolve(outcome);
      };
      const pending = { relay, order: { ...body, id }, header, spec, settle };
      this.#pending.set(id, pending);
      this.#frames.add(relay, pending);
    });
  }

  async #sendFrame(relay: string, pending: readonly PendingOrder[]): Promise<void> {
    const specs = [...new Set(pending.map(({ spec }) => spec))];
    const orders = pending.map((each) => encodeOrder(each, specs.indexOf(each.spec)));
    const frame = { senderProcess: this.#senderProcess, sentAt: performance.now(), specs, orders };
    const reply = await this.#options.peers.call(relay, carryOutCall, frame, arrivalTimeoutMilliseconds);
    reply.ifLeft((failure) => {
      this.#takeFailure(relay, pending, failure);
    });
  }

  #takeOutcome(outcome: RelayedOutcome): void {
    const pending = this.#pending.get(outcome.id);
    if (pending === undefined) return;
    if (outcome.kind !== "declined") {
      pending.settle(outcome);
      return;
    }
    this.#options.relays.avoid(pending.relay);
    pending.settle("not-sent");
  }

  #takeFailure(relay: string, pending: readonly PendingOrder[], { kind, message }: PeerFailure): void {
    const { log, relays } = this.#options;
    const waiting = pending.filter(({ order }) => this.#pending.has(order.id));
    log.write("warn", "relay-failed", { peer: relay, reason: kind, orders: waiting.length });
    relays.avoid(relay);
    for (const { order, settle } of waiting) {
      settle(kind === "not-connected" ? "not-sent" : { id: order.id, kind: "unknown", message });
    }
  }

  /** The link is cut: outcomes of its orders will not come, while others wait for their own time. */
  #loseRelay(relay: string, state: string): void {
    const lost = [...this.#pending.values()].filter((pending) => pending.relay === relay);
    if (lost.length === 0) return;
    this.#options.log.write("warn", "relay-lost", { peer: relay, state, orders: lost.length });
    this.#options.relays.avoid(relay);
    const message = `the link to the relay is ${state}`;
    for (const { order, settle } of lost) settle({ id: order.id, kind: "unknown", message });
  }
}

/** Whether the target may be reached by another path only. */
function isUnanswered(outcome: CarriedOut): boolean {
  return outcome.kind === "unknown" || (outcome.kind === "refused" && outcome.reason === "not-connected");
}

/** After so many relays that could not be reached an order goes from this process. */
const relayAttempts = 2;

function encodeOrder({ order, header }: PendingOrder, spec: number): RelayedOrder {
  const { targetId, address, startedAtUnix } = header.target;
  const { fencingToken, timeoutMilliseconds } = header;
  const common = { targetId, address, startedAtUnix, fencingToken, timeoutMilliseconds };
  return order.kind === "start" ? { ...order, ...common, spec } : { ...order, ...common };
}
