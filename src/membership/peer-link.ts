/**
 * One connection that this entry opened to a peer, for the calls that it makes.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { pack, unpack } from "msgpackr";
import WebSocket from "ws";
import { delay, parseWith } from "../shared/index.js";
import { frameSchema, type Frame, type PeerCall } from "./messages.js";

/** Why a call to a peer brought no reply. */
export type PeerFailureKind = "not-connected" | "timeout" | "cut" | "refused" | "bad-reply";

/** A call to a peer that brought no reply. */
export interface PeerFailure {
  readonly kind: PeerFailureKind;
  readonly message: string;
}

/**
 * What is known of a peer. `gone` means that its address refused a connection, so that no process listens there;
 * `unreachable` means that nothing answers, which a cut network looks like too.
 */
export type PeerState = "connecting" | "up" | "suspect" | "unreachable" | "gone";

/** A connection to a peer. */
export interface PeerLink {
  readonly peerId: string;
  state(): PeerState;
  /** Time of the last frame from the peer in milliseconds since the epoch. */
  heardAt(): number;
  /** Sends a frame if connected. */
  send(frame: Frame): void;
  /** Calls the peer. */
  call<Request, Reply>(
    definition: PeerCall<Request, Reply>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerFailure, Reply>>;
  close(): void;
}

/** Settings of a link. */
export interface PeerLinkOptions {
  readonly peerId: string;
  /** `IP:port`. */
  readonly address: string;
  readonly hello: Frame;
  /** Called when the state changed. */
  onState(state: PeerState): void;
}

const handshakeMilliseconds = 1_000;
const reconnectMilliseconds = 200;
/** Silence after which a peer is suspected. */
export const suspectMilliseconds = 1_000;
/** Silence after which a connection is given up. */
const giveUpMilliseconds = 3_000;
const maximumFrameBytes = 4_194_304;

/**
 * Creates a link and starts to connect.
 * @param options - the peer and what is called
 * @returns the link
 */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const stop = new AbortController();
  const pending = createPendingCalls(options.peerId);
  let socket: WebSocket | undefined;
  let state: PeerState = "connecting";
  let heardAt = 0;

  const setState = (next: PeerState): void => {
    if (state === next) return;
    state = next;
    options.onState(next);
  };

  const send = (frame: Frame): void => {
    if (socket?.readyState === WebSocket.OPEN) socket.send(pack(frame));
  };

  const receive = (data: WebSocket.RawData): void => {
    heardAt = Date.now();
    setState("up");
    decodeFrame(data).ifRight(pending.settle);
  };

  const checkSilence = (opened: WebSocket): void => {
    if (opened.readyState !== WebSocket.OPEN) return;
    const silence = Date.now() - heardAt;
    if (silence > giveUpMilliseconds) opened.terminate();
    else if (silence > suspectMilliseconds && state === "up") setState("suspect");
  };

  const connectOnce = async (): Promise<void> => {
    const opened = openSocket(options.address);
    socket = opened;
    const silence = setInterval(checkSilence, suspectMilliseconds / 4, opened);
    opened.on("open", () => {
      send(options.hello);
    });
    opened.on("message", receive);
    opened.on("error", (error: Error & { code?: string }) => {
      setState(error.code === "ECONNREFUSED" ? "gone" : "unreachable");
    });
    await new Promise<void>((resolve) => {
      opened.on("close", () => {
        resolve();
      });
    });
    clearInterval(silence);
    pending.failAll();
    if (state === "up" || state === "suspect") setState("unreachable");
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      heardAt = Math.max(heardAt, Date.now() - suspectMilliseconds);
      await connectOnce();
      await delay(reconnectMilliseconds, stop.signal);
    }
  };

  void run();
  return {
    peerId: options.peerId,
    state: () => state,
    heardAt: () => heardAt,
    send,
    call: async (definition, request, timeoutMilliseconds) => {
      if (socket?.readyState !== WebSocket.OPEN) {
        return Left({ kind: "not-connected", message: `${options.peerId} is not connected` });
      }
      const { id, result } = pending.open(timeoutMilliseconds);
      send({ kind: "call", id, name: definition.name, body: request });
      return decodeReply(definition, await result);
    },
    close: () => {
      stop.abort();
      socket?.terminate();
      pending.failAll();
    },
  };
}

function openSocket(address: string): WebSocket {
  return new WebSocket(`ws://${address}`, {
    handshakeTimeout: handshakeMilliseconds,
    maxPayload: maximumFrameBytes,
    perMessageDeflate: false,
  });
}

function decodeReply<Request, Reply>(
  definition: PeerCall<Request, Reply>,
  result: Either<PeerFailure, unknown>,
): Either<PeerFailure, Reply> {
  return result.chain((body) =>
    parseWith(definition.reply, body).mapLeft((faults) => ({
      kind: "bad-reply" as const,
      message: `${definition.name}: ${faults[0]?.path ?? ""} ${faults[0]?.message ?? ""}`,
    })),
  );
}

interface PendingCalls {
  /** Opens a call that ends by a reply, a failure, a cut or its timeout. */
  open(timeoutMilliseconds: number): { id: number; result: Promise<Either<PeerFailure, unknown>> };
  /** Ends the call that a frame answers. */
  readonly settle: (frame: Frame) => void;
  /** Ends all calls because the connection was cut. */
  failAll(): void;
}

function createPendingCalls(peerId: string): PendingCalls {
  const calls = new Map<number, (result: Either<PeerFailure, unknown>) => void>();
  let nextCall = 1;
  return {
    open: (timeoutMilliseconds) => {
      const id = nextCall;
      nextCall += 1;
      const result = new Promise<Either<PeerFailure, unknown>>((resolve) => {
        const timer = setTimeout(() => {
          calls.get(id)?.(Left({ kind: "timeout", message: `${peerId} did not reply in time` }));
        }, timeoutMilliseconds);
        calls.set(id, (outcome) => {
          clearTimeout(timer);
          calls.delete(id);
          resolve(outcome);
        });
      });
      return { id, result };
    },
    settle: (frame) => {
      if (frame.kind === "reply") calls.get(frame.id)?.(Right(frame.body));
      if (frame.kind === "failure") calls.get(frame.id)?.(Left({ kind: "refused", message: frame.reason }));
    },
    failAll: () => {
      for (const finish of [...calls.values()]) {
        finish(Left({ kind: "cut", message: `the connection to ${peerId} was cut` }));
      }
    },
  };
}

/**
 * Decodes a frame.
 * @param data - bytes from the connection
 * @returns the frame, or why it cannot be read
 */
export function decodeFrame(data: WebSocket.RawData): Either<string, Frame> {
  try {
    const decoded: unknown = unpack(data as Buffer);
    return parseWith(frameSchema, decoded).mapLeft((faults) => faults[0]?.message ?? "bad frame");
  } catch (error) {
    return Left((error as Error).message);
  }
}
