/**
 * Operators' HTTP interface of an entry: routes, authorization and responses.
 * @packageDocumentation
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Either } from "purify-ts";
import * as z from "zod";
import type { CapacityManager } from "../capacity/index.js";
import {
  applyChange,
  type AcceptedConfiguration,
  type ConfigurationKeeper,
  type InForceReport,
} from "../configuration/index.js";
import type { AvailabilityBudgets, WaveCommands } from "../maintenance/index.js";
import type { StoreClient } from "../store/index.js";
import type { PlacementCommands, PlacementFailure } from "../pools/index.js";
import { createHttpService, parseWith, readBody, sendJson, type HttpService } from "../shared/index.js";
import type { Metrics } from "../telemetry/index.js";
import { describeRecordFailure, type CommandAnswer, type CommandResult } from "./command-answer.js";
import {
  createHistoryOperations,
  describeApplyFailure,
  historyPaths,
  rollBackSchema,
} from "./history-routes.js";
import { createPlanReader, planPath } from "./plan-routes.js";
import type { EntryStatus } from "./status.js";
import { addWaveRoutes } from "./wave-routes.js";

/** Dependencies of the operators' interface. */
export interface OperatorServiceParts {
  readonly store: StoreClient;
  readonly configuration: ConfigurationKeeper;
  readonly rollOut: InForceReport;
  readonly placement: PlacementCommands;
  readonly waves: WaveCommands;
  readonly budgets: AvailabilityBudgets;
  readonly capacity: CapacityManager;
  readonly metrics: Metrics;
  /** Bearer token that operators' requests must present; when undefined, requests are not authenticated. */
  readonly token: string | undefined;
  /** Returns the entry's present state. */
  status(): EntryStatus;
}

/** Adds routes that require the operator token to the operators' interface. */
export interface OperatorRoutes {
  /** Adds a GET route; the response body is what `produce` returns, as JSON. */
  read(path: string, produce: () => unknown): void;
  /** Adds a POST route that checks the body against a schema and runs a command; a faulty body is `invalid`. */
  command<Input>(path: string, schema: z.ZodType<Input>, run: (input: Input) => Promise<CommandAnswer>): void;
}

const applySchema = z.strictObject({
  changeId: z.string().min(1).max(100),
  author: z.string().min(1).max(100),
  baseRevision: z.int().min(0),
  text: z.unknown(),
});
const moveSchema = z.strictObject({ instanceId: z.string(), pool: z.string(), changeId: z.string().min(1) });
const instanceSchema = z.strictObject({ instanceId: z.string(), changeId: z.string().min(1) });

/** A command whose body is larger, or takes longer to arrive, is answered as `invalid`. */
const maximumBodyBytes = 1_048_576;
const bodyTimeoutMilliseconds = 10_000;
const ok = 200;
const unauthorized = 401;
const statusOfResult: Readonly<Record<CommandResult, number>> = {
  done: 200,
  failed: 503,
  invalid: 400,
  conflict: 409,
  unknown: 504,
};

/**
 * Creates the operators' interface with all its routes.
 * @param parts - the parts of the entry that the routes read and change
 * @returns the HTTP service, not yet listening
 */
export function createOperatorService(parts: OperatorServiceParts): HttpService {
  const service = createHttpService();
  const routes = createRoutes(service, parts.token);
  const { configuration, metrics, waves, budgets } = parts;
  const services = (): readonly string[] =>
    configuration.current()?.text.services.map(({ name }) => name) ?? [];

  routes.read("/operator/status", () => parts.status());
  addConfigurationRoutes(routes, parts);
  addPlacementRoutes(routes, parts);
  addWaveRoutes(routes, { waves, budgets, services });
  routes.read(planPath, createPlanReader(parts.capacity));
  service.routes.get("/metrics", (request, response) => {
    if (!isAuthorized(request, parts.token)) {
      sendUnauthorized(response);
      return;
    }
    response.writeHead(ok, { "content-type": "text/plain; version=0.0.4" });
    response.end(metrics.expose());
  });
  return service;
}

