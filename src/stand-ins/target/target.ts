/**
 * Stand-in for a target instance: a few slots, seeded run times, a count of every run.
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { notStartedHeader, requestIdHeader } from "../../forwarding/index.js";
import {
  createHttpService,
  createRandom,
  delay,
  parseWith,
  readBody,
  sendJson,
  type HttpService,
  type Random,
} from "../../shared/index.js";
import { createTargetFaults, targetFaultsSchema, type TargetFaults } from "./faults.js";
import { createRunSlots, type RunSlots } from "./run-slots.js";

/** Settings of a target. */
export interface TargetStandInOptions {
  readonly instanceId: string;
  readonly host?: string;
  readonly port?: number;
  readonly slots?: number;
  readonly connections?: number;
  /** Mean of the exponential run times. */
  readonly meanRunMilliseconds: number;
  readonly seed: number;
}

/** What a target did so far. */
export interface TargetCounts {
  readonly started: number;
  readonly finished: number;
  /** Runs that lost their connection before they ended. */
  readonly abandoned: number;
  readonly overSlots: number;
  readonly highest: number;
  readonly lastStartedAt: number;
  readonly reboots: number;
  /** Runs that a reboot cut. */
  readonly cutByReboots: number;
  /** Runs by request identifier. */
  readonly runs: Readonly<Record<string, number>>;
  /** Runs by idempotency key. */
  readonly runsByKey: Readonly<Record<string, number>>;
}

/** A running target. */
export interface TargetStandIn {
  readonly instanceId: string;
  /** `IP:port`. */
  readonly address: string;
  readonly faults: TargetFaults;
  counts(): TargetCounts;
  /** Cuts all connections and stops. */
  close(): Promise<void>;
}

const defaultSlots = 8;
const defaultConnections = 64;
const maximumBodyBytes = 16_777_216;
const bodyTimeoutMilliseconds = 30_000;
const rebootMilliseconds = 200;

interface TargetState {
  readonly options: TargetStandInOptions;
  readonly slots: RunSlots;
  readonly random: Random;
  readonly faults: TargetFaults;
  readonly runs: Map<string, number>;
  readonly runsByKey: Map<string, number>;
  readonly sockets: Set<Socket>;
  started: number;
  finished: number;
  abandoned: number;
  lastStartedAt: number;
  reboots: number;
  /** Runs that a reboot cut. */
  cutByReboots: number;
}

/**
 * Starts a target.
 * @param options - identity, size and run times
 * @returns the running target
 */
export async function startTargetStandIn(options: TargetStandInOptions): Promise<TargetStandIn> {
  const state: TargetState = {
    options,
    slots: createRunSlots(options.slots ?? defaultSlots),
    random: createRandom(options.seed),
    faults: createTargetFaults(),
    runs: new Map(),
    runsByKey: new Map(),
    sockets: new Set(),
    started: 0,
    finished: 0,
    abandoned: 0,
    lastStartedAt: 0,
    reboots: 0,
    cutByReboots: 0,
  };
  const service = createHttpService();
  service.listener.on("connection", (socket) => {
    state.sockets.add(socket);
    socket.once("close", () => state.sockets.delete(socket));
  });
  service.listener.maxConnections = options.connections ?? defaultConnections;
  addControlRoutes(service, state);
  addRebootRoute(service, state);
  service.routes.all("/services/:service/:operation", async (request, response) => {
    await runRequest(state, request, response);
  });
  const host = options.host ?? "127.0.0.1";
  const port = await service.listen(host, options.port ?? 0);
  return {
    instanceId: options.instanceId,
    address: `${host}:${port}`,
    faults: state.faults,
    counts: () => readCounts(state),
    close: async () => {
      const closed = service.close();
      service.abort();
      await closed;
    },
  };
}

