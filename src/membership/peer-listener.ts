/**
 * Accepts connections from peers and handles their calls.
 * @packageDocumentation
 */
import http from "node:http";
import type { AddressInfo } from "node:net";
import { pack } from "msgpackr";
import { WebSocketServer, type WebSocket } from "ws";
import { parseWith } from "../shared/index.js";
import type { Log } from "../telemetry/index.js";
import type { Frame, PeerCall } from "./messages.js";
import { decodeFrame, frameBytes } from "./frame-codec.js";

/**
 * Handles a call and returns the reply. `peerId` is the calling entry; empty when it sent no `hello` first. A thrown
 * error is sent to the caller as a failure with the error's message.
 */
export type PeerAnswer<Request, Reply> = (request: Request, peerId: string) => Reply | Promise<Reply>;

/** Accepts connections from peers. */
export interface PeerListener {
  /**
   * Registers the handler of a call, replacing an earlier one.
   * @param definition - the call with the schema that its requests are checked against
   * @param answer - the handler
   */
  answer<Request, Reply>(definition: PeerCall<Request, Reply>, answer: PeerAnswer<Request, Reply>): void;
  /** Starts to listen; port 0 selects a free one. Returns the port in use. */
  listen(host: string, port: number): Promise<number>;
  /** Sends a frame on every open connection. */
  broadcast(frame: Frame): void;
  /** Number of open connections. */
  connections(): number;
  /** Bytes of all frames sent so far. */
  bytesSent(): number;
  /** Bytes of all frames received so far. */
  bytesReceived(): number;
  /** Closes all connections and stops listening. */
  close(): Promise<void>;
}

type RawHandler = (body: unknown, peerId: string) => Promise<unknown>;

const maximumFrameBytes = 4_194_304;
/** Header of a short WebSocket frame from a server; longer frames are undercounted. */
const frameOverheadBytes = 2;

/**
 * Creates a listener.
 * @param createGreeting - creates the first frame on each connection, which identifies this entry
 * @param log - receives `peer-connection-failed`
 * @returns the listener, not yet listening
 */
export function createPeerListener(createGreeting: () => Frame, log: Log): PeerListener {
  const listener = http.createServer();
  const sockets = new WebSocketServer({
    server: listener,
    maxPayload: maximumFrameBytes,
    perMessageDeflate: false,
  });
  const handlers = new Map<string, RawHandler>();
  let bytesSent = 0;
  let bytesReceived = 0;

  const sendBytes = (socket: WebSocket, bytes: Buffer): void => {
    bytesSent += bytes.length + frameOverheadBytes;
    socket.send(bytes);
  };
  const send = (socket: WebSocket, frame: Frame): void => {
    sendBytes(socket, pack(frame));
  };

  const handleCall = async (
    socket: WebSocket,
    peerId: string,
    frame: Frame & { kind: "call" },
  ): Promise<void> => {
    const handler = handlers.get(frame.name);
    if (handler === undefined) {
      send(socket, { kind: "failure", id: frame.id, reason: `unknown call ${frame.name}` });
      return;
    }
    try {
      send(socket, { kind: "reply", id: frame.id, body: await handler(frame.body, peerId) });
    } catch (error) {
      send(socket, { kind: "failure", id: frame.id, reason: (error as Error).message });
    }
  };

  sockets.on("connection", (socket) => {
    let peerId = "";
    send(socket, createGreeting());
    socket.on("error", (error) => {
      log.write("debug", "peer-connection-failed", { peer: peerId, message: error.message });
    });
    socket.on("message", (data) => {
      bytesReceived += frameBytes(data) + frameOverheadBytes;
      decodeFrame(data).ifRight((frame) => {
        if (frame.kind === "hello") peerId = frame.entryId;
        if (frame.kind === "call") void handleCall(socket, peerId, frame);
      });
    });
  });

  return {
    answer: (definition, answer) => {
      handlers.set(definition.name, async (body, peerId) => {
        const request = parseWith(definition.request, body);
        if (request.isLeft()) throw new TypeError(`${definition.name}: the request has a wrong form`);
        return answer(request.unsafeCoerce(), peerId);
      });
    },
    listen: async (host, port) => {
      await new Promise<void>((resolve, reject) => {
        listener.once("error", reject);
        listener.listen(port, host, resolve);
      });
      return (listener.address() as AddressInfo).port;
    },
    broadcast: (frame) => {
      const bytes = pack(frame);
      for (const socket of sockets.clients) sendBytes(socket, bytes);
    },
    connections: () => sockets.clients.size,
    bytesSent: () => bytesSent,
    bytesReceived: () => bytesReceived,
    close: async () => {
      for (const socket of sockets.clients) socket.terminate();
      await new Promise<void>((resolve) => {
        listener.close(() => {
          resolve();
        });
        listener.closeAllConnections();
      });
    },
  };
}
