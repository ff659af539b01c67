/**
 * Client of the key-value store over the etcd v3 JSON gateway.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { Agent, request, type Dispatcher } from "undici";
import type { z } from "zod";
import { parseWith } from "../shared/index.js";
import {
  decodeText,
  encodeText,
  leaseGrantResponseSchema,
  leaseKeepAliveResponseSchema,
  prefixEnd,
  rangeResponseSchema,
  transactionResponseSchema,
  watchResponseSchema,
  type keyValueSchema,
} from "./etcd-messages.js";
import type {
  ConditionalWrite,
  StoreClient,
  StoreFailure,
  StoreLease,
  StoreListing,
  StoreRecord,
  StoreWatch,
  WatchHandlers,
  WriteResult,
} from "./store.js";

/** Options of the client. */
export interface EtcdStoreClientOptions {
  /** Base address such as `http://127.0.0.1:2379`. */
  readonly address: string;
  /** Timeout of each call; watches have none. */
  readonly timeoutMilliseconds: number;
}

type KeyValue = z.infer<typeof keyValueSchema>;

/** Store client for the HTTP JSON gateway of etcd v3. */
export class EtcdStoreClient implements StoreClient {
  readonly #options: EtcdStoreClientOptions;
  readonly #agent = new Agent({ bodyTimeout: 0 });

  /**
   * Creates a client. It connects on the first call.
   * @param options - address and timeout
   */
  constructor(options: EtcdStoreClientOptions) {
    this.#options = options;
  }

  async get(key: string): Promise<Either<StoreFailure, StoreRecord | undefined>> {
    const response = await this.#call("/v3/kv/range", { key: encodeText(key) }, rangeResponseSchema);
    return response.map(({ kvs }) => (kvs[0] === undefined ? undefined : decodeRecord(kvs[0])));
  }

  async list(prefix: string): Promise<Either<StoreFailure, StoreListing>> {
    const body = { key: encodeText(prefix), range_end: encodeText(prefixEnd(prefix)) };
    const response = await this.#call("/v3/kv/range", body, rangeResponseSchema);
    return response.map(({ header, kvs }) => ({ records: kvs.map(decodeRecord), revision: header.revision }));
  }

  async compareAndSwap(write: ConditionalWrite): Promise<WriteResult> {
    const response = await this.#call("/v3/kv/txn", encodeWrite(write), transactionResponseSchema);
    return response.caseOf<WriteResult>({
      Left: (failure) => ({ kind: isProvenNotSent(failure) ? "not-done" : "unknown", failure }),
      Right: ({ header, succeeded, responses }) => {
        if (succeeded) return { kind: "done", revision: header.revision };
        const current = responses[0]?.response_range?.kvs[0];
        return { kind: "conflict", current: current === undefined ? undefined : decodeRecord(current) };
      },
    });
  }

  async grantLease(ttlSeconds: number): Promise<Either<StoreFailure, StoreLease>> {
    const response = await this.#call("/v3/lease/grant", { TTL: ttlSeconds }, leaseGrantResponseSchema);
    return response.map(({ ID, TTL }) => ({ leaseId: ID, ttlSeconds: TTL }));
  }

  async renewLease(leaseId: string): Promise<Either<StoreFailure, boolean>> {
    const response = await this.#call("/v3/lease/keepalive", { ID: leaseId }, leaseKeepAliveResponseSchema);
    return response.map(({ result }) => result.TTL > 0);
  }

