/**
 * State transitions of one instance in a wave. Every action is idempotent.
 * @packageDocumentation
 */
import type { PlacementCommands, PlacementView } from "../pools/index.js";
import type { InstanceControl } from "./instance-control.js";
import type { WaveInstance, WaveInstanceState, WaveRecord } from "./wave-record.js";

/** Advances the instances of a wave. */
export interface WaveInstanceSteps {
  /**
   * Carries out the action of an instance's recorded state.
   * @param wave - the wave as stored
   * @param instanceId - the instance
   * @param current - the instance's state as stored
   * @returns the next state; `current` itself while the action has not completed
   */
  advance(wave: WaveRecord, instanceId: string, current: WaveInstance): Promise<WaveInstance>;
}

/** Dependencies of the instance steps. */
export interface WaveInstanceStepsParts {
  readonly view: PlacementView;
  readonly commands: PlacementCommands;
  readonly control: InstanceControl;
  /** Returns the time in milliseconds since the epoch. */
  readonly now: () => number;
}

const millisecondsPerSecond = 1_000;

/**
 * Creates the steps.
 * @param parts - placement, platform control and clock
 * @returns the steps; all state is in the wave's record
 */
export function createWaveInstanceSteps(parts: WaveInstanceStepsParts): WaveInstanceSteps {
  const { view, commands, control, now } = parts;

  const isOverdue = (current: WaveInstance, limitSeconds: number): boolean =>
    now() - current.since > limitSeconds * millisecondsPerSecond;

  const drain = async (
    wave: WaveRecord,
    instanceId: string,
    current: WaveInstance,
  ): Promise<WaveInstanceState> => {
    const placed = view.find(instanceId);
    if (placed === undefined) return "skipped";
    const changeId = drainChangeId(wave, instanceId);
    if (placed.state === "stopped") return placed.changeId === changeId ? "stopped" : "skipped";
    if (placed.state === "serving") {
      // The wave's drain was already carried out and an operator reverted it, so the wave leaves the instance alone.
      if (placed.recentChanges.includes(changeId)) return "skipped";
      await commands.drain(instanceId, changeId);
    }
    return isOverdue(current, wave.limits.drainBoundSeconds) ? "needs-operator" : current.state;
  };

  const reboot = async (
    wave: WaveRecord,
    instanceId: string,
    current: WaveInstance,
  ): Promise<WaveInstanceState> => {
    const changeId = createChangeId(wave, instanceId, "reserve");
    const reserved = await commands.reserve(instanceId, changeId, reservationHolder(wave));
    if (reserved.isLeft()) {
      const isRefused = reserved.swap().unsafeCoerce().kind === "refused";
      return isRefused ? "skipped" : current.state;
    }
    const rebootId = createChangeId(wave, instanceId, "reboot");
    const requested = await control.reboot(instanceId, rebootId);
    const progress = (await control.progress(instanceId, rebootId)).orDefault("rebooting");
    if (requested.isRight() && progress === "returned")
      return restoreInstance(parts, wave, instanceId, current, "returned");
    const isFailed = progress === "failed" || isOverdue(current, wave.limits.rebootBoundSeconds);
    return isFailed ? markFailed(parts, wave, instanceId, current) : current.state;
  };

  const findNextState = async (
    wave: WaveRecord,
    instanceId: string,
    current: WaveInstance,
  ): Promise<WaveInstanceState> => {
    const isAborted = wave.state === "aborted";
    switch (current.state) {
      case "draining":
      case "needs-operator":
        if (isAborted) return restoreInstance(parts, wave, instanceId, current, "skipped");
        return drain(wave, instanceId, current);
      case "stopped":
        return isAborted ? restoreInstance(parts, wave, instanceId, current, "skipped") : "rebooting";
      case "rebooting":
        return reboot(wave, instanceId, current);
      case "pending":
      case "returned":
      case "failed":
      case "skipped":
        return current.state;
    }
  };

  return {
    advance: async (wave, instanceId, current) => {
      const state = await findNextState(wave, instanceId, current);
      return state === current.state ? current : { state, since: now() };
    },
  };
}

/** Releases a failed instance's reservation and leaves the instance stopped, for an operator to handle. */
async function markFailed(
  parts: WaveInstanceStepsParts,
  wave: WaveRecord,
  instanceId: string,
  current: WaveInstance,
): Promise<WaveInstanceState> {
  const changeId = createChangeId(wave, instanceId, "release");
  const released = await parts.commands.release(instanceId, changeId, reservationHolder(wave));
  return released.isRight() ? "failed" : current.state;
}

/** Lets an instance serve again and returns `next`; returns the present state if the restore has to be retried. */
async function restoreInstance(
  parts: WaveInstanceStepsParts,
  wave: WaveRecord,
  instanceId: string,
  current: WaveInstance,
  next: "returned" | "skipped",
): Promise<WaveInstanceState> {
  const supersedes = drainChangeId(wave, instanceId);
  const changeId = createChangeId(wave, instanceId, "restore");
  const placed = parts.view.find(instanceId);
  const isDrainedByOthers =
    placed?.recentChanges.includes(supersedes) === false && placed.state !== "serving";
  // An instance that no longer exists, or that another command drained, is left unchanged.
  if (placed === undefined || isDrainedByOthers) return next;
  const restored = await parts.commands.restore(instanceId, changeId, {
    supersedes,
    holder: reservationHolder(wave),
  });
  return restored.isRight() ? next : current.state;
}

function reservationHolder({ waveId }: WaveRecord): string {
  return `wave ${waveId}`;
}

function drainChangeId(wave: WaveRecord, instanceId: string): string {
  return createChangeId(wave, instanceId, "drain");
}

function createChangeId({ waveId }: WaveRecord, instanceId: string, action: string): string {
  return `wave/${waveId}/${instanceId}/${action}`;
}
