/**
 * Starts the daemons as processes of their own, for tests.
 * @packageDocumentation
 */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

/** A daemon that a test started. */
export interface TestProcess {
  /** First line of its standard output, decoded. */
  readonly started: Readonly<Record<string, string>>;
  readonly child: ChildProcess;
  /** Ends it by a signal and returns its exit code. */
  end(signal: NodeJS.Signals): Promise<number | null>;
}

const main = fileURLToPath(new URL("../cli/main.ts", import.meta.url));

/**
 * Starts a daemon and waits until it says where it listens.
 * @param args - arguments of the command line
 * @returns the running daemon
 */
export async function startProcess(args: readonly string[]): Promise<TestProcess> {
  const child = spawn(process.execPath, ["--import", "tsx", main, ...args], {
    stdio: ["ignore", "pipe", "ignore"],
  });
  const lines = createInterface({ input: child.stdout });
  const [line] = (await once(lines, "line")) as [string];
  return {
    started: JSON.parse(line) as Record<string, string>,
    child,
    end: async (signal) => {
      if (child.exitCode !== null || child.signalCode !== null) return child.exitCode;
      const exited = once(child, "exit") as Promise<[number | null]>;
      child.kill(signal);
      return (await exited)[0];
    },
  };
}

/** A fleet of separate processes. */
export interface Session {
  readonly store: TestProcess;
  readonly entries: readonly TestProcess[];
  readonly targets: readonly TestProcess[];
  readonly balancer: TestProcess;
  /** Kills every process. */
  end(): Promise<void>;
}

const zoneCount = 2;
const pollMilliseconds = 50;
const maximumPolls = 600;

/**
 * Starts store, instance list, targets, entries and balancer. All targets but the last are in the pool "quotes",
 * the last one is spare.
 * @param entryCount - how many entries
 * @param targetCount - how many targets
 * @returns the running fleet, without a configuration
 */
export async function startSession(entryCount: number, targetCount: number): Promise<Session> {
  const folder = await mkdtemp(join(tmpdir(), "dogwoodhoist-"));
  const [store, list, ...targets] = await Promise.all([
    startProcess(["stand-in", "--kind", "store"]),
    startProcess(["stand-in", "--kind", "instance-list", "--lag-ms", "20"]),
    ...numbers(targetCount).map(async (index) =>
      startProcess([
        "stand-in",
        "--kind",
        "target",
        "--instance-id",
        `target-${index}`,
        "--seed",
        String(index),
      ]),
    ),
  ]);
  const entries = await Promise.all(
    numbers(entryCount).map(async (index) => {
      const path = join(folder, `entry-${index}.json`);
      await writeFile(
        path,
        JSON.stringify(createSettings(index, store.started.address, list.started.address)),
      );
      return startProcess(["entry", "--settings", path]);
    }),
  );
  const requests = entries.map(({ started }) => started.requests).join(",");
  const balancer = await startProcess(["stand-in", "--kind", "balancer", "--entries", requests]);
  const instances = targets.map(({ started }, index) => ({
    instanceId: `target-${index + 1}`,
    address: started.address,
    zone: `zone-${(index % zoneCount) + 1}`,
    rack: `rack-${index + 1}`,
    state: "live",
    pool: index < targetCount - 1 ? "quotes" : "spare",
  }));
  await postJson(`${list.started.address ?? ""}/instances`, instances);
  return {
    store,
    entries,
    targets,
    balancer,
    end: async () => {
      await Promise.all(
        [store, list, balancer, ...targets, ...entries].map(async (each) => each.end("SIGKILL")),
      );
      await rm(folder, { recursive: true });
    },
  };
}

/**
 * Reads JSON.
 * @param url - where
 * @returns the decoded body
 */
export async function getJson(url: string): Promise<unknown> {
  return (await fetch(url)).json();
}

/**
 * Posts JSON.
 * @param url - where
 * @param body - what
 * @returns status and decoded body
 */
export async function postJson(url: string, body: unknown): Promise<{ status: number; body: unknown }> {
  const response = await fetch(url, { method: "POST", body: JSON.stringify(body) });
  return { status: response.status, body: await response.json() };
}

/**
 * Waits until a condition holds; an error counts as not yet.
 * @param condition - looked at again and again
 */
export async function waitFor(condition: () => Promise<boolean>): Promise<void> {
  for (let polls = 0; polls < maximumPolls; polls += 1) {
    if (await condition().catch(() => false)) return;
    await new Promise((resolve) => setTimeout(resolve, pollMilliseconds));
  }
  throw new Error("the condition never held");
}

function numbers(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}

function createSettings(index: number, store: string | undefined, list: string | undefined): unknown {
  const anyPort = { host: "127.0.0.1", port: 0 };
  return {
    entryId: `entry-${index}`,
    availabilityZone: `zone-${index}`,
    requests: anyPort,
    peers: anyPort,
    operators: anyPort,
    store: { address: store },
    instanceList: { address: list },
    seed: index,
  };
}
