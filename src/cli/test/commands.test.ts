/**
 * Runs the built commands against a running fleet and checks their output and exit codes.
 * @packageDocumentation
 */
import { execFile } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterAll, beforeAll, expect, test } from "vitest";
import { startFleet, waitUntil, type Fleet } from "../../stand-ins/index.js";

// The built program, as users run it; `npm test` builds it first.
const main = fileURLToPath(new URL("../../../dist/cli/main.js", import.meta.url));
const configurationPath = fileURLToPath(new URL("../../../examples/agency/text.json", import.meta.url));
let fleet: Fleet;
let folder: string;
let configuration: { services: { pool: string }[] };

interface CommandRun {
  readonly code: number;
  readonly output: string;
}

async function run(...args: readonly string[]): Promise<CommandRun> {
  return new Promise((resolve) => {
    execFile(process.execPath, [main, ...args], (error, output, errors) => {
      resolve({ code: Number(error?.code ?? 0), output: output + errors });
    });
  });
}

async function onEntry(...args: readonly string[]): Promise<CommandRun> {
  return run(...args, "--entry", fleet.entries[0]?.addresses.operators ?? "");
}

beforeAll(async () => {
  configuration = JSON.parse(await readFile(configurationPath, "utf8")) as typeof configuration;
  folder = await mkdtemp(join(tmpdir(), "dogwoodhoist-"));
  fleet = await startFleet({
    text: configuration,
    targets: { quotes: 2, spare: 1 },
    entries: 1,
    zones: 1,
    meanRunMilliseconds: 5,
    seed: 1,
  });
});

afterAll(async () => {
  await fleet.close();
  await rm(folder, { recursive: true });
});

test("check accepts a valid configuration and reports the fault of an invalid one", async () => {
  const broken = join(folder, "broken.json");
  await writeFile(
    broken,
    JSON.stringify({ ...configuration, services: [{ ...configuration.services[0], pool: "nowhere" }] }),
  );
  const [valid, invalid] = await Promise.all([run("check", configurationPath), run("check", broken)]);
  expect(valid).toEqual({ code: 0, output: "the text is valid\n" });
  expect(invalid).toEqual({ code: 1, output: 'services[0].pool: pool "nowhere" does not exist\n' });
});

test("apply exits with 0 when done, 3 on a conflict, 2 on bad usage", async () => {
  const first = await onEntry("apply", configurationPath, "--base", "1", "--change-id", "c-2");
  const repeated = await onEntry("apply", configurationPath, "--base", "1", "--change-id", "c-2");
  const late = await onEntry("apply", configurationPath, "--base", "1", "--change-id", "c-3");
  const unusable = await onEntry("apply", configurationPath, "--base", "x");
  expect([first.code, repeated.code, late.code, unusable.code]).toEqual([0, 0, 3, 2]);
  expect(first.output).toBe("done: revision 2 was accepted\n");
  expect(late.output).toContain("conflict: the revision in force is 2");
});

test("a wrong token exits with the code for bad usage", async () => {
  const guarded = await startFleet({
    text: configuration,
    targets: { quotes: 1 },
    entries: 1,
    zones: 1,
    meanRunMilliseconds: 5,
    seed: 2,
    settings: { operatorToken: "a-secret-of-the-operators" },
  });
  const entry = guarded.entries[0]?.addresses.operators ?? "";
  const wrong = await run("status", "--entry", entry, "--token", "another-secret-of-theirs");
  const right = await run("status", "--entry", entry, "--token", "a-secret-of-the-operators");
  await guarded.close();
  expect(wrong).toEqual({ code: 2, output: `${entry} requires a valid operator token\n` });
  expect(right.code).toBe(0);
});

test("a command fails and prints the address if no entry listens there", async () => {
  const { code, output } = await run("status", "--entry", "127.0.0.1:1");
  expect({ code, output }).toEqual({ code: 1, output: "no entry listens on 127.0.0.1:1\n" });
});

test("status shows the effects of move and drain", async () => {
  const moved = await onEntry("move", "target-3", "--to", "quotes");
  const unknownPool = await onEntry("move", "target-1", "--to", "nowhere");
  const unplaced = await onEntry("drain", "target-9", "--json");
  expect([moved.code, unknownPool.code, unplaced.code]).toEqual([0, 2, 3]);
  expect(JSON.parse(unplaced.output)).toEqual({
    result: "conflict",
    message: 'instance "target-9" is not placed',
  });
  const placement = fleet.entries[0]?.placement;
  expect(await waitUntil(() => placement?.find("target-3")?.pool === "quotes")).toBe(true);
  expect((await onEntry("drain", "target-3")).code).toBe(0);
  expect(await waitUntil(() => placement?.find("target-3")?.state === "stopped")).toBe(true);
  const { output } = await onEntry("status");
  expect(output).toContain("target-3\tzone-1\tzone-1-rack-1\tquotes\tstopped");
});

test("trace prints a job's lines of all logs, effects after their causes, and as JSON with their fields", async () => {
  const first = join(folder, "first.log");
  const second = join(folder, "second.log");
  await writeFile(first, "time=2026-01-01T00:00:02Z event=job-submitted job=5c0e outcome=accepted\n");
  await writeFile(
    second,
    [
      "time=2026-01-01T00:00:01Z event=job-accepted job=5c0e",
      "time=2026-01-01T00:00:03Z event=start-order task=5c0e.0.0.1 run=1",
      "time=2026-01-01T00:00:04Z event=start-order task=5c0ef.0.0.1 run=1",
    ].join("\n"),
  );
  const [timeline, missing, badUsage] = await Promise.all([
    run("trace", "5c0e", first, second),
    run("trace", "77", first),
    run("trace", "5c0e"),
  ]);
  expect(timeline.code).toBe(0);
  const events = [...timeline.output.matchAll(/event=([a-z-]+)/g)].map(([, event]) => event);
  expect(events).toEqual(["job-accepted", "job-submitted", "start-order"]);
  expect([missing.code, badUsage.code]).toEqual([1, 2]);
  // The clock of the third log's owner is behind; the order follows causes, not timestamps.
  const third = join(folder, "third.log");
  await writeFile(third, 'time=2026-01-01T00:00:00Z event=job-ended job=5c0e state=failed reason="a b"\n');
  const skewed = await run("trace", "5c0e", third, first, second, "--json");
  const lines = JSON.parse(skewed.output) as { event: string; source: string; fields: unknown }[];
  expect(lines.map(({ event }) => event)).toEqual([
    "job-accepted",
    "job-submitted",
    "start-order",
    "job-ended",
  ]);
  expect(lines.at(-1)).toMatchObject({ source: third, fields: { state: "failed", reason: "a b" } });
});
