/**
 * A whole session with every daemon as a process of its own, against its golden file.
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import { afterAll, expect, test } from "vitest";
import type { TargetCounts } from "../stand-ins/index.js";
import { getJson, postJson, startSession, waitFor, type Session } from "./processes.js";

const requestCount = 200;
const batchSize = 16;
let session: Session | undefined;

async function sendRequest(balancer: string, index: number): Promise<string> {
  const body = `request number ${index}`;
  const response = await fetch(`${balancer}/services/quotes/quote`, { method: "POST", body });
  const answer = (await response.json()) as { requestId?: string; digest?: string };
  const digest = createHash("sha256").update(body).digest("hex");
  const own = answer.digest === digest && answer.requestId === response.headers.get("x-request-id");
  const outcome = response.headers.get("x-outcome") ?? "none";
  return `request ${index}: status ${response.status}, ${outcome}, own whole answer ${own}`;
}

afterAll(async () => {
  await session?.end();
});

test(
  "a session of separate processes gives each request its own whole answer",
  { timeout: 60_000 },
  async () => {
    session = await startSession(2, 4);
    const { entries, targets, balancer } = session;
    const [first, second] = entries.map(({ started }) => `http://${started.operators ?? ""}/operator`);
    const operatorConfiguration = JSON.parse(
      await readFile(new URL("../../examples/agency/text.json", import.meta.url), "utf8"),
    ) as { services: { deadlineMilliseconds: number }[] };
    const lines: string[] = [];

    const apply = async (changeId: string, baseRevision: number): Promise<void> => {
      const change = { changeId, author: "test", baseRevision, text: operatorConfiguration };
      const { status, body } = await postJson(`${first ?? ""}/configuration`, change);
      lines.push(`apply ${changeId}: status ${status}, ${(body as { message: string }).message}`);
    };
    const statusOf = async (url: string | undefined) =>
      (await getJson(`${url ?? ""}/status`)) as {
        configuration: { revision: number };
        instances: { instanceId: string; pool: string; state: string }[];
      };
    const requestAddress = balancer.started.address ?? "";
    const sendMany = async (from: number, to: number): Promise<void> => {
      const numbers = Array.from({ length: to - from + 1 }, (_, offset) => from + offset);
      lines.push(...(await Promise.all(numbers.map(async (number) => sendRequest(requestAddress, number)))));
    };

    await apply("first", 0);
    await waitFor(async () => (await statusOf(second)).instances.length === targets.length);
    await waitFor(async () => (await fetch(`${requestAddress}/services/quotes/quote`, { method: "GET" })).ok);

    await sendMany(1, 20);
    const changed = operatorConfiguration.services[0];
    if (changed !== undefined) changed.deadlineMilliseconds = 4_000;
    await apply("second", 1);
    await apply("second", 1);
    await apply("too-late", 1);
    await waitFor(async () => (await statusOf(second)).configuration.revision === 2);
    lines.push("entry-2: revision 2 in force");

    await sendMany(21, 40);
    const move = await postJson(`${second ?? ""}/move`, {
      instanceId: "target-4",
      pool: "quotes",
      changeId: "m-1",
    });
    lines.push(`move target-4 to quotes: status ${move.status}`);
    await waitFor(async () =>
      (await statusOf(first)).instances.some(
        ({ instanceId, pool, state }) =>
          instanceId === "target-4" && pool === "quotes" && state === "serving",
      ),
    );
    lines.push("target-4: serving quotes");

    const sendInBatches = async (): Promise<void> => {
      for (let from = 41; from <= requestCount; from += batchSize) await sendMany(from, from + batchSize - 1);
    };
    const sending = sendInBatches();
    lines.push(`entry-1: exit code ${String(await entries[0]?.end("SIGTERM"))}`);
    await sending;

    const counts = await Promise.all(
      targets.map(
        async ({ started }) => (await getJson(`http://${started.address ?? ""}/counts`)) as TargetCounts,
      ),
    );
    const runs = counts.flatMap((count) => Object.values(count.runs));
    // One more request than the session sent: the one that found the balancer ready.
    lines.push(`runs: ${runs.length - 1}, most for one request ${Math.max(...runs)}`);

    expect(lines.filter((line) => line.startsWith("request "))).toHaveLength(requestCount);
    lines.sort((left, right) => left.localeCompare(right, "en", { numeric: true }));
    await expect(`${lines.join("\n")}\n`).toMatchFileSnapshot("golden/processes.txt");
  },
);
