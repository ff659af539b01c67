/**
 * Demand of the demonstration: one service asks for several times what its pool holds.
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import { Agent } from "undici";
import { createRandom, delay } from "../shared/index.js";

/** A turn of demand. */
export interface Turn {
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly timeoutMilliseconds: number;
  readonly seed: number;
}

/** What a caller got. */
export interface CallerAnswer {
  readonly requestId: string;
  readonly outcome: string;
  /** Why the request was not answered, empty when it was. */
  readonly reason: string;
  readonly status: number;
  /** Whether an `answered` request got the whole answer to its own body. */
  readonly own: boolean;
  readonly milliseconds: number;
}

const millisecondsPerSecond = 1_000;
const connections = 512;

/**
 * Sends a turn of requests with exponential gaps and waits for every answer.
 * @param balancer - address of the balancer
 * @param turn - the demand
 * @returns the answers
 */
export async function sendTurn(balancer: string, turn: Turn): Promise<CallerAnswer[]> {
  const random = createRandom(turn.seed);
  const agent = new Agent({ connections, headersTimeout: 0, bodyTimeout: 0 });
  const startedAt = performance.now();
  const sent: Promise<CallerAnswer>[] = [];
  let due = 0;
  while (due < turn.seconds * millisecondsPerSecond) {
    const wait = startedAt + due - performance.now();
    if (wait > 1) await delay(wait);
    sent.push(sendOne(agent, balancer, sent.length, turn.timeoutMilliseconds));
    due += random.exponential(millisecondsPerSecond / turn.requestsPerSecond);
  }
  const answers = await Promise.all(sent);
  await agent.close();
  return answers;
}

async function sendOne(
  agent: Agent,
  balancer: string,
  index: number,
  timeoutMilliseconds: number,
): Promise<CallerAnswer> {
  const body = `panel run ${index}`;
  const startedAt = performance.now();
  const response = await agent.request({
    origin: balancer,
    path: "/services/quotes/quote",
    method: "POST",
    headers: { "x-timeout-ms": String(timeoutMilliseconds) },
    body,
  });
  const answer = (await response.body.json()) as { requestId?: string; digest?: string; reason?: string };
  const requestId = String(response.headers["x-request-id"]);
  const digest = createHash("sha256").update(body).digest("hex");
  return {
    requestId,
    outcome: String(response.headers["x-outcome"]),
    reason: answer.reason ?? "",
    status: response.statusCode,
    own: answer.digest === digest && answer.requestId === requestId,
    milliseconds: performance.now() - startedAt,
  };
}
