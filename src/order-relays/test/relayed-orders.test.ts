/**
 * The paths that orders take from their owner, without a network.
 * @packageDocumentation
 */
import { Worker } from "node:worker_threads";
import { Left, Right, type Either } from "purify-ts";
import { expect, test } from "vitest";
import type { PeerFailure } from "../../membership/index.js";
import { delay } from "../../shared/index.js";
import type { OrderOutcome, StartOrder, TargetOrders } from "../../task-runs/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import { createRelayDirectory, RelayedTargetOrders, type RelayDirectory } from "../index.js";
import { createFakePeers } from "./fake-peers.js";

const done: OrderOutcome = { kind: "done", clockMilliseconds: 7 };

/** A relay's handling of an order: the reply to its arrival, and a call of `returnOutcome`. */
type Relay = (
  order: { id: number },
  returnOutcome: (outcome: object) => void,
) => Promise<Either<PeerFailure, object>>;

const arrived = async (): Promise<Either<PeerFailure, object>> => Promise.resolve(Right({}));

const carryOut: Relay = async ({ id }, returnOutcome) => {
  returnOutcome({ id, kind: "done", clockMilliseconds: 7 });
  return arrived();
};

interface TestOwner {
  readonly orders: RelayedTargetOrders;
  readonly relays: RelayDirectory;
  /** The relays that received orders, in order; `owner` for an order that this entry sent itself. */
  readonly paths: string[];
  /** Orders that this entry sent itself. */
  readonly local: StartOrder[];
}

function startOwner(relaysByName: Readonly<Record<string, Relay>>): TestOwner {
  const paths: string[] = [];
  const local: StartOrder[] = [];
  const { peers, receive } = createFakePeers(async (peerId, _name, request) => {
    paths.push(peerId);
    const { orders: framed } = request as { orders: { id: number }[] };
    const returnOutcome = (outcome: object): void => {
      receive(peerId, "orders.outcomes", { outcomes: [outcome] });
    };
    const replies = framed.map(async (order) => relaysByName[peerId]?.(order, returnOutcome) ?? arrived());
    return Promise.all(replies).then(([first]) => first ?? arrived());
  });
  const candidates = Object.keys(relaysByName).map((entryId) => ({
    entryId,
    zone: "zone",
    capacityCores: 1,
    holdsOwner: false,
  }));
  const relays = createRelayDirectory({ entryId: "owner", peers, entries: () => candidates });
  // With few targets, an owner would send all orders itself.
  for (let target = 0; target < 40; target += 1) relays.relaysFor(createStart(`other-${target}`).target);
  const own: TargetOrders = {
    start: async (order) => {
      paths.push("owner");
      local.push(order);
      return Promise.resolve(done);
    },
    stop: async () => Promise.resolve(done),
    pace: async () => Promise.resolve(done),
    renew: async () => Promise.resolve(Left({ kind: "refused", reason: "not-connected" })),
  };
  const orders = new RelayedTargetOrders({
    peers,
    local: own,
    relays,
    log: createLog("silent"),
    metrics: createMetrics(),
  });
  return { orders, relays, paths, local };
}

function createStart(targetId: string): StartOrder {
  return {
    target: { targetId, address: "127.0.0.1:1", startedAtUnix: 1, availabilityZone: "zone" },
    fencingToken: 9,
    timeoutMilliseconds: 200,
    task: "job.0.0.0",
    run: 1,
    spec: "the job's spec",
    leaseUntilMilliseconds: 1_000,
    checkpoint: "",
    ticket: undefined,
  };
}

test("an order that its relay declined takes another path, and further orders skip that relay", async () => {
  const decline: Relay = async ({ id }, returnOutcome) => {
    returnOutcome({ id, kind: "declined" });
    return arrived();
  };
  const owner = startOwner({ a: decline, b: decline });
  expect(await owner.orders.start(createStart("target"))).toEqual(done);
  expect([...owner.paths].sort()).toEqual(["a", "b", "owner"]);
  owner.paths.length = 0;
  await owner.orders.start(createStart("target"));
  expect(owner.paths).toEqual(["owner"]);
});

test("an order whose timeout passed before a relay accepted it is not sent", async () => {
  const failAfterTimeout: Relay = async () => {
    await delay(300);
    return Left({ kind: "not-connected", message: "no link" });
  };
  const owner = startOwner({ a: failAfterTimeout });
  expect(await owner.orders.start(createStart("target"))).toMatchObject({
    kind: "refused",
    reason: "not-connected",
  });
  expect(owner.local).toEqual([]);
});

test("the time that an order spent on relays is subtracted from its timeout", async () => {
  const failToConnect: Relay = async () => {
    await delay(100);
    return Left({ kind: "not-connected", message: "no link" });
  };
  const owner = startOwner({ a: failToConnect });
  expect(await owner.orders.start(createStart("target"))).toEqual(done);
  expect(owner.local[0]?.timeoutMilliseconds).toBeLessThan(110);
});

/** Sends two starts to each of several targets, one after the other; returns the outcomes of the second ones. */
async function startTwiceOnEach(owner: TestOwner): Promise<string[]> {
  const targets = Array.from({ length: 8 }, (_, index) => `target-${index}`);
  const startOnEach = async (): Promise<OrderOutcome[]> =>
    Promise.all(targets.map(async (target) => owner.orders.start(createStart(target))));
  await startOnEach();
  return (await startOnEach()).map(({ kind }) => kind);
}

test("a target that its relay does not reach gets its next order through another relay", async () => {
  const returnUnknown: Relay = async ({ id }, returnOutcome) => {
    returnOutcome({ id, kind: "unknown", message: "no answer in time" });
    return arrived();
  };
  const owner = startOwner({ a: returnUnknown, b: carryOut });
  expect(await startTwiceOnEach(owner)).toEqual(Array.from({ length: 8 }, () => "done"));
});

test("a target whose relay returns no outcomes gets its next order through another relay", async () => {
  const owner = startOwner({ a: arrived, b: carryOut });
  expect(await startTwiceOnEach(owner)).toEqual(Array.from({ length: 8 }, () => "done"));
});

test("a target whose only relay returns no outcomes gets its next order from its owner", async () => {
  const owner = startOwner({ a: arrived });
  expect(await startTwiceOnEach(owner)).toEqual(Array.from({ length: 8 }, () => "done"));
});

test("an outcome that arrived in time counts even if the owner's event loop was blocked past the timeout", async () => {
  const echoThread = new Worker(echoSource, { eval: true });
  echoThread.postMessage("ready");
  await new Promise((resolve) => echoThread.once("message", resolve));
  const owner = startOwner({
    a: async ({ id }, returnOutcome) => {
      echoThread.once("message", () => {
        returnOutcome({ id, kind: "done", clockMilliseconds: 7 });
      });
      setImmediate(() => {
        echoThread.postMessage("carry out");
        blockEventLoop(500);
      });
      return arrived();
    },
  });
  expect((await owner.orders.start(createStart("target"))).kind).toBe("done");
  await echoThread.terminate();
});

/** A thread that returns messages, so that an answer has arrived by the time this thread's event loop is unblocked. */
const echoSource = `
  const { parentPort } = require("node:worker_threads");
  parentPort.on("message", (message) => parentPort.postMessage(message));
`;

/** Blocks the thread. */
function blockEventLoop(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}
