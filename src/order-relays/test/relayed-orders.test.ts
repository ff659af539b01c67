/**
 * The paths that an order takes from its owner, played without a network.
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

/** What a relay does with an order: replies whether it arrived, and tells the outcome. */
type Relay = (order: { id: number }, tell: (outcome: object) => void) => Promise<Either<PeerFailure, object>>;

const arrived = async (): Promise<Either<PeerFailure, object>> => Promise.resolve(Right({}));

const carriesOut: Relay = async ({ id }, tell) => {
  tell({ id, kind: "done", clockMilliseconds: 7 });
  return arrived();
};

interface TestOwner {
  readonly orders: RelayedTargetOrders;
  readonly relays: RelayDirectory;
  /** Which relays got orders, one after the other; `owner` for an order that this entry sent. */
  readonly paths: string[];
  /** Orders that this entry sent. */
  readonly local: StartOrder[];
}

function startOwner(relaysByName: Readonly<Record<string, Relay>>): TestOwner {
  const paths: string[] = [];
  const local: StartOrder[] = [];
  const { peers, receive } = createFakePeers(async (peerId, _name, request) => {
    paths.push(peerId);
    const { orders: framed } = request as { orders: { id: number }[] };
    const tell = (outcome: object): void => {
      receive(peerId, "orders.outcomes", { outcomes: [outcome] });
    };
    const replies = framed.map(async (order) => relaysByName[peerId]?.(order, tell) ?? arrived());
    return Promise.all(replies).then(([first]) => first ?? arrived());
  });
  const candidates = Object.keys(relaysByName).map((entryId) => ({
    entryId,
    zone: "zone",
    capacityCores: 1,
    holdsOwner: false,
  }));
  const relays = createRelayDirectory({ entryId: "owner", peers, entries: () => candidates });
  // An owner with few targets sends its orders itself.
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

test("an order that its relay declined takes another path, and further orders leave that relay out", async () => {
  const declines: Relay = async ({ id }, tell) => {
    tell({ id, kind: "declined" });
    return arrived();
  };
  const owner = startOwner({ a: declines, b: declines });
  expect(await owner.orders.start(createStart("target"))).toEqual(done);
  expect([...owner.paths].sort()).toEqual(["a", "b", "owner"]);
  owner.paths.length = 0;
  await owner.orders.start(createStart("target"));
  expect(owner.paths).toEqual(["owner"]);
});

test("an order that used up its time on the way to relays is not sent any more", async () => {
  const neverConnects: Relay = async () => {
    await delay(300);
    return Left({ kind: "not-connected", message: "no link" });
  };
  const owner = startOwner({ a: neverConnects });
  expect(await owner.orders.start(createStart("target"))).toMatchObject({
    kind: "refused",
    reason: "not-connected",
  });
  expect(owner.local).toEqual([]);
});

test("what an order used of its time on the way to relays is not given to it again", async () => {
  const connectsNot: Relay = async () => {
    await delay(100);
    return Left({ kind: "not-connected", message: "no link" });
  };
  const owner = startOwner({ a: connectsNot });
  expect(await owner.orders.start(createStart("target"))).toEqual(done);
  expect(owner.local[0]?.timeoutMilliseconds).toBeLessThan(110);
});

/** Sends one start to each of many targets, one after the other for each, and tells what the last ones brought. */
async function startTwiceOnEach(owner: TestOwner): Promise<string[]> {
  const targets = Array.from({ length: 8 }, (_, index) => `target-${index}`);
  const startOnEach = async (): Promise<OrderOutcome[]> =>
    Promise.all(targets.map(async (target) => owner.orders.start(createStart(target))));
  await startOnEach();
  return (await startOnEach()).map(({ kind }) => kind);
}

test("a target that its relay does not reach gets its next order through another", async () => {
  const reachesNot: Relay = async ({ id }, tell) => {
    tell({ id, kind: "unknown", message: "no answer in time" });
    return arrived();
  };
  const owner = startOwner({ a: reachesNot, b: carriesOut });
  expect(await startTwiceOnEach(owner)).toEqual(Array.from({ length: 8 }, () => "done"));
});

test("a target whose relay does not bring outcomes back gets its next order through another", async () => {
  const owner = startOwner({ a: arrived, b: carriesOut });
  expect(await startTwiceOnEach(owner)).toEqual(Array.from({ length: 8 }, () => "done"));
});

test("a target that its only relay does not reach gets its next order from its owner", async () => {
  const owner = startOwner({ a: arrived });
  expect(await startTwiceOnEach(owner)).toEqual(Array.from({ length: 8 }, () => "done"));
});

test("an outcome that came in time to an owner that was held up is not taken for a missing one", async () => {
  const elsewhere = new Worker(echoSource, { eval: true });
  elsewhere.postMessage("ready");
  await new Promise((resolve) => elsewhere.once("message", resolve));
  const owner = startOwner({
    a: async ({ id }, tell) => {
      elsewhere.once("message", () => {
        tell({ id, kind: "done", clockMilliseconds: 7 });
      });
      setImmediate(() => {
        elsewhere.postMessage("carry out");
        hold(500);
      });
      return arrived();
    },
  });
  expect((await owner.orders.start(createStart("target"))).kind).toBe("done");
  await elsewhere.terminate();
});

/** Another thread: what it sends back is there when this one has been busy. */
const echoSource = `
  const { parentPort } = require("node:worker_threads");
  parentPort.on("message", (message) => parentPort.postMessage(message));
`;

/** Keeps the thread busy. */
function hold(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}
