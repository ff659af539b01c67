/**
 * The fleet that the roll-out is measured on: entries in this process, and one entry as a process of its own that can
 * be paused.
 * @packageDocumentation
 */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { startFleet, waitUntil, type Fleet } from "../stand-ins/fleet/index.js";

/** A fleet to roll changes out on. */
export interface RollOutFleet {
  readonly fleet: Fleet;
  /** The operators' configuration as decoded JSON. */
  readonly text: unknown;
  /** Stops the entry process from running until it is resumed. */
  pause(): void;
  resume(): void;
  /** Reads the revision that the entry process has in force. */
  pausedRevision(): Promise<number>;
  close(): Promise<void>;
}

const entriesInProcess = 8;
const zones = 3;
const exampleConfiguration = new URL("../../examples/agency/text.json", import.meta.url);
const commandLine = fileURLToPath(new URL("../cli/main.ts", import.meta.url));

/**
 * Starts nine entries, eight of them in this process.
 * @param seed - seed of the fleet
 * @returns the running fleet
 */
export async function startRollOutFleet(seed: number): Promise<RollOutFleet> {
  const operatorConfiguration: unknown = JSON.parse(await readFile(exampleConfiguration, "utf8"));
  const fleet = await startFleet({
    text: operatorConfiguration,
    targets: { quotes: 1 },
    entries: entriesInProcess,
    zones,
    meanRunMilliseconds: 10,
    seed,
  });
  const { child, operators } = await startEntryProcess(fleet);
  await waitUntil(() => fleet.entries.every(({ peers }) => peers.upPeers().length === entriesInProcess));
  return {
    fleet,
    text: operatorConfiguration,
    pause: () => child.kill("SIGSTOP"),
    resume: () => child.kill("SIGCONT"),
    pausedRevision: async () => {
      const response = await fetch(`http://${operators}/operator/status`);
      const status = (await response.json()) as { configuration: { revision: number } };
      return status.configuration.revision;
    },
    close: async () => {
      child.kill("SIGKILL");
      await fleet.close();
    },
  };
}

async function startEntryProcess(fleet: Fleet): Promise<{ child: ChildProcess; operators: string }> {
  const folder = await mkdtemp(join(tmpdir(), "dogwoodhoist-"));
  const path = join(folder, "settings.json");
  const anyPort = { host: "127.0.0.1", port: 0 };
  const settings = {
    entryId: "entry-process",
    availabilityZone: "zone-3",
    requests: anyPort,
    peers: anyPort,
    operators: anyPort,
    store: { address: fleet.store.address },
    instanceList: { address: fleet.instanceList.address },
    logLevel: "error",
  };
  await writeFile(path, JSON.stringify(settings));
  const child = spawn(process.execPath, ["--import", "tsx", commandLine, "entry", "--settings", path], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const [line] = (await once(createInterface({ input: child.stdout }), "line")) as [string];
  await rm(folder, { recursive: true });
  return { child, operators: (JSON.parse(line) as { operators: string }).operators };
}
