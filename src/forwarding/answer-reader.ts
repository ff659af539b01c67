/**
 * Reads one HTTP answer from a connection and checks that it is complete and belongs to its request.
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
const minimumFinalStatus = 200;
const notConnectedCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ENETDOWN"]);

/** Reads the answer to one request. The connection is destroyed when the result is not `answered`. */
export class AnswerReader implements Dispatcher.DispatchHandler {
  readonly #request: TargetRequest;
  readonly #maximumBytes: number;
  readonly #onResult: (result: ExchangeResult) => void;
  readonly #chunks: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #abortReason: UnknownReason | undefined;
  #status = 0;
  #headers: IncomingHttpHeaders = {};
  #size = 0;

  /**
   * Creates a reader.
   * @param request - the request whose answer is read
   * @param maximumBytes - an answer with a larger body is aborted as `oversized`
   * @param onResult - called with the result; may be called again, and must ignore all but the first call
   */
  constructor(request: TargetRequest, maximumBytes: number, onResult: (result: ExchangeResult) => void) {
    this.#request = request;
    this.#maximumBytes = maximumBytes;
    this.#onResult = onResult;
  }

  /**
   * Aborts the exchange and destroys its connection. The result is `not-sent` if nothing was written yet.
   * @param reason - reported as the result if the request may have been sent
   */
  abort(reason: UnknownReason): void {
    this.#abortReason ??= reason;
    if (this.#controller === undefined) {
      // Nothing was written: undici calls onRequestStart before the first byte, which then aborts the request.
      this.#onResult({ kind: "not-started", reason: "not-sent" });
      return;
    }
    this.#controller.abort(new errors.RequestAbortedError(reason));
    this.#onResult({ kind: "unknown", reason: this.#abortReason });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    const isRepeated = this.#controller !== undefined;
    if (this.#abortReason !== undefined || isRepeated) {
      controller.abort(new errors.RequestAbortedError("given up"));
      if (isRepeated) this.#onResult({ kind: "unknown", reason: "cut" });
      return;
    }
    this.#controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < minimumFinalStatus) return;
    this.#status = status;
    this.#headers = headers;
    if (headers[requestIdHeader] !== this.#request.requestId) this.abort("mismatched");
    else if (!this.#isFramed()) this.abort("cut");
    else if (Number(headers["content-length"] ?? 0) > this.#maximumBytes) this.abort("oversized");
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    if (this.#size > this.#maximumBytes) this.abort("oversized");
  }

  onResponseEnd(): void {
    const expected = this.#headers["content-length"];
    const isWhole = this.#hasNoBody() || expected === undefined || Number(expected) === this.#size;
    if (!isWhole) {
      this.abort("cut");
      return;
    }
    const status = this.#status;
    const isRefusal = status === serviceUnavailable || status === tooManyRequests;
    if (isRefusal && this.#headers[notStartedHeader] === "true") {
      this.#onResult({ kind: "not-started", reason: "refused-by-target" });
      return;
    }
    const headers = Object.fromEntries(
      Object.entries(this.#headers).flatMap(([name, value]) => (value === undefined ? [] : [[name, value]])),
    );
    this.#onResult({
      kind: "answered",
      answer: { status, headers, body: Buffer.concat(this.#chunks, this.#size) },
    });
  }

  onResponseError(_controller: Dispatcher.DispatchController | null, error: Error): void {
    if (this.#controller !== undefined) {
      this.#onResult({ kind: "unknown", reason: this.#abortReason ?? "cut" });
      return;
    }
    const { code = "" } = error as { code?: string };
    const isNotConnected = notConnectedCodes.has(code) || error instanceof errors.ConnectTimeoutError;
    this.#onResult({ kind: "not-started", reason: isNotConnected ? "not-connected" : "not-sent" });
  }

  /** Returns whether the end of the body can be distinguished from a lost connection. */
  #isFramed(): boolean {
    const { "content-length": length, "transfer-encoding": encoding } = this.#headers;
    return this.#hasNoBody() || length !== undefined || /\bchunked\s*$/i.test(encoding ?? "");
  }

  #hasNoBody(): boolean {
    return this.#request.method === "HEAD" || this.#status === noContent || this.#status === notModified;
  }
}
