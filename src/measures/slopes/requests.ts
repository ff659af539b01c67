/**
 * Slopes of the request path of an entry: processor time of one request by the pool's instances.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { ROOT_CONTEXT } from "@opentelemetry/api";
import { checkConfiguration } from "../../configuration/index.js";
import { createExecutor, type CallerRequest, type Claims, type Executor } from "../../execution/index.js";
import type { TargetExchange } from "../../forwarding/index.js";
import { IndependentAllocator } from "../../routing/index.js";
import { sendTurn } from "../../demo/demand.js";
import { createRandom } from "../../shared/index.js";
import { startFleet } from "../../stand-ins/index.js";
import { createMetrics, createTracing } from "../../telemetry/index.js";
import type { Figure } from "../measure.js";
import { measureProcessorTime } from "./cost.js";
import { describeSeries, type Point } from "./fit.js";
import { fillView } from "./placement.js";

const poolInstances = [8, 64, 413] as const;
const requests = 10_000;
const slotsPerTarget = 8;
const fleetTargets = 8;
const meanRunMilliseconds = 20;
const requestRates = [100, 200, 400] as const;
const turn = { seconds: 3, timeoutMilliseconds: 5_000 };
const deadlineMilliseconds = 60_000;
const ok = 200;
/** Idempotent operations take no claim. */
const noClaims: Claims = {
  entryId: "entry-1",
  take: async () => Promise.resolve({ kind: "unavailable" }),
  settle: async () => Promise.resolve(),
  flush: async () => Promise.resolve(),
};

/**
 * Measures slot choice, tracing and metrics of a request; HTTP on both sides is left out.
 * @param seed - seed of the routing
 * @returns the figures
 */
export async function measureRequestSlopes(seed: number): Promise<Figure[]> {
  const points: Point[] = [];
  for (const size of poolInstances) {
    const { mirror, view } = await fillView(size, 1);
    const allocator = new IndependentAllocator({ view, random: createRandom(seed), slotsPerTarget });
    const parts = { metrics: createMetrics(), tracing: createTracing(undefined) };
    const executor = createExecutor({
      allocator,
      exchange: createInstantExchange(),
      claims: noClaims,
      ...parts,
    });
    points.push({ size, cost: await measureExecutor(executor) });
    allocator.close();
    await parts.tracing.close();
    mirror.close();
  }
  return describeSeries(
    { name: "request without HTTP, processor time", unit: "µs", per: "instance of its pool" },
    points,
  );
}

/**
 * Measures whole requests over HTTP through one entry. Callers, balancer, targets and store run in the same process
 * and are counted, so that the slope is an upper bound for the entry.
 * @param seed - seed of the demand
 * @returns the figures
 */
export async function measureFleetSlopes(seed: number): Promise<Figure[]> {
  const example = new URL("../../../examples/agency/text.json", import.meta.url);
  const configuration: unknown = JSON.parse(await readFile(example, "utf8"));
  const targets = { quotes: fleetTargets };
  const fleet = await startFleet({
    text: configuration,
    targets,
    entries: 1,
    zones: 1,
    meanRunMilliseconds,
    seed,
  });
  const points: Point[] = [];
  await sendTurn(fleet.balancer.address, { ...turn, requestsPerSecond: 400, seed });
  for (const requestsPerSecond of requestRates) {
    const before = process.cpuUsage();
    await sendTurn(fleet.balancer.address, { ...turn, requestsPerSecond, seed });
    const { user, system } = process.cpuUsage(before);
    points.push({ size: requestsPerSecond, cost: (user + system) / turn.seconds });
  }
  await fleet.close();
  return describeSeries(
    { name: "requests over HTTP, whole process, processor time each second", unit: "µs", per: "request/s" },
    points,
  );
}

async function measureExecutor(executor: Executor): Promise<number> {
  const { signal } = new AbortController();
  const request = createRequest();
  return measureProcessorTime(requests, async () => {
    await executor.run({ ...request, deadlineAt: Date.now() + deadlineMilliseconds }, signal);
  });
}

function createInstantExchange(): TargetExchange {
  const answer = { status: ok, headers: {}, body: Buffer.from("{}") };
  return {
    send: async () => Promise.resolve({ kind: "answered", answer }),
    close: async () => Promise.resolve(),
  };
}

function createRequest(): CallerRequest {
  const configuration = checkConfiguration({
    version: 1,
    pools: [{ name: "pool-0", minimumInstances: 1 }],
    services: [
      {
        name: "quotes",
        pool: "pool-0",
        availability: { objective: 0.999 },
        deadlineMilliseconds,
        operations: [{ name: "quote", idempotent: true }],
      },
    ],
  }).unsafeCoerce();
  const [service] = configuration.services;
  const [operation] = service?.operations ?? [];
  if (service === undefined || operation === undefined) throw new Error("the text has no operation");
  const target = {
    requestId: "request-1",
    method: "POST" as const,
    path: "/",
    headers: {},
    body: Buffer.from("{}"),
  };
  return {
    service,
    operation,
    team: "plants",
    urgency: "normal",
    deadlineAt: 0,
    idempotencyKey: undefined,
    target,
    trace: ROOT_CONTEXT,
  };
}