async function runRequest(
  state: TargetState,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const requestId = readHeader(request, requestIdHeader);
  const body = await readBody(request, maximumBodyBytes, bodyTimeoutMilliseconds);
  if (body.isLeft()) {
    response.destroy();
    return;
  }
  if (state.faults.refuseAll) {
    const headers = { [notStartedHeader]: "true", [requestIdHeader]: requestId, "retry-after": "1" };
    sendJson(response, 503, { error: "not started" }, headers);
    return;
  }
  await state.slots.take();
  countStart(state, requestId, readHeader(request, "idempotency-key"));
  const gone = new AbortController();
  response.on("close", () => {
    gone.abort();
  });
  if (!state.faults.failAll)
    await delay(state.random.exponential(state.options.meanRunMilliseconds), gone.signal);
  if (state.faults.lateMilliseconds > 0) await delay(state.faults.lateMilliseconds, gone.signal);
  state.slots.free();
  if (response.destroyed) state.abandoned += 1;
  else answer(state, response, requestId, body.orDefault(Buffer.alloc(0)));
}

function countStart(state: TargetState, requestId: string, key: string): void {
  state.started += 1;
  state.lastStartedAt = Date.now();
  state.runs.set(requestId, (state.runs.get(requestId) ?? 0) + 1);
  if (key !== "") state.runsByKey.set(key, (state.runsByKey.get(key) ?? 0) + 1);
}

function answer(state: TargetState, response: ServerResponse, requestId: string, body: Buffer): void {
  const { faults, options } = state;
  state.finished += 1;
  if (takeOne(faults, "dropAnswers")) {
    response.destroy();
    return;
  }
  const status = faults.failAll ? 500 : 200;
  const answeredId = takeOne(faults, "crossAnswers") ? `other-${requestId}` : requestId;
  const answeredBody = answeredId === requestId ? body : Buffer.from(`body of ${answeredId}`);
  const digest = createHash("sha256").update(answeredBody).digest("hex");
  const padding = "x".repeat(faults.paddingBytes);
  const content = {
    instanceId: options.instanceId,
    requestId: answeredId,
    digest,
    ...(padding === "" ? {} : { padding }),
  };
  if (!takeOne(faults, "cutAnswers")) {
    sendJson(response, status, content, { [requestIdHeader]: answeredId });
    return;
  }
  const bytes = Buffer.from(JSON.stringify(content));
  response.writeHead(status, { "content-length": String(bytes.length), [requestIdHeader]: answeredId });
  response.write(bytes.subarray(0, bytes.length / 2), () => {
    response.destroy();
  });
}

function takeOne(faults: TargetFaults, name: "dropAnswers" | "crossAnswers" | "cutAnswers"): boolean {
  if (faults[name] === 0) return false;
  faults[name] -= 1;
  return true;
}

function addControlRoutes(service: HttpService, state: TargetState): void {
  service.routes.get("/counts", (_request, response) => {
    sendJson(response, 200, readCounts(state));
  });
  service.routes.post("/faults", async (request, response) => {
    const body = await readBody(request, maximumBodyBytes, bodyTimeoutMilliseconds);
    const text = body.orDefault(Buffer.from("null")).toString("utf8");
    parseWith(targetFaultsSchema, JSON.parse(text)).caseOf({
      Left: (problems) => {
        sendJson(response, 400, problems);
      },
      Right: (values) => {
        Object.assign(state.faults, values);
        sendJson(response, 200, state.faults);
      },
    });
  });
}

/** Cuts every connection, as a reboot does, and answers when the target serves again. */
function addRebootRoute(service: HttpService, state: TargetState): void {
  service.routes.post("/reboot", async (request, response) => {
    state.reboots += 1;
    state.cutByReboots += state.slots.running();
    const own = request.socket;
    const refuse = (socket: Socket): void => {
      socket.destroy();
    };
    service.listener.on("connection", refuse);
    for (const socket of state.sockets) if (socket !== own) socket.destroy();
    await delay(rebootMilliseconds);
    service.listener.off("connection", refuse);
    sendJson(response, 200, { rebooted: true });
  });
}

function readCounts(state: TargetState): TargetCounts {
  const { started, finished, abandoned, lastStartedAt, reboots, cutByReboots, slots } = state;
  return {
    reboots,
    cutByReboots,
    started,
    finished,
    abandoned,
    lastStartedAt,
    overSlots: slots.overSlots(),
    highest: slots.highest(),
    runs: Object.fromEntries(state.runs),
    runsByKey: Object.fromEntries(state.runsByKey),
  };
}

function readHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return Array.isArray(value) ? (value[0] ?? "") : (value ?? "");
}
