/**
 * Takes one answer off a connection and decides whether it is whole and belongs to its request.
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { errors, type Dispatcher } from "undici";
import {
  notStartedHeader,
  requestIdHeader,
  type ExchangeResult,
  type TargetRequest,
  type UnknownReason,
} from "./messages.js";

const serviceUnavailable = 503;
const tooManyRequests = 429;
const noContent = 204;
const notModified = 304;
const firstFinalStatus = 200;
const notConnectedCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ENETDOWN"]);

/** Reads the answer to one request. The connection is destroyed when the result is not `answered`. */
export class AnswerReader implements Dispatcher.DispatchHandler {
  readonly #request: TargetRequest;
  readonly #maximumBytes: number;
  readonly #finish: (result: ExchangeResult) => void;
  readonly #chunks: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #givenUp: UnknownReason | undefined;
  #status = 0;
  #headers: IncomingHttpHeaders = {};
  #size = 0;

  /**
   * Creates a reader.
   * @param request - what is sent
   * @param maximumBytes - larger answers are given up
   * @param finish - called with the result; only the first call counts
   */
  constructor(request: TargetRequest, maximumBytes: number, finish: (result: ExchangeResult) => void) {
    this.#request = request;
    this.#maximumBytes = maximumBytes;
    this.#finish = finish;
  }

  /**
   * Gives the exchange up and destroys its connection.
   * @param reason - why
   */
  giveUp(reason: UnknownReason): void {
    this.#givenUp ??= reason;
    if (this.#controller === undefined) {
      // Nothing was written: onRequestStart comes before the first byte and finds the request given up.
      this.#finish({ kind: "not-started", reason: "not-sent" });
      return;
    }
    this.#controller.abort(new errors.RequestAbortedError(reason));
    this.#finish({ kind: "unknown", reason: this.#givenUp });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    const isRepeated = this.#controller !== undefined;
    if (this.#givenUp !== undefined || isRepeated) {
      controller.abort(new errors.RequestAbortedError("given up"));
      if (isRepeated) this.#finish({ kind: "unknown", reason: "cut" });
      return;
    }
    this.#controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < firstFinalStatus) return;
    this.#status = status;
    this.#headers = headers;
    if (headers[requestIdHeader] !== this.#request.requestId) this.giveUp("mismatched");
    else if (!this.#isFramed()) this.giveUp("cut");
    else if (Number(headers["content-length"] ?? 0) > this.#maximumBytes) this.giveUp("oversized");
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    if (this.#size > this.#maximumBytes) this.giveUp("oversized");
  }

  onResponseEnd(): void {
    const expected = this.#headers["content-length"];
    const isWhole = this.#hasNoBody() || expected === undefined || Number(expected) === this.#size;
    if (!isWhole) {
      this.giveUp("cut");
      return;
    }
    const status = this.#status;
    const isRefusal = status === serviceUnavailable || status === tooManyRequests;
    if (isRefusal && this.#headers[notStartedHeader] === "true") {
      this.#finish({ kind: "not-started", reason: "refused-by-target" });
      return;
    }
    const headers = Object.fromEntries(
      Object.entries(this.#headers).flatMap(([name, value]) => (value === undefined ? [] : [[name, value]])),
    );
    this.#finish({
      kind: "answered",
      answer: { status, headers, body: Buffer.concat(this.#chunks, this.#size) },
    });
  }

  onResponseError(_controller: Dispatcher.DispatchController | null, error: Error): void {
    if (this.#controller !== undefined) {
      this.#finish({ kind: "unknown", reason: this.#givenUp ?? "cut" });
      return;
    }
    const { code = "" } = error as { code?: string };
    const isNotConnected = notConnectedCodes.has(code) || error instanceof errors.ConnectTimeoutError;
    this.#finish({ kind: "not-started", reason: isNotConnected ? "not-connected" : "not-sent" });
  }

  /** Tells whether the end of the answer can be told from a lost connection. */
  #isFramed(): boolean {
    const { "content-length": length, "transfer-encoding": encoding } = this.#headers;
    return this.#hasNoBody() || length !== undefined || /\bchunked\s*$/i.test(encoding ?? "");
  }

  #hasNoBody(): boolean {
    return this.#request.method === "HEAD" || this.#status === noContent || this.#status === notModified;
  }
}
