/**
 * A connection that this entry opens to a peer, for its own calls and for the peer's heartbeats.
 * @packageDocumentation
 */
import { Left, type Either } from "purify-ts";
import { pack } from "msgpackr";
import WebSocket from "ws";
import { delay, parseWith } from "../shared/index.js";
import { decodeFrame, frameBytes } from "./frame-codec.js";
import type { Frame, PeerCall } from "./messages.js";
import { createPendingCalls, type PendingCalls } from "./pending-calls.js";
import { createSilenceClock } from "./silence-clock.js";

/**
 * Why a call to a peer returned no reply: `cut` when the connection closed before the reply, `refused` when the peer
 * returned an error, `bad-reply` when the reply does not match its schema.
 */
export type PeerFailureKind = "not-connected" | "timeout" | "cut" | "refused" | "bad-reply";

/** A call to a peer that returned no reply. */
export interface PeerFailure {
  readonly kind: PeerFailureKind;
  readonly message: string;
}

/**
 * State of a peer. `gone` means that its address refused a connection or that another entry listens there, so the
 * peer's process has ended; `unreachable` means that nothing responds, which may also be a network failure.
 */
export type PeerState = "connecting" | "up" | "suspect" | "unreachable" | "gone";

/** A connection to a peer. */
export interface PeerLink {
  readonly peerId: string;
  state(): PeerState;
  /** Time of the last frame from the peer in milliseconds since the epoch; 0 before the first. */
  lastReceivedAt(): number;
  /** Suspects or disconnects a peer that has been silent for too long; has to be called at regular intervals. */
  checkSilence(): void;
  /** Bytes of all frames sent so far. */
  bytesSent(): number;
  /** Bytes of all frames received so far. */
  bytesReceived(): number;
  /** Calls the peer; fails with `not-connected` at once while the link is not open. */
  call<Request, Reply>(
    definition: PeerCall<Request, Reply>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerFailure, Reply>>;
  /** Closes the connection for good; pending calls fail with `cut`. */
  close(): void;
}

/** Options of a link. */
export interface PeerLinkOptions {
  /** Identifier of the peer; with `acceptsAnyEntry` any text that names it in messages. */
  readonly peerId: string;
  /** Whether any entry may listen at the address; used for seeds, whose entry identifiers are not in the settings. */
  readonly acceptsAnyEntry?: boolean;
  /** `IP:port` where the peer listens. */
  readonly address: string;
  /** First frame on each connection, which identifies this entry. */
  readonly hello: Frame;
  /** Called when the state changed. */
  onState(state: PeerState): void;
  /** Called for each heartbeat of the peer; without `reports` when they are unchanged since the last heartbeat. */
  onHeartbeat(reports?: Readonly<Record<string, number>>): void;
}

const handshakeMilliseconds = 1_000;
const reconnectMilliseconds = 200;
/**
 * Delay before the first reconnect after a lost connection; short, because a refused one shows that the peer has
 * ended.
 */
const firstReconnectMilliseconds = 20;
/** Silence in milliseconds after which a peer is suspected. */
export const suspectMilliseconds = 1_000;
/** Silence in milliseconds after which the connection is closed and opened again. */
const disconnectMilliseconds = 3_000;
const maximumFrameBytes = 4_194_304;
/** Header (2 bytes) and mask (4 bytes) of a short WebSocket frame from a client; longer frames are undercounted. */
const frameOverheadBytes = 6;

/**
 * Creates a link and starts to connect.
 * @param options - the peer, the first frame and the callbacks
 * @returns the link
 */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  return new WebSocketPeerLink(options);
}

/** A link over WebSocket that reconnects until it is closed. */
class WebSocketPeerLink implements PeerLink {
  readonly peerId: string;
  readonly #options: PeerLinkOptions;
  readonly #stop = new AbortController();
  readonly #pending: PendingCalls;
  readonly #silence = createSilenceClock(suspectMilliseconds);
  #socket: WebSocket | undefined;
  /** Whether the expected peer has sent its first heartbeat on the current connection. */
  #isIdentified = false;
  #state: PeerState = "connecting";
  #lastReceivedAt = 0;
  #bytesSent = 0;
  #bytesReceived = 0;

