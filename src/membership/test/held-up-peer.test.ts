/**
 * Calls of an entry whose event loop is blocked, over a real link to another thread. Timers run first after the
 * block, so a reply that arrived in time could be missed.
 * @packageDocumentation
 */
import { Worker } from "node:worker_threads";
import { afterEach, expect, test, vi } from "vitest";
import * as z from "zod";
import { createLog } from "../../telemetry/index.js";
import { createPeerNetwork, definePeerCall, type PeerNetwork } from "../index.js";

const replyAfterMilliseconds = 50;
const peerSource = `
  const { parentPort } = require("node:worker_threads");
  const { pack, unpack } = require("msgpackr");
  const { WebSocketServer } = require("ws");
  const server = new WebSocketServer({ host: "127.0.0.1", port: 0 }, () => {
    parentPort.postMessage(server.address().port);
  });
  server.on("connection", (socket) => {
    socket.send(pack({ kind: "heartbeat", entryId: "peer", reports: {} }));
    socket.on("message", (data) => {
      const frame = unpack(data);
      if (frame.kind !== "call") return;
      parentPort.postMessage("called");
      setTimeout(() => socket.send(pack({ kind: "reply", id: frame.id, body: {} })), ${replyAfterMilliseconds});
    });
  });
`;
const call = definePeerCall("test.call", z.object({}), z.object({}));

let worker: Worker | undefined;
let network: PeerNetwork | undefined;
afterEach(async () => {
  await network?.close();
  await worker?.terminate();
});

async function nextMessage(from: Worker): Promise<unknown> {
  return new Promise((resolve) => from.once("message", resolve));
}

/** Blocks the event loop, as synchronous work does, so that arrived replies stay unread. */
function blockThread(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

test("a reply that arrived in time while the event loop was blocked is not a timeout", async () => {
  const peer = new Worker(peerSource, { eval: true });
  worker = peer;
  const peerAddress = `127.0.0.1:${String(await nextMessage(peer))}`;
  const own = createPeerNetwork({ entryId: "own", incarnation: 1, zone: "zone" }, createLog("silent"));
  network = own;
  own.follow([{ entryId: "peer", incarnation: 1, peerAddress, zone: "zone" }]);
  await vi.waitUntil(() => own.upPeers().length === 1, { timeout: 5_000 });
  const timeoutMilliseconds = 300;
  const reply = own.call("peer", call, {}, timeoutMilliseconds);
  await nextMessage(peer);
  blockThread(timeoutMilliseconds * 2);
  expect((await reply).isRight()).toBe(true);
});
