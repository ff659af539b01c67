/**
 * Operators' commands that start, pause, resume, abort and show maintenance waves.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { Left, Right, type Either } from "purify-ts";
import type { PlacementView } from "../pools/index.js";
import { planBatches } from "./wave-plan.js";
import { hasEnded, type WaveLimits, type WaveRecord, type WaveState } from "./wave-record.js";
import type { StoredWave, WaveFailure, WaveStore } from "./wave-store.js";

/** An operator's request for a wave: the instances to reboot and the limits to keep. */
export interface WaveRequest {
  /** Identifier of the wave; repeating it while the wave is the current one starts no second wave. */
  readonly waveId: string;
  /** The pools whose instances are rebooted; all when empty. */
  readonly pools: readonly string[];
  /** The availability zones whose instances are rebooted; all when empty. */
  readonly zones: readonly string[];
  readonly limits: WaveLimits;
}

/** Commands on waves. */
export interface WaveCommands {
  /** Starts a wave; refused while another wave has not ended. */
  start(request: WaveRequest): Promise<Either<WaveFailure, WaveRecord>>;
  /** Pauses a running wave: no further drain starts, and drains and reboots that have started continue. */
  pause(waveId: string, changeId: string): Promise<Either<WaveFailure, WaveRecord>>;
  /** Resumes a paused or halted wave. */
  resume(waveId: string, changeId: string): Promise<Either<WaveFailure, WaveRecord>>;
  /** Aborts a wave: drained instances are restored, and reboots that have started run to completion. */
  abort(waveId: string, changeId: string): Promise<Either<WaveFailure, WaveRecord>>;
  /** Reads the current or last wave; undefined when there has never been one. */
  show(): Promise<Either<WaveFailure, WaveRecord | undefined>>;
}

/** Instances that fit into a wave's record without exceeding the store's largest value. */
const maximumWaveInstances = 4_000;
/** Command identifiers that the record remembers; an identifier repeated after more commands counts as a new one. */
const maximumRecentChanges = 8;

/**
 * Creates the commands.
 * @param waves - reads and writes the wave's record
 * @param view - lists the instances and their placement
 * @returns the commands
 */
export function createWaveCommands(waves: WaveStore, view: PlacementView): WaveCommands {
  const change = async (
    waveId: string,
    changeId: string,
    allowed: readonly WaveState[],
    next: WaveState,
  ): Promise<Either<WaveFailure, WaveRecord>> => {
    const read = await waves.read();
    if (read.isLeft()) return Left(read.swap().unsafeCoerce());
    const stored = read.unsafeCoerce();
    const { wave } = stored;
    if (wave?.waveId !== waveId) return refuse(`wave "${waveId}" is not the current wave`);
    if (wave.recentChanges.includes(changeId)) return Right(wave);
    if (!allowed.includes(wave.state)) return refuse(`wave "${waveId}" is ${wave.state}`);
    const recentChanges = [changeId, ...wave.recentChanges].slice(0, maximumRecentChanges);
    return waves.write(stored, {
      ...wave,
      state: next,
      reason: undefined,
      recentChanges,
      writeId: randomUUID(),
    });
  };

  return {
    start: async (request) => {
      const read = await waves.read();
      if (read.isLeft()) return Left(read.swap().unsafeCoerce());
      const stored = read.unsafeCoerce();
      if (stored.wave?.waveId === request.waveId) return Right(stored.wave);
      return startWave(waves, view, stored, request);
    },
    pause: async (waveId, changeId) => change(waveId, changeId, ["running"], "paused"),
    resume: async (waveId, changeId) => change(waveId, changeId, ["paused", "halted"], "running"),
    abort: async (waveId, changeId) => change(waveId, changeId, ["running", "paused", "halted"], "aborted"),
    show: async () => (await waves.read()).map(({ wave }) => wave),
  };
}

async function startWave(
  waves: WaveStore,
  view: PlacementView,
  stored: StoredWave,
  request: WaveRequest,
): Promise<Either<WaveFailure, WaveRecord>> {
  if (stored.wave !== undefined) {
    if (!hasEnded(stored.wave)) return refuse(`wave "${stored.wave.waveId}" is ${stored.wave.state}`);
    const archived = await waves.archive(stored.wave);
    if (archived.isLeft()) return archived;
  }
  const { pools, zones, limits, waveId } = request;
  const targets = view
    .all()
    .filter(({ pool, zone }) => isSelected(pools, pool) && isSelected(zones, zone))
    .filter(({ state }) => state === "serving");
  if (targets.length === 0) return refuse("no serving instance matches the pools and zones");
  if (targets.length > maximumWaveInstances) {
    return refuse(`${targets.length} instances match, but at most ${maximumWaveInstances} fit in one wave`);
  }
  const startedAt = Date.now();
  const pending = targets.map(
    ({ instanceId }) => [instanceId, { state: "pending", since: startedAt }] as const,
  );
  return waves.write(stored, {
    waveId,
    writeId: randomUUID(),
    state: "running",
    startedAt,
    recentChanges: [],
    limits,
    batches: planBatches(targets, limits),
    currentBatch: 0,
    instances: Object.fromEntries(pending),
  });
}

function isSelected(names: readonly string[], name: string): boolean {
  return names.length === 0 || names.includes(name);
}

function refuse(message: string): Either<WaveFailure, WaveRecord> {
  return Left({ kind: "refused", message });
}