  constructor(options: PeerLinkOptions) {
    this.peerId = options.peerId;
    this.#options = options;
    this.#pending = createPendingCalls(options.peerId);
    void this.#run();
  }

  state(): PeerState {
    return this.#state;
  }

  lastReceivedAt(): number {
    return this.#lastReceivedAt;
  }

  bytesSent(): number {
    return this.#bytesSent;
  }

  bytesReceived(): number {
    return this.#bytesReceived;
  }

  async call<Request, Reply>(
    definition: PeerCall<Request, Reply>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerFailure, Reply>> {
    if (this.#socket?.readyState !== WebSocket.OPEN || !this.#isIdentified) {
      return Left({ kind: "not-connected", message: `${this.peerId} is not connected` });
    }
    const { id, result } = this.#pending.open(timeoutMilliseconds);
    this.#send({ kind: "call", id, name: definition.name, body: request });
    return decodeReply(definition, await result);
  }

  close(): void {
    this.#stop.abort();
    this.#socket?.terminate();
    this.#pending.failAll();
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#connectOnce();
      const wait = this.#isIdentified ? firstReconnectMilliseconds : reconnectMilliseconds;
      await delay(wait, this.#stop.signal);
    }
  }

  async #connectOnce(): Promise<void> {
    const socket = openSocket(this.#options.address);
    this.#socket = socket;
    this.#isIdentified = false;
    this.#silence.reset();
    socket.on("open", () => {
      this.#silence.reset();
      this.#send(this.#options.hello);
    });
    socket.on("message", (data) => {
      this.#receive(socket, data);
    });
    socket.on("error", (error: Error & { code?: string }) => {
      this.#setState(error.code === "ECONNREFUSED" ? "gone" : "unreachable");
    });
    await new Promise<void>((resolve) => {
      socket.on("close", () => {
        resolve();
      });
    });
    this.#pending.failAll();
    if (this.#state === "up" || this.#state === "suspect") this.#setState("unreachable");
  }

  #send(frame: Frame): void {
    if (this.#socket?.readyState !== WebSocket.OPEN) return;
    const bytes = pack(frame);
    this.#bytesSent += bytes.length + frameOverheadBytes;
    this.#socket.send(bytes);
  }

  #receive(socket: WebSocket, data: WebSocket.RawData): void {
    this.#bytesReceived += frameBytes(data) + frameOverheadBytes;
    const decoded = decodeFrame(data);
    decoded.ifRight((frame) => {
      if (frame.kind === "heartbeat") this.#handleHeartbeat(socket, frame);
    });
    if (!this.#isIdentified || socket.readyState !== WebSocket.OPEN) return;
    if (decoded.map(({ kind }) => kind).extract() === "alive") this.#options.onHeartbeat();
    this.#lastReceivedAt = Date.now();
    this.#silence.reset();
    this.#setState("up");
    decoded.ifRight(this.#pending.settle);
  }

  #handleHeartbeat(socket: WebSocket, frame: Frame & { kind: "heartbeat" }): void {
    if (frame.entryId !== this.peerId && this.#options.acceptsAnyEntry !== true) {
      // Another entry listens at the address now, so the peer's process has ended.
      this.#setState("gone");
      socket.terminate();
      return;
    }
    this.#isIdentified = true;
    this.#options.onHeartbeat(frame.reports);
  }

  checkSilence(): void {
    const silentMilliseconds = this.#silence.check();
    const socket = this.#socket;
    if (socket?.readyState !== WebSocket.OPEN) return;
    if (silentMilliseconds > disconnectMilliseconds) socket.terminate();
    else if (silentMilliseconds > suspectMilliseconds && this.#state === "up") this.#setState("suspect");
  }

  #setState(next: PeerState): void {
    if (this.#state === next) return;
    this.#state = next;
    // A state change caused by closing the link says nothing about the peer.
    if (!this.#stop.signal.aborted) this.#options.onState(next);
  }
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
