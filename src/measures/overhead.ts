/**
 * What an entry adds to a request, paired with the same client going straight to the same target.
 * @packageDocumentation
 */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import { requestIdHeader } from "../forwarding/index.js";
import { delay } from "../shared/index.js";
import { startInstanceListStandIn } from "../stand-ins/instance-list/index.js";
import { startStoreStandIn } from "../stand-ins/store/index.js";
import { startTargetStandIn, type TargetStandIn } from "../stand-ins/target/index.js";
import type { Figure, Measure } from "./measure.js";

const path = "/services/quotes/quote";
const body = Buffer.alloc(1_024, "x");
const warmUpRequests = 1_000;
const pairedRequests = 4_000;
const loadedRequests = 20_000;
const concurrency = 12;
const microsecondsPerMillisecond = 1_000;
const ticksPerSecond = 100;
const pollMilliseconds = 100;

/** Measures an entry in a process of its own. */
export const overheadMeasure: Measure = {
  name: "overhead",
  description: "what an entry adds: latency paired with the direct way, requests per processor second",
  run: async (seed) => {
    const folder = await mkdtemp(join(tmpdir(), "dogwoodhoist-"));
    const store = await startStoreStandIn();
    const list = await startInstanceListStandIn(0);
    const targets = await Promise.all(
      [1, 2].map(async (index) =>
        startTargetStandIn({ instanceId: `target-${index}`, meanRunMilliseconds: 0, seed: seed + index }),
      ),
    );
    list.set(targets.map(describeTarget));
    const entry = await startEntryProcess(folder, store.address, list.address);
    try {
      await applyConfiguration(entry.operators);
      return await compare(entry, targets);
    } finally {
      entry.child.kill("SIGKILL");
      await Promise.all([...targets, list, store].map(async (part) => part.close()));
      await rm(folder, { recursive: true });
    }
  },
};

function describeTarget({ instanceId, address }: TargetStandIn) {
  return { instanceId, address, zone: "zone-1", rack: "rack-1", state: "live" as const, pool: "quotes" };
}

interface EntryProcess {
  readonly child: ChildProcess;
  readonly requests: string;
  readonly operators: string;
}

async function startEntryProcess(folder: string, store: string, list: string): Promise<EntryProcess> {
  const settingsPath = join(folder, "entry.json");
  const anyPort = { host: "127.0.0.1", port: 0 };
  const settings = {
    entryId: "entry-1",
    availabilityZone: "zone-1",
    requests: anyPort,
    peers: anyPort,
    operators: anyPort,
    store: { address: store },
    instanceList: { address: list },
    logLevel: "error",
  };
  await writeFile(settingsPath, JSON.stringify(settings));
  const main = fileURLToPath(new URL("../cli/main.ts", import.meta.url));
  const args = ["--import", "tsx", main, "entry", "--settings", settingsPath];
  const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "inherit"] });
  const [line] = (await once(createInterface({ input: child.stdout }), "line")) as [string];
  const { requests = "", operators = "" } = JSON.parse(line) as Record<string, string>;
  return { child, requests, operators };
}

async function applyConfiguration(operators: string): Promise<void> {
  const file = new URL("../../examples/agency/text.json", import.meta.url);
  const configuration: unknown = JSON.parse(await readFile(file, "utf8"));
  const change = { changeId: "first", author: "measure", baseRevision: 0, text: configuration };
  const url = `http://${operators}/operator/configuration`;
  const answer = await request(url, { method: "POST", body: JSON.stringify(change) });
  await answer.body.dump();
}

type Send = () => Promise<boolean>;

function createSend(agent: Agent, address: string): Send {
  let next = 0;
  return async () => {
    next += 1;
    const headers = { [requestIdHeader]: `request-${next}` };
    const answer = await request(`http://${address}${path}`, {
      dispatcher: agent,
      method: "POST",
      headers,
      body,
    });
    await answer.body.arrayBuffer();
    return answer.statusCode === 200;
  };
}

async function compare(entry: EntryProcess, targets: readonly TargetStandIn[]): Promise<Figure[]> {
  const agent = new Agent({ connections: concurrency });
  const direct = createSend(agent, targets[0]?.address ?? "");
  const through = createSend(agent, entry.requests);
  while (!(await through())) await delay(pollMilliseconds);
  for (let index = 0; index < warmUpRequests; index += 1) await Promise.all([direct(), through()]);

  const directTimes = build({ numberOfSignificantValueDigits: 3 });
  const throughTimes = build({ numberOfSignificantValueDigits: 3 });
  let failed = 0;
  for (let index = 0; index < pairedRequests; index += 1) {
    if (!(await timed(direct, directTimes))) failed += 1;
    if (!(await timed(through, throughTimes))) failed += 1;
  }
  const before = await readProcessorSeconds(entry.child);
  failed += await sendLoad(through);
  const processorSeconds = (await readProcessorSeconds(entry.child)) - before;
  await agent.close();
  return describe(directTimes, throughTimes, loadedRequests / processorSeconds, failed);
}

async function timed(send: Send, times: Histogram): Promise<boolean> {
  const startedAt = performance.now();
  const answered = await send();
  times.recordValue(Math.round((performance.now() - startedAt) * microsecondsPerMillisecond));
  return answered;
}

async function sendLoad(send: Send): Promise<number> {
  let left = loadedRequests;
  let failed = 0;
  const work = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      if (!(await send())) failed += 1;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, work));
  return failed;
}

/** Reads the processor time of a child from Linux's process table. */
async function readProcessorSeconds(child: ChildProcess): Promise<number> {
  const stat = await readFile(`/proc/${String(child.pid)}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const [userField, systemField] = [11, 12];
  return (Number(fields[userField]) + Number(fields[systemField])) / ticksPerSecond;
}

function describe(direct: Histogram, through: Histogram, perSecond: number, failed: number): Figure[] {
  const at = (times: Histogram, percentile: number): number =>
    times.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
  const added = (percentile: number): Figure => ({
    name: `added latency p${percentile}`,
    value: at(through, percentile) - at(direct, percentile),
    unit: "ms",
  });
  return [
    { name: "latency p50", value: at(through, 50), unit: "ms", baseline: at(direct, 50) },
    { name: "latency p99", value: at(through, 99), unit: "ms", baseline: at(direct, 99) },
    added(50),
    added(99),
    { name: "requests for one core of the entry", value: perSecond, unit: "requests/s" },
    { name: "requests that failed", value: failed, unit: "requests", target: "0" },
  ];
}
