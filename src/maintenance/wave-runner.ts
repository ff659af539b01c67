/**
 * Runs a wave step by step. Each step reads the wave's record, carries out the idempotent actions of the recorded
 * states, and records the next states with one compare-and-swap, so a runner can be killed, paused or replaced at any
 * point.
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

/** Runs maintenance waves. */
export interface WaveRunner {
  /** Advances the current wave by one step; does nothing when there is none, it has ended, or the store fails. */
  step(): Promise<void>;
}

/** Dependencies of a wave runner. */
export interface WaveRunnerParts {
  readonly waves: WaveStore;
  readonly view: PlacementView;
  readonly commands: PlacementCommands;
  readonly control: InstanceControl;
  readonly gate: MaintenanceGate;
  readonly log: Log;
  /** Returns the time in milliseconds since the epoch. */
  readonly now: () => number;
}

const millisecondsPerSecond = 1_000;

/**
 * Creates a runner.
 * @param parts - wave store, placement, platform control, gate, log and clock
 * @returns the runner; several may run at once, since every write is conditional
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

/** Moves on once all instances of the batch are in a final state, after the first batch only once it was observed. */
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