  async revokeLease(leaseId: string): Promise<Either<StoreFailure, boolean>> {
    const { statusCode, failure } = await this.#post("/v3/lease/revoke", { ID: leaseId });
    if (failure !== undefined) return Left(failure);
    return Right(statusCode === 200);
  }

  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): StoreWatch {
    const abort = new AbortController();
    void this.#runWatch(prefix, fromRevision, handlers, abort.signal);
    return {
      close: () => {
        abort.abort();
      },
    };
  }

  /** Closes all connections; calls in progress fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call<Output>(
    path: string,
    body: unknown,
    schema: z.ZodType<Output>,
  ): Promise<Either<StoreFailure, Output>> {
    const { statusCode, text, failure } = await this.#post(path, body);
    if (failure !== undefined) return Left(failure);
    if (statusCode !== 200)
      return Left({ kind: "unavailable", message: `${path} returned status ${statusCode}` });
    return parseJson(text).chain((value) =>
      parseWith(schema, value).mapLeft((faults) => ({
        kind: "bad-answer" as const,
        message: `${path}: ${faults.map((fault) => `${fault.path} ${fault.message}`).join("; ")}`,
      })),
    );
  }

  async #post(
    path: string,
    body: unknown,
  ): Promise<{ statusCode: number; text: string; failure?: StoreFailure }> {
    const signal = AbortSignal.timeout(this.#options.timeoutMilliseconds);
    try {
      const response = await this.#open(path, body, signal);
      return { statusCode: response.statusCode, text: await response.body.text() };
    } catch (error) {
      return { statusCode: 0, text: "", failure: describeFailure(error, signal) };
    }
  }

  async #open(path: string, body: unknown, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    return request(`${this.#options.address}${path}`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
      dispatcher: this.#agent,
      signal,
    });
  }

  async #runWatch(
    prefix: string,
    fromRevision: number,
    handlers: WatchHandlers,
    signal: AbortSignal,
  ): Promise<void> {
    const body = {
      create_request: {
        key: encodeText(prefix),
        range_end: encodeText(prefixEnd(prefix)),
        start_revision: String(fromRevision),
      },
    };
    let failure: StoreFailure = { kind: "unavailable", message: "the watch ended" };
    try {
      const response = await this.#open("/v3/watch", body, signal);
      for await (const line of splitLines(response.body)) {
        if (!reportWatchLine(line, handlers)) break;
      }
    } catch (error) {
      failure = describeFailure(error, signal);
    }
    if (!signal.aborted) handlers.onBroken(failure);
  }
}

async function* splitLines(chunks: AsyncIterable<Buffer>): AsyncGenerator<string> {
  let incompleteLine = "";
  const decoder = new TextDecoder();
  for await (const chunk of chunks) {
    const lines = (incompleteLine + decoder.decode(chunk, { stream: true })).split("\n");
    incompleteLine = lines.pop() ?? "";
    yield* lines.filter((line) => line !== "");
  }
}

/** Reports the changes in one line of a watch response; returns false when the watch has to be opened again. */
function reportWatchLine(line: string, handlers: WatchHandlers): boolean {
  const message = parseJson(line).chain((value) => parseWith(watchResponseSchema, value));
  return message.caseOf({
    // A line that cannot be decoded may contain a change, so the watch is not continued past it.
    Left: () => false,
    Right: ({ result }) => {
      for (const { type, kv } of result.events) {
        const { key, value, revision } = decodeRecord(kv);
        handlers.onChange({ key, value: type === "DELETE" ? undefined : value, revision });
      }
      return result.canceled !== true;
    },
  });
}

function encodeWrite(write: ConditionalWrite): unknown {
  const key = encodeText(write.key);
  return {
    compare: [{ key, target: "MOD", result: "EQUAL", mod_revision: String(write.expectedRevision) }],
    success: [write.value === undefined ? { request_delete_range: { key } } : encodePut(key, write)],
    failure: [{ request_range: { key } }],
  };
}

function encodePut(key: string, { value, leaseId }: ConditionalWrite): unknown {
  const lease = leaseId === undefined ? {} : { lease: leaseId };
  return { request_put: { key, value: encodeText(JSON.stringify(value)), ...lease } };
}

function decodeRecord(kv: KeyValue): StoreRecord {
  const value = parseJson(decodeText(kv.value)).orDefault(undefined);
  return { key: decodeText(kv.key), value, revision: kv.mod_revision };
}

function parseJson(text: string): Either<StoreFailure, unknown> {
  try {
    return Right(JSON.parse(text) as unknown);
  } catch {
    return Left({ kind: "bad-answer", message: "the response is not JSON" });
  }
}

/**
 * Errors of connecting: they prove that the request was not sent, so a failed write is `not-done` and not `unknown`.
 */
const notSentCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

function describeFailure(error: unknown, signal: AbortSignal): StoreFailure {
  const { code, message } = error as { code?: string; message?: string };
  if (code !== undefined && notSentCodes.has(code)) {
    return { kind: "unavailable", message: `not connected: ${code}` };
  }
  if (signal.aborted) return { kind: "timeout", message: "no answer in time" };
  return { kind: "unavailable", message: code ?? message ?? "the connection failed" };
}

function isProvenNotSent(failure: StoreFailure): boolean {
  return failure.kind === "over-budget" || failure.message.startsWith("not connected: ");
}
