/**
 * HTTP interface of the key-value stand-in: the part of the etcd v3 JSON gateway that this project's clients use.
 * @packageDocumentation
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { z } from "zod";
import {
  decodeText,
  encodeText,
  leaseGrantRequestSchema,
  leaseRequestSchema,
  rangeRequestSchema,
  transactionRequestSchema,
  watchRequestSchema,
} from "../../store/etcd-messages.js";
import {
  createHttpService,
  delay,
  parseWith,
  readBody,
  sendJson,
  type HttpService,
} from "../../shared/index.js";
import { createStoreEngine, type EngineChange, type EngineRecord, type StoreEngine } from "./engine.js";
import { createStoreFaults, storeFaultsSchema, type StoreFaults } from "./faults.js";

/** A running key-value stand-in. */
export interface StoreStandIn {
  readonly address: string;
  readonly engine: StoreEngine;
  readonly faults: StoreFaults;
  /** Closes all connections and stops listening. */
  close(): Promise<void>;
}

const maximumBodyBytes = 2_000_000;
const bodyTimeoutMilliseconds = 10_000;

/**
 * Starts the key-value stand-in.
 * @param host - an IP address of this machine
 * @param port - the port, 0 for any free one
 * @returns the running stand-in
 */
export async function startStoreStandIn(host = "127.0.0.1", port = 0): Promise<StoreStandIn> {
  const engine = createStoreEngine();
  const faults = createStoreFaults();
  const service = createHttpService();
  addReadRoutes(service, engine, faults);
  addWriteRoutes(service, engine, faults);
  addWatchRoute(service, engine, faults);
  addControlRoutes(service, engine, faults);
  const usedPort = await service.listen(host, port);
  return {
    address: `http://${host}:${usedPort}`,
    engine,
    faults,
    close: async () => {
      engine.close();
      const closed = service.close();
      service.abort();
      await closed;
    },
  };
}

type Handler<Input> = (input: Input, response: ServerResponse) => void;

function addCall<Input>(
  service: HttpService,
  faults: StoreFaults,
  path: string,
  schema: z.ZodType<Input>,
  handler: Handler<Input>,
): void {
  service.routes.post(path, async (request, response) => {
    if (!(await passFaults(faults, request, response))) return;
    const body = await readBody(request, maximumBodyBytes, bodyTimeoutMilliseconds);
    const text = body.map((bytes) => bytes.toString("utf8")).orDefault("");
    parseWith(schema, parseJson(text)).caseOf({
      Left: (problems) => {
        sendJson(response, 400, { code: 3, message: JSON.stringify(problems) });
      },
      Right: (input) => {
        handler(input, response);
      },
    });
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

async function passFaults(
  faults: StoreFaults,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<boolean> {
  if (faults.delayMilliseconds > 0) await delay(faults.delayMilliseconds);
  if (faults.mode === "up") return true;
  if (faults.mode === "refusing") sendJson(response, 503, { code: 14, message: "unavailable" });
  else request.socket.destroy();
  return false;
}

function addReadRoutes(service: HttpService, engine: StoreEngine, faults: StoreFaults): void {
  addCall(service, faults, "/v3/kv/range", rangeRequestSchema, ({ key, range_end: end }, response) => {
    const records = engine.range(decodeText(key), end === undefined ? undefined : decodeText(end));
    sendJson(response, 200, { header: header(engine), kvs: records.map(encodeRecord) });
  });
}

function addWriteRoutes(service: HttpService, engine: StoreEngine, faults: StoreFaults): void {
  addCall(service, faults, "/v3/kv/txn", transactionRequestSchema, (input, response) => {
    const key = decodeText(input.compare[0]?.key ?? "");
    const put = input.success[0]?.request_put;
    const succeeded = engine.write({
      key,
      value: put === undefined ? undefined : decodeText(put.value),
      expectedRevision: input.compare[0]?.mod_revision ?? 0,
      leaseId: put?.lease,
    });
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      response.socket?.destroy();
      return;
    }
    const responses = succeeded ? [] : [{ response_range: { kvs: engine.range(key).map(encodeRecord) } }];
    sendJson(response, 200, { header: header(engine), succeeded, responses });
  });
  addCall(service, faults, "/v3/lease/grant", leaseGrantRequestSchema, ({ TTL }, response) => {
    sendJson(response, 200, { header: header(engine), ID: engine.grantLease(TTL * 1_000), TTL: String(TTL) });
  });
  addCall(service, faults, "/v3/lease/keepalive", leaseRequestSchema, ({ ID }, response) => {
    const seconds = Math.ceil(engine.renewLease(ID) / 1_000);
    sendJson(response, 200, { result: { header: header(engine), ID, TTL: String(seconds) } });
  });
  addCall(service, faults, "/v3/lease/revoke", leaseRequestSchema, ({ ID }, response) => {
    const stood = engine.revokeLease(ID);
    sendJson(response, stood ? 200 : 404, { header: header(engine) });
  });
}

function addWatchRoute(service: HttpService, engine: StoreEngine, faults: StoreFaults): void {
  addCall(service, faults, "/v3/watch", watchRequestSchema, ({ create_request: create }, response) => {
    response.writeHead(200, { "content-type": "application/json" });
    const send = (result: unknown): void => {
      response.write(`${JSON.stringify({ result })}\n`);
    };
    send({ header: header(engine), created: true });
    const stop = engine.watch(
      decodeText(create.key),
      decodeText(create.range_end ?? create.key),
      create.start_revision,
      (change) => {
        if (faults.muteWatches) return;
        if (faults.mode === "up") send({ header: header(engine), events: [encodeChange(change)] });
        else response.destroy();
      },
    );
    response.on("close", stop);
  });
}

function addControlRoutes(service: HttpService, engine: StoreEngine, faults: StoreFaults): void {
  service.routes.get("/counts", (_request, response) => {
    sendJson(response, 200, engine.counts);
  });
  service.routes.post("/faults", async (request, response) => {
    const body = await readBody(request, maximumBodyBytes, bodyTimeoutMilliseconds);
    const change = parseWith(storeFaultsSchema, parseJson(body.orDefault(Buffer.from("")).toString()));
    change.caseOf({
      Left: (problems) => {
        sendJson(response, 400, problems);
      },
      Right: (values) => {
        Object.assign(faults, values);
        sendJson(response, 200, faults);
      },
    });
  });
}

function header(engine: StoreEngine): { revision: string } {
  return { revision: String(engine.revision()) };
}

function encodeRecord(record: EngineRecord): unknown {
  return {
    key: encodeText(record.key),
    value: encodeText(record.value),
    mod_revision: String(record.revision),
    lease: record.leaseId ?? "0",
  };
}

function encodeChange(change: EngineChange): unknown {
  const kv = {
    key: encodeText(change.key),
    value: encodeText(change.value ?? ""),
    mod_revision: String(change.revision),
  };
  return { type: change.value === undefined ? "DELETE" : "PUT", kv };
}
