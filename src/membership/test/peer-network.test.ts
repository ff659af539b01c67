/**
 * Links between entries over real sockets: silent, frozen and stopped peers, pauses, other entries at a peer's
 * address, and records that disappear from the member list.
 * @packageDocumentation
 */
import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { pack } from "msgpackr";
import { WebSocketServer } from "ws";
import { afterEach, expect, test, vi } from "vitest";
import { delay } from "../../shared/index.js";
import { createLog } from "../../telemetry/index.js";
import { createPeerNetwork, type PeerNetwork, type PeerState, type MemberRecord } from "../index.js";
import { memberListCall } from "../messages.js";

const log = createLog("silent");
const cleanUp: (() => Promise<void> | void)[] = [];

async function startNetwork(entryId: string): Promise<{ network: PeerNetwork; record: MemberRecord }> {
  const network = createPeerNetwork({ entryId, incarnation: 1, zone: "z" }, log);
  cleanUp.push(async () => network.close());
  const port = await network.listen("127.0.0.1", 0);
  return { network, record: createRecord(entryId, port) };
}

function createRecord(entryId: string, port: number, incarnation = 1): MemberRecord {
  return { entryId, incarnation, peerAddress: `127.0.0.1:${port}`, zone: "z" };
}

function stateOf(network: PeerNetwork, peerId: string): PeerState | undefined {
  return network.peers().find((peer) => peer.peerId === peerId)?.state;
}

async function until(condition: () => boolean): Promise<void> {
  await vi.waitFor(
    () => {
      expect(condition()).toBe(true);
    },
    { timeout: 8_000, interval: 20 },
  );
}

/** A peer whose heartbeats the test sends by hand. */
async function startManualPeer(entryId: string) {
  const server = new WebSocketServer({ host: "127.0.0.1", port: 0 });
  cleanUp.push(() => {
    for (const client of server.clients) client.terminate();
    server.close();
  });
  await until(() => server.address() !== null);
  const sendHeartbeat = (): void => {
    for (const client of server.clients) client.send(pack({ kind: "heartbeat", entryId, reports: {} }));
  };
  return { record: createRecord(entryId, (server.address() as AddressInfo).port), sendHeartbeat };
}

afterEach(async () => {
  vi.restoreAllMocks();
  await Promise.all(cleanUp.splice(0).map(async (clean) => clean()));
});

test("a silent peer is suspected, and is up again after a heartbeat", async () => {
  const { network } = await startNetwork("a");
  const { record, sendHeartbeat } = await startManualPeer("b");
  network.follow([record]);
  const heartbeatTimer = setInterval(sendHeartbeat, 100);
  await until(() => stateOf(network, "b") === "up");
  clearInterval(heartbeatTimer);
  await until(() => stateOf(network, "b") === "suspect");
  sendHeartbeat();
  await until(() => stateOf(network, "b") === "up");
});

test("a frozen peer becomes unreachable, never gone", async () => {
  const { network } = await startNetwork("a");
  const frozen: Server = createServer();
  await new Promise<void>((resolve) => frozen.listen(0, "127.0.0.1", resolve));
  cleanUp.push(() => {
    frozen.close();
  });
  const states: PeerState[] = [];
  network.events.on("peerState", ({ state }) => {
    states.push(state);
  });
  network.follow([createRecord("b", (frozen.address() as AddressInfo).port)]);
  await until(() => stateOf(network, "b") === "unreachable");
  expect(states).not.toContain("gone");
});

test("a peer whose address refuses connections is gone", async () => {
  const { network } = await startNetwork("a");
  const { network: other, record } = await startNetwork("b");
  network.follow([record]);
  await until(() => stateOf(network, "b") === "up");
  await other.close();
  await until(() => stateOf(network, "b") === "gone");
});

test("another entry at a peer's address does not count as the peer", async () => {
  const { network } = await startNetwork("a");
  const { record } = await startNetwork("c");
  network.follow([{ ...record, entryId: "b" }]);
  await until(() => stateOf(network, "b") === "gone");
  await delay(600);
  expect(network.upPeers()).toEqual([]);
});

test("a connected peer is kept when its record disappears, and dropped when it stops", async () => {
  const { network } = await startNetwork("a");
  const { network: other, record } = await startNetwork("b");
  network.follow([record]);
  await until(() => network.upPeers().includes("b"));
  network.follow([]);
  await delay(600);
  expect(network.upPeers()).toEqual(["b"]);
  await other.close();
  await until(() => network.peers().length === 0);
});

test("a lower incarnation never replaces a higher one", async () => {
  const { network } = await startNetwork("a");
  const { record } = await startNetwork("b");
  network.follow([{ ...record, incarnation: 2 }]);
  await until(() => network.upPeers().includes("b"));
  network.follow([createRecord("b", 1, 1)]);
  expect(network.upPeers()).toEqual(["b"]);
});

test("neither a clock jump nor a pause of this process closes links", async () => {
  const { network } = await startNetwork("a");
  const { record } = await startNetwork("b");
  network.follow([record]);
  await until(() => network.upPeers().includes("b"));
  const states: PeerState[] = [];
  network.events.on("peerState", ({ state }) => {
    states.push(state);
  });
  const dateNow = Date.now.bind(Date);
  const monotonicNow = performance.now.bind(performance);
  vi.spyOn(Date, "now").mockImplementation(() => dateNow() + 20_000);
  vi.spyOn(performance, "now").mockImplementation(() => monotonicNow() + 10_000);
  await delay(600);
  expect(states).toEqual([]);
  expect(network.upPeers()).toEqual(["b"]);
});

test("a member list that arrives after the close opens no link", async () => {
  const { network } = await startNetwork("a");
  const { record } = await startNetwork("b");
  await network.close();
  network.follow([record]);
  expect(network.peers()).toEqual([]);
});

test("heartbeats carry reports, and bytes are counted", async () => {
  const { network, record } = await startNetwork("a");
  const { network: other, record: otherRecord } = await startNetwork("b");
  other.report("load", () => 7);
  network.follow([record, otherRecord]);
  other.follow([record, otherRecord]);
  await until(() => network.reported("b", "load") === 7);
  expect(other.bytesSent()).toBeGreaterThan(50);
  // The other entry receives the greeting first, and a heartbeat later.
  await until(() => other.bytesReceived() > 50);
});

test("an entry without permanent links has links only to the peers that it calls", async () => {
  const records: MemberRecord[] = [];
  const networks: PeerNetwork[] = [];
  for (const entryId of ["a", "b", "c", "d"]) {
    const network = createPeerNetwork({ entryId, incarnation: 1, zone: "z" }, log, 0);
    cleanUp.push(async () => network.close());
    records.push(createRecord(entryId, await network.listen("127.0.0.1", 0)));
    networks.push(network);
  }
  for (const network of networks) network.follow(records);
  const [first] = networks;
  expect(first?.peers()).toEqual([]);
  const calls = [1, 2, 3].map(async () => first?.call("b", memberListCall, {}, 2_000));
  const replies = await Promise.all(calls);
  expect(replies.every((reply) => reply?.isRight())).toBe(true);
  expect(first?.peers().map(({ peerId }) => peerId)).toEqual(["b"]);
});