function createRoutes(service: HttpService, token: string | undefined): OperatorRoutes {
  return {
    read: (path, produce) => {
      service.routes.get(path, async (request, response) => {
        if (isAuthorized(request, token)) sendJson(response, ok, await produce());
        else sendUnauthorized(response);
      });
    },
    command: (path, schema, run) => {
      service.routes.post(path, async (request, response) => {
        if (isAuthorized(request, token)) await runCommand(request, response, schema, run);
        else sendUnauthorized(response);
      });
    },
  };
}

function addConfigurationRoutes(routes: OperatorRoutes, parts: OperatorServiceParts): void {
  const { store, configuration } = parts;
  const history = createHistoryOperations(parts);
  routes.read("/operator/configuration", () => configuration.current() ?? null);
  routes.command("/operator/configuration", applySchema, async (change) => {
    const result = await applyChange(store, change);
    result.ifRight((accepted) => configuration.adopt(accepted));
    return describeApplyResult(result);
  });
  routes.read(historyPaths.history, async () => history.history());
  routes.read(historyPaths.rollOut, () => history.rollOut());
  routes.command(historyPaths.rollBack, rollBackSchema, async (request) => history.rollBack(request));
}

function addPlacementRoutes(
  routes: OperatorRoutes,
  { placement, configuration }: OperatorServiceParts,
): void {
  routes.command("/operator/move", moveSchema, async ({ instanceId, pool, changeId }) => {
    if (configuration.pool(pool) === undefined) {
      return { result: "invalid", message: `pool "${pool}" does not exist` };
    }
    return describePlacementResult(await placement.move(instanceId, pool, changeId));
  });
  routes.command("/operator/drain", instanceSchema, async ({ instanceId, changeId }) =>
    describePlacementResult(await placement.drain(instanceId, changeId)),
  );
  routes.command("/operator/restore", instanceSchema, async ({ instanceId, changeId }) =>
    describePlacementResult(await placement.restore(instanceId, changeId)),
  );
}

async function runCommand<Input>(
  request: IncomingMessage,
  response: ServerResponse,
  schema: z.ZodType<Input>,
  run: (input: Input) => Promise<CommandAnswer>,
): Promise<void> {
  const body = await readBody(request, maximumBodyBytes, bodyTimeoutMilliseconds);
  const input = parseWith(schema, parseJson(body.orDefault(Buffer.alloc(0)).toString("utf8")));
  const answer = await input.caseOf<Promise<CommandAnswer>>({
    Left: async (faults) =>
      Promise.resolve({
        result: "invalid",
        message: "the body of the command is not valid",
        details: faults,
      }),
    Right: run,
  });
  sendJson(response, statusOfResult[answer.result], answer);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function isAuthorized(request: IncomingMessage, token: string | undefined): boolean {
  if (token === undefined) return true;
  const authorization = request.headers.authorization ?? "";
  return timingSafeEqual(digest(authorization), digest(`Bearer ${token}`));
}

function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}

function sendUnauthorized(response: ServerResponse): void {
  const answer: CommandAnswer = { result: "invalid", message: "a valid operator token is required" };
  sendJson(response, unauthorized, answer, { "www-authenticate": "Bearer" });
}

function describeApplyResult(result: Awaited<ReturnType<typeof applyChange>>): CommandAnswer {
  return result.caseOf<CommandAnswer>({
    Left: describeApplyFailure,
    Right: (accepted: AcceptedConfiguration) => ({
      result: "done",
      message: `revision ${accepted.revision} was accepted`,
      details: { revision: accepted.revision, changeId: accepted.changeId },
    }),
  });
}

function describePlacementResult(result: Either<PlacementFailure, number>): CommandAnswer {
  return result.caseOf<CommandAnswer>({
    Left: describeRecordFailure,
    Right: (revision) => ({ result: "done", message: "recorded", details: { revision } }),
  });
}
