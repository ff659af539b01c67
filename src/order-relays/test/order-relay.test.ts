/**
 * The orders that a relay carries out or declines, without a network.
 * @packageDocumentation
 */
import { Left, Right } from "purify-ts";
import { expect, test } from "vitest";
import { delay } from "../../shared/index.js";
import type { OrderOutcome, TargetOrders } from "../../task-runs/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import { startOrderRelay } from "../index.js";
import { createFakePeers, type FakePeers } from "./fake-peers.js";

const done: OrderOutcome = { kind: "done", clockMilliseconds: 7 };

function createOrders(sent: string[]): TargetOrders {
  return {
    start: async () => Promise.resolve(done),
    stop: async ({ task }) => {
      sent.push(task);
      return Promise.resolve(done);
    },
    pace: async () => Promise.resolve(done),
    renew: async () => Promise.resolve(Left({ kind: "refused", reason: "not-connected" })),
  };
}

/** Starts a relay that records the tasks of the stop orders that it sends. */
function startRelay(): { readonly sent: string[]; readonly receive: FakePeers["receive"] } {
  const sent: string[] = [];
  const { peers, receive } = createFakePeers();
  startOrderRelay({ peers, orders: createOrders(sent), log: createLog("silent"), metrics: createMetrics() });
  return { sent, receive };
}

function createFrame(senderProcess: number, sentAt: number, task: string): unknown {
  const order = {
    id: 1,
    kind: "stop",
    targetId: "target-1",
    address: "127.0.0.1:1",
    startedAtUnix: 1,
    fencingToken: 9,
    timeoutMilliseconds: 700,
    task,
    run: 1,
  };
  return { senderProcess, sentAt, specs: [], orders: [order] };
}

test("the age of orders from a restarted entry is not measured by the clock of its former process", async () => {
  const { sent, receive } = startRelay();
  receive("owner", "orders.carry-out", createFrame(1, 500_000, "before"));
  receive("owner", "orders.carry-out", createFrame(2, 1_000, "after"));
  await delay(10);
  expect(sent).toEqual(["before", "after"]);
});

test("an order that waited longer than its timeout is not carried out", async () => {
  const { sent, receive } = startRelay();
  const now = performance.now();
  receive("owner", "orders.carry-out", createFrame(1, now, "fresh"));
  receive("owner", "orders.carry-out", createFrame(1, now - 1_000, "late"));
  await delay(10);
  expect(sent).toEqual(["fresh"]);
});

test("a relay reports an order that it did not carry out as declined", async () => {
  const returned: unknown[] = [];
  const { peers, receive } = createFakePeers(async (_peerId, _name, request) => {
    returned.push(...(request as { outcomes: object[] }).outcomes);
    return Promise.resolve(Right({}));
  });
  startOrderRelay({ peers, orders: createOrders([]), log: createLog("silent"), metrics: createMetrics() });
  const now = performance.now();
  receive("owner", "orders.carry-out", createFrame(1, now, "fresh"));
  receive("owner", "orders.carry-out", createFrame(1, now - 1_000, "late"));
  await delay(20);
  expect(returned).toEqual([
    { id: 1, kind: "declined" },
    { id: 1, ...done },
  ]);
});
