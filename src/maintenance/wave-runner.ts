/**
 * Runs a wave step by step. Every step reads the record, does again what the recorded states stand for, and records
 * what follows by one compare-and-swap, so that a runner can be killed, paused or replaced anywhere.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import type { PlacementCommands, PlacementView } from "../pools/index.js";
import type { Log } from "../telemetry/index.js";
import { hasUnusualFailures } from "./failure-threshold.js";
import type { InstanceControl } from "./instance-control.js";
import type { MaintenanceGate } from "./wave-gate.js";
import { createWaveInstanceSteps } from "./wave-instance-steps.js";
import { hasEnded, isFinalState, type WaveInstance, type WaveRecord } from "./wave-record.js";
import type { WaveStore } from "./wave-store.js";

/** Runs waves. */
export interface WaveRunner {
  /** Takes the current wave one step further. */
  step(): Promise<void>;
}

/** What a runner works with. */
export interface WaveRunnerParts {
  readonly waves: WaveStore;
  readonly view: PlacementView;
  readonly commands: PlacementCommands;
  readonly control: InstanceControl;
  readonly gate: MaintenanceGate;
  readonly log: Log;
  /** The time in milliseconds since the epoch. */
  readonly now: () => number;
}

const millisecondsPerSecond = 1_000;

/**
 * Creates a runner.
 * @param parts - what it works with
 * @returns the runner
 */
export function createWaveRunner(parts: WaveRunnerParts): WaveRunner {
  const { waves, view, gate, log, now } = parts;
  const steps = createWaveInstanceSteps(parts);

  const advanceInstances = async (wave: WaveRecord): Promise<WaveRecord> => {
    const advanced = await Promise.all(
      Object.entries(wave.instances).map(
        async ([instanceId, current]) =>
          [instanceId, await steps.advance(wave, instanceId, current)] as const,
      ),
    );
    return { ...wave, instances: Object.fromEntries(advanced) };
  };

  const startDrains = (wave: WaveRecord): WaveRecord => {
    const batch = wave.batches[wave.currentBatch];
    return (batch?.instanceIds ?? []).reduce<WaveRecord>(startDrain, { ...wave, reason: undefined });
  };

  const startDrain = (wave: WaveRecord, instanceId: string): WaveRecord => {
    if (wave.instances[instanceId]?.state !== "pending") return wave;
    const target = view.find(instanceId);
    const isServing = target?.state === "serving";
    const reason = isServing ? gate.blocksDrain(target, wave) : undefined;
    if (reason !== undefined) return { ...wave, reason };
    const next: WaveInstance = { state: isServing ? "draining" : "skipped", since: now() };
    return { ...wave, instances: { ...wave.instances, [instanceId]: next } };
  };

  const planTransition = (wave: WaveRecord): WaveRecord => {
    if (wave.state !== "running") return wave;
    const reason = findHaltReason(wave);
    if (reason !== undefined) return { ...wave, state: "halted", reason };
    const next = moveToNextBatch(wave, now());
    if (next.currentBatch >= next.batches.length) return { ...next, state: "finished" };
    return startDrains(next);
  };

  return {
    step: async () => {
      const read = await waves.read();
      const stored = read.orDefault({ wave: undefined, revision: 0 });
      if (stored.wave === undefined || hasEnded(stored.wave)) return;
      const next = planTransition(await advanceInstances(stored.wave));
      if (JSON.stringify(next) === JSON.stringify(stored.wave)) return;
      const written = await waves.write(stored, { ...next, writeId: randomUUID() });
      written.ifRight((wave) => {
        logChanges(log, stored.wave, wave);
      });
    },
  };
}

function findHaltReason({ instances, limits }: WaveRecord): string | undefined {
  const states = Object.values(instances).map(({ state }) => state);
  const failed = states.filter((state) => state === "failed").length;
  const ended = failed + states.filter((state) => state === "returned").length;
  if (!hasUnusualFailures(failed, ended, limits.usualFailureShare)) return undefined;
  return `${failed} of ${ended} instances did not return`;
}

function moveToNextBatch(wave: WaveRecord, now: number): WaveRecord {
  const batch = wave.batches[wave.currentBatch];
  const isDone = batch?.instanceIds.every((id) => isFinalState(wave.instances[id]?.state ?? "skipped"));
  if (isDone !== true) return wave;
  if (wave.currentBatch > 0) return { ...wave, currentBatch: wave.currentBatch + 1 };
  const watchedSince = wave.watchedSince ?? now;
  const isWatched = now - watchedSince >= wave.limits.watchSeconds * millisecondsPerSecond;
  return { ...wave, watchedSince, currentBatch: isWatched ? 1 : 0 };
}

function logChanges(log: Log, before: WaveRecord | undefined, { waveId, ...after }: WaveRecord): void {
  if (before?.state !== after.state) {
    log.write("info", "wave-state", { wave: waveId, state: after.state, reason: after.reason });
  }
  for (const [instance, { state }] of Object.entries(after.instances)) {
    if (before?.instances[instance]?.state === state) continue;
    const level = state === "needs-operator" || state === "failed" ? "warn" : "info";
    log.write(level, "wave-instance", { wave: waveId, instance, state });
  }
}
