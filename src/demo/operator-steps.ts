/**
 * What the operators do in the demonstration.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";
import { waitUntil, type Fleet } from "../stand-ins/index.js";
import type { Target } from "../pools/index.js";

const waveMilliseconds = 18_000;
const wavePollMilliseconds = 200;

/**
 * Moves an instance from the spare pool to the busy one.
 * @param fleet - the running fleet
 * @returns how many moves were finished
 */
export async function moveOne(fleet: Fleet): Promise<number> {
  const instanceId = memberOf(fleet, "spare")?.instanceId ?? "";
  await command(fleet, "move", { instanceId, pool: "quotes", changeId: "demo-move" });
  const moved = await waitUntil(() => isServing(fleet, instanceId, "quotes"));
  return moved ? 1 : 0;
}

/**
 * Drains an instance of the busy pool.
 * @param fleet - the running fleet
 * @returns the drained instance, undefined when the drain did not end
 */
export async function drainOne(fleet: Fleet): Promise<Target | undefined> {
  const instanceId = memberOf(fleet, "quotes")?.instanceId ?? "";
  await command(fleet, "drain", { instanceId, changeId: "demo-drain" });
  const isStopped = (): boolean => fleet.entries[0]?.placement.find(instanceId)?.state === "stopped";
  return (await waitUntil(isStopped)) ? fleet.entries[0]?.placement.find(instanceId) : undefined;
}

/** What a wave did. */
export interface WaveResult {
  readonly state: string;
  readonly reboots: number;
  /** Runs that a reboot cut. */
  readonly cut: number;
}

/**
 * Reboots every instance of a quiet pool in a wave.
 * @param fleet - the running fleet
 * @returns what the wave did
 */
export async function runWave(fleet: Fleet): Promise<WaveResult> {
  const limits = { firstBatchSize: 1, batchSize: 2, watchSeconds: 1, poolShare: 0.7, minimumBudgetShare: 0 };
  await command(fleet, "wave/start", { waveId: "demo-wave", pools: ["portal"], zones: [], limits });
  const deadlineAt = performance.now() + waveMilliseconds;
  let state = "running";
  while (state === "running" && performance.now() < deadlineAt) {
    await delay(wavePollMilliseconds);
    const shown = (await command(fleet, "wave/show", {})) as { details?: { state?: string } };
    state = shown.details?.state ?? state;
  }
  const counts = fleet.targets.map((target) => target.counts());
  return {
    state,
    reboots: counts.reduce((sum, { reboots }) => sum + reboots, 0),
    cut: counts.reduce((sum, { cutByReboots }) => sum + cutByReboots, 0),
  };
}

/**
 * Applies a changed configuration and waits until it is in force in every entry.
 * @param fleet - the running fleet
 * @param operatorConfiguration - the configuration in force
 * @returns how long the roll-out took in milliseconds
 */
export async function applyChangedConfiguration(
  fleet: Fleet,
  operatorConfiguration: unknown,
): Promise<number> {
  const changed = structuredClone(operatorConfiguration) as {
    services: { availability: { objective: number } }[];
  };
  for (const service of changed.services) service.availability.objective = 0.998;
  const startedAt = performance.now();
  await command(fleet, "configuration", {
    changeId: "demo-change",
    author: "demonstration",
    baseRevision: 1,
    text: changed,
  });
  await waitUntil(() => fleet.entries.every(({ configuration }) => configuration.revision() === 2));
  return performance.now() - startedAt;
}

function memberOf(fleet: Fleet, pool: string): Target | undefined {
  return fleet.entries[0]?.placement.serving(pool)[0];
}

function isServing(fleet: Fleet, instanceId: string, pool: string): boolean {
  const target = fleet.entries[0]?.placement.find(instanceId);
  return target?.pool === pool && target.state === "serving";
}

async function command(fleet: Fleet, path: string, body: unknown): Promise<unknown> {
  const address = fleet.entries[0]?.addresses.operators ?? "";
  const url = `http://${address}/operator/${path}`;
  const response = await fetch(url, { method: "POST", body: JSON.stringify(body) });
  return response.json();
}
