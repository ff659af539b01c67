/**
 * Sends callers' requests to a fleet and compares what callers received with what targets did.
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import { Agent } from "undici";
import { createRandom, delay } from "../shared/index.js";
import type { Fleet, TargetCounts } from "../stand-ins/index.js";

/** One request of a session. */
export interface SessionRequest {
  readonly service: string;
  readonly operation: string;
  readonly body: string;
}

/** What a caller received. */
export interface ReceivedOutcome {
  readonly request: SessionRequest;
  /** `cut` when the connection ended without a whole answer. */
  readonly outcome: string;
  readonly status: number;
  readonly requestId: string;
  /** Whether the answer is whole and to this very request. */
  readonly own: boolean;
}

/** Demand of a session. */
export interface SessionDemand {
  readonly requests: readonly SessionRequest[];
  readonly meanGapMilliseconds: number;
  readonly seed: number;
}

/**
 * Sends requests one after the other with exponential gaps and waits for every answer.
 * @param balancer - address of the balancer
 * @param demand - what is sent
 * @returns what each caller received, in the order sent
 */
export async function sendSession(balancer: string, demand: SessionDemand): Promise<ReceivedOutcome[]> {
  const agent = new Agent({ connections: 200, headersTimeout: 0, bodyTimeout: 0 });
  const random = createRandom(demand.seed);
  const sent: Promise<ReceivedOutcome>[] = [];
  for (const request of demand.requests) {
    sent.push(sendRequest(agent, balancer, request));
    await delay(random.exponential(demand.meanGapMilliseconds));
  }
  const received = await Promise.all(sent);
  await agent.destroy();
  return received;
}

/** Breaches of what must hold, as far as a session shows them. */
export interface Breaches {
  /** Answered with a part or with another request's answer. */
  readonly foreignAnswers: number;
  /** Told that it was not run although a target ran it. */
  readonly untrueRefusals: number;
  /** Requests of operations that are not idempotent with more than one run. */
  readonly repeatedRuns: number;
  /** Neither answered nor refused. */
  readonly lost: number;
}

/**
 * Compares what callers received with what targets did.
 * @param fleet - the fleet
 * @param received - what callers received
 * @param isIdempotent - whether a request's operation may run twice
 * @returns the breaches
 */
export function findBreaches(
  fleet: Fleet,
  received: readonly ReceivedOutcome[],
  isIdempotent: (request: SessionRequest) => boolean,
): Breaches {
  const counts = fleet.targets.map((target) => target.counts());
  const answered = received.filter(({ outcome }) => outcome === "answered");
  const refused = received.filter(({ outcome }) => outcome === "refused");
  return {
    foreignAnswers: answered.filter(({ own }) => !own).length,
    untrueRefusals: refused.filter(({ requestId }) => countRuns(counts, requestId) > 0).length,
    repeatedRuns: received.filter(
      ({ request, requestId }) => !isIdempotent(request) && countRuns(counts, requestId) > 1,
    ).length,
    lost: received.length - answered.length - refused.length,
  };
}

function countRuns(counts: readonly TargetCounts[], requestId: string): number {
  return counts.reduce((sum, { runs }) => sum + (runs[requestId] ?? 0), 0);
}

async function sendRequest(
  agent: Agent,
  balancer: string,
  request: SessionRequest,
): Promise<ReceivedOutcome> {
  const { service, operation, body } = request;
  try {
    const response = await agent.request({
      origin: balancer,
      path: `/services/${service}/${operation}`,
      method: "POST",
      headers: { "x-timeout-ms": "4000" },
      body,
    });
    const answer = (await response.body.json()) as { requestId?: string; digest?: string };
    const requestId = String(response.headers["x-request-id"]);
    const digest = createHash("sha256").update(body).digest("hex");
    return {
      request,
      outcome: String(response.headers["x-outcome"] ?? "cut"),
      status: response.statusCode,
      requestId,
      own: answer.digest === digest && answer.requestId === requestId,
    };
  } catch {
    return { request, outcome: "cut", status: 0, requestId: "", own: false };
  }
}
