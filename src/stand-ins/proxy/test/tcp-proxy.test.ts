/**
 * Tests that the proxy forwards, delays and drops data and resets connections.
 * @packageDocumentation
 */
import { once } from "node:events";
import net, { type AddressInfo, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { delay } from "../../../shared/index.js";
import { startTcpProxy, type TcpProxy } from "../index.js";

let server: Server;
let proxy: TcpProxy;
let received = "";
let acceptedSockets: Socket[] = [];

beforeEach(async () => {
  received = "";
  acceptedSockets = [];
  server = net.createServer((socket) => {
    acceptedSockets.push(socket);
    socket.on("error", () => socket.destroy());
    socket.on("data", (data) => {
      received += data.toString();
      socket.write(data);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  proxy = await startTcpProxy((server.address() as AddressInfo).port);
});

afterEach(async () => {
  await proxy.close();
  server.close();
});

async function connect(): Promise<{ socket: Socket; read: () => string }> {
  const socket = net.connect(proxy.port, "127.0.0.1");
  let text = "";
  socket.on("data", (data) => (text += data.toString()));
  socket.on("error", () => socket.destroy());
  await once(socket, "connect");
  return { socket, read: () => text };
}

/** Unlike `once`, this takes an error before the close as part of it. */
async function waitForClose(socket: Socket): Promise<void> {
  await new Promise<void>((resolve) => {
    socket.once("close", () => {
      resolve();
    });
  });
}

const settleMilliseconds = 80;

test("open links forward data in both directions and keep its order under a delay", async () => {
  const { socket, read } = await connect();
  proxy.setDelay(40);
  socket.write("one ");
  await delay(10);
  proxy.setDelay(0);
  socket.write("two");
  await delay(settleMilliseconds);
  expect(read()).toBe("one two");
  socket.destroy();
});

test("the state no-answers drops responses and forwards requests", async () => {
  const { socket, read } = await connect();
  proxy.setState("no-answers");
  socket.write("hello");
  await delay(settleMilliseconds);
  expect(received).toBe("hello");
  expect(read()).toBe("");
  socket.destroy();
});

test("silenced connections stay open without data while new ones work", async () => {
  const before = await connect();
  await delay(settleMilliseconds);
  proxy.silenceOpenConnections();
  before.socket.write("lost");
  const after = await connect();
  after.socket.write("kept");
  await delay(settleMilliseconds);
  expect(received).toBe("kept");
  expect(before.socket.closed).toBe(false);
  before.socket.destroy();
  after.socket.destroy();
});

test("a refusing link resets open and new connections", async () => {
  const { socket } = await connect();
  await delay(settleMilliseconds);
  const closed = waitForClose(socket);
  proxy.setState("refusing");
  await closed;
  const next = net.connect(proxy.port, "127.0.0.1");
  next.on("error", () => next.destroy());
  await waitForClose(next);
  expect(received).toBe("");
});

test("a proxy closes after one side of a silent link has closed", async () => {
  const { socket } = await connect();
  await delay(settleMilliseconds);
  proxy.setState("silent");
  for (const accepted of acceptedSockets) accepted.resetAndDestroy();
  await delay(settleMilliseconds);
  proxy.setState("open");
  await expect(proxy.close()).resolves.toBeUndefined();
  socket.destroy();
});
