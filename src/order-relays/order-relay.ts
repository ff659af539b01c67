/**
 * Carries out orders that owners on other entries send through this entry.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import type { OrderHeader, TargetOrders } from "../task-runs/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { createFrameBatcher } from "./frame-batcher.js";
import { carryOutCall, outcomesCall, type RelayedOrder, type RelayedOutcome } from "./messages.js";
import { encodeRenewal } from "./outcome-rows.js";
import { createTransitClock, type TransitClock } from "./transit-clock.js";

/** Dependencies of an order relay. */
export interface OrderRelayOptions {
  readonly peers: PeerNetwork;
  /** Sends orders to targets from this process. */
  readonly orders: TargetOrders;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Measures the transit times of frames from one process of a peer. */
interface ProcessClock {
  readonly senderProcess: number;
  readonly clock: TransitClock;
}

/** How long outcomes wait for others to share a frame. */
const batchMilliseconds = 4;
const outcomesTimeoutMilliseconds = 1_000;
/** Most orders in progress; further ones are declined, so that their owners send them by another path. */
const maximumInProgress = 2_000;

/**
 * Registers the handler for orders from other entries.
 * @param options - the peers and the sender of orders to targets
 */
export function startOrderRelay(options: OrderRelayOptions): void {
  const { peers, log, metrics } = options;
  const clocks = new Map<string, ProcessClock>();
  let inProgress = 0;
  const outcomes = createFrameBatcher<RelayedOutcome>(batchMilliseconds, (peerId, items) => {
    void peers
      .call(peerId, outcomesCall, { outcomes: [...items] }, outcomesTimeoutMilliseconds)
      .then((reply) =>
        reply.ifLeft(({ kind }) => {
          metrics.count("relayed_outcomes_lost_total", { reason: kind }, items.length);
          log.write("warn", "relayed-outcomes-lost", { peer: peerId, reason: kind, outcomes: items.length });
        }),
      );
  });

  const carryOut = async (peerId: string, order: RelayedOrder, specs: readonly string[]): Promise<void> => {
    inProgress += 1;
    const outcome = await sendOrder(options.orders, order, specs[specIndex(order)] ?? "");
    inProgress -= 1;
    metrics.count("relayed_orders_total", { order: order.kind, result: outcome.kind });
    outcomes.add(peerId, outcome);
  };

  const findClock = (peerId: string, senderProcess: number): TransitClock => {
    const known = clocks.get(peerId);
    if (known?.senderProcess === senderProcess) return known.clock;
    const clock = createTransitClock();
    clocks.set(peerId, { senderProcess, clock });
    return clock;
  };

  peers.answer(carryOutCall, ({ senderProcess, sentAt, specs, orders }, peerId) => {
    const clock = findClock(peerId, senderProcess);
    const age = clock.ageMilliseconds(sentAt, performance.now());
    let declined = 0;
    for (const order of orders) {
      const timeoutMilliseconds = order.timeoutMilliseconds - age;
      // An order whose time has passed is not carried out: its owner no longer expects it to be.
      if (timeoutMilliseconds <= 0 || inProgress >= maximumInProgress) {
        declined += 1;
        outcomes.add(peerId, { id: order.id, kind: "declined" });
        continue;
      }
      void carryOut(peerId, { ...order, timeoutMilliseconds }, specs);
    }
    if (declined > 0)
      log.write("warn", "relayed-orders-refused", {
        peer: peerId,
        orders: declined,
        inProgress,
        ageMilliseconds: Math.round(age),
      });
    return {};
  });
}

/** Index of the order's spec in its frame; -1 for an order without one. */
function specIndex(order: RelayedOrder): number {
  return order.kind === "start" ? order.spec : -1;
}

async function sendOrder(orders: TargetOrders, order: RelayedOrder, spec: string): Promise<RelayedOutcome> {
  const { id } = order;
  const header = createHeader(order);
  switch (order.kind) {
    case "start": {
      const { task, run, leaseUntilMilliseconds, checkpoint, ticket } = order;
      const start = { ...header, task, run, spec, leaseUntilMilliseconds, checkpoint, ticket };
      return { id, ...(await orders.start(start)) };
    }
    case "stop":
      return { id, ...(await orders.stop({ ...header, task: order.task, run: order.run })) };
    case "pace": {
      const { task, run, percent } = order;
      return { id, ...(await orders.pace({ ...header, task, run, percent })) };
    }
    case "renew": {
      const { acknowledgedSequence, leaseUntilMilliseconds, waitMilliseconds } = order;
      const renewal = { ...header, acknowledgedSequence, leaseUntilMilliseconds, waitMilliseconds };
      return encodeRenewal(id, await orders.renew(renewal));
    }
  }
}

function createHeader(order: RelayedOrder): OrderHeader {
  const { targetId, address, startedAtUnix, fencingToken, timeoutMilliseconds } = order;
  return {
    target: { targetId, address, startedAtUnix, availabilityZone: "" },
    fencingToken,
    timeoutMilliseconds,
  };
}
