/**
 * What a wave does with one instance, state by state. Each action may be repeated without further effect.
 * @packageDocumentation
 */
import type { PlacementCommands, PlacementView } from "../pools/index.js";
import type { InstanceControl } from "./instance-control.js";
import type { WaveInstance, WaveInstanceState, WaveRecord } from "./wave-record.js";

/** Takes instances of a wave further. */
export interface WaveInstanceSteps {
  /**
   * Does what an instance's recorded state stands for.
   * @param wave - the wave as recorded
   * @param instanceId - the instance
   * @param held - its recorded state
   * @returns the state that follows, or the same
   */
  advance(wave: WaveRecord, instanceId: string, held: WaveInstance): Promise<WaveInstance>;
}

/** What the steps work with. */
export interface WaveInstanceStepsParts {
  readonly view: PlacementView;
  readonly commands: PlacementCommands;
  readonly control: InstanceControl;
  /** The time in milliseconds since the epoch. */
  readonly now: () => number;
}

const millisecondsPerSecond = 1_000;

/**
 * Creates the steps.
 * @param parts - what they work with
 * @returns the steps
 */
export function createWaveInstanceSteps(parts: WaveInstanceStepsParts): WaveInstanceSteps {
  const { view, commands, control, now } = parts;

  const isOverdue = (held: WaveInstance, boundSeconds: number): boolean =>
    now() - held.since > boundSeconds * millisecondsPerSecond;

  const drain = async (
    wave: WaveRecord,
    instanceId: string,
    held: WaveInstance,
  ): Promise<WaveInstanceState> => {
    const placed = view.find(instanceId);
    if (placed === undefined) return "skipped";
    const changeId = drainIdOf(wave, instanceId);
    if (placed.state === "stopped") return placed.changeId === changeId ? "stopped" : "skipped";
    if (placed.state === "serving") {
      // An operator took the drain back: the instance is his.
      if (placed.recentChanges.includes(changeId)) return "skipped";
      await commands.drain(instanceId, changeId);
    }
    return isOverdue(held, wave.limits.drainBoundSeconds) ? "needs-operator" : held.state;
  };

  const reboot = async (
    wave: WaveRecord,
    instanceId: string,
    held: WaveInstance,
  ): Promise<WaveInstanceState> => {
    const changeId = actionIdOf(wave, instanceId, "reserve");
    const reserved = await commands.reserve(instanceId, changeId, holderOf(wave));
    if (reserved.isLeft()) {
      const isRefused = reserved.swap().unsafeCoerce().kind === "refused";
      return isRefused ? "skipped" : held.state;
    }
    const rebootId = actionIdOf(wave, instanceId, "reboot");
    const asked = await control.reboot(instanceId, rebootId);
    const progress = (await control.progress(instanceId, rebootId)).orDefault("rebooting");
    if (asked.isRight() && progress === "returned")
      return giveBack(parts, wave, instanceId, held, "returned");
    const isFailed = progress === "failed" || isOverdue(held, wave.limits.rebootBoundSeconds);
    return isFailed ? giveUp(parts, wave, instanceId, held) : held.state;
  };

  const findNext = async (
    wave: WaveRecord,
    instanceId: string,
    held: WaveInstance,
  ): Promise<WaveInstanceState> => {
    const isTakenBack = wave.state === "aborted";
    switch (held.state) {
      case "draining":
      case "needs-operator":
        if (isTakenBack) return giveBack(parts, wave, instanceId, held, "skipped");
        return drain(wave, instanceId, held);
      case "stopped":
        return isTakenBack ? giveBack(parts, wave, instanceId, held, "skipped") : "rebooting";
      case "rebooting":
        return reboot(wave, instanceId, held);
      case "pending":
      case "returned":
      case "failed":
      case "skipped":
        return held.state;
    }
  };

  return {
    advance: async (wave, instanceId, held) => {
      const state = await findNext(wave, instanceId, held);
      return state === held.state ? held : { state, since: now() };
    },
  };
}

/** Leaves a failed instance stopped for the operators. */
async function giveUp(
  parts: WaveInstanceStepsParts,
  wave: WaveRecord,
  instanceId: string,
  held: WaveInstance,
): Promise<WaveInstanceState> {
  const changeId = actionIdOf(wave, instanceId, "release");
  const released = await parts.commands.release(instanceId, changeId, holderOf(wave));
  return released.isRight() ? "failed" : held.state;
}

async function giveBack(
  parts: WaveInstanceStepsParts,
  wave: WaveRecord,
  instanceId: string,
  held: WaveInstance,
  next: "returned" | "skipped",
): Promise<WaveInstanceState> {
  const supersedes = drainIdOf(wave, instanceId);
  const changeId = actionIdOf(wave, instanceId, "restore");
  const placed = parts.view.find(instanceId);
  const isOfOthers = placed?.recentChanges.includes(supersedes) === false && placed.state !== "serving";
  // An instance that is gone, or that somebody else drained, is left as it is.
  if (placed === undefined || isOfOthers) return next;
  const restored = await parts.commands.restore(instanceId, changeId, { supersedes, holder: holderOf(wave) });
  return restored.isRight() ? next : held.state;
}

function holderOf({ waveId }: WaveRecord): string {
  return `wave ${waveId}`;
}

function drainIdOf(wave: WaveRecord, instanceId: string): string {
  return actionIdOf(wave, instanceId, "drain");
}

function actionIdOf({ waveId }: WaveRecord, instanceId: string, action: string): string {
  return `wave/${waveId}/${instanceId}/${action}`;
}
