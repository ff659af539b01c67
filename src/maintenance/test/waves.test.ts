/**
 * Maintenance waves under runner kills after every step, pauses, lost store responses, store outages and concurrent
 * operators.
 * @packageDocumentation
 */
import { Left, Right } from "purify-ts";
import { expect, test } from "vitest";
import {
  closeWorld,
  createFakeEntry,
  createWorld,
  refreshAll,
  stored,
  writeInstances,
  type FakeEntry,
  type World,
} from "../../pools/test/fake-entries.js";
import {
  createMaintenanceGate,
  createWaveCommands,
  createWaveRunner,
  createWaveStore,
  hasUnusualFailures,
  probabilityOfAtLeast,
  waveLimitsSchema,
  type InstanceControl,
  type WaveRecord,
} from "../index.js";

const pool = { slotsPerInstance: 8, connectionsPerInstance: 64, spare: false };
const configuration = {
  version: 1 as const,
  pools: [{ ...pool, name: "quotes", minimumInstances: 4 }],
  services: [
    {
      name: "quotes",
      pool: "quotes",
      dependsOn: [],
      availability: { objective: 0.99, windowSeconds: 600 },
      deadlineMilliseconds: 1_000,
      operations: [{ name: "quote", idempotent: true, expectedMilliseconds: 10 }],
    },
  ],
  teams: [],
};
const request = { waveId: "w-1", pools: [], zones: [], limits: waveLimitsSchema.parse({ watchSeconds: 5 }) };

/** A platform that carries out each reboot once and records reboots of instances that were not stopped. */
function createPlatform(world: World) {
  const reboots = new Map<string, string>();
  const faults = { failing: new Set<string>(), rebootedWhileServing: [] as string[], down: false };
  const control: InstanceControl = {
    reboot: async (instanceId, rebootId) => {
      await Promise.resolve();
      if (faults.down) return Left("down");
      const zone = instanceId.slice(0, "zone-1".length);
      if (!reboots.has(rebootId) && stored(world, instanceId, zone)?.state !== "stopped") {
        faults.rebootedWhileServing.push(instanceId);
      }
      reboots.set(rebootId, instanceId);
      return Right(undefined);
    },
    progress: async (instanceId, rebootId) => {
      await Promise.resolve();
      if (!reboots.has(rebootId)) return Left("unknown reboot");
      return Right(faults.failing.has(instanceId) ? "failed" : "returned");
    },
  };
  return { reboots, faults, control };
}

function createWaveParts(
  world: World,
  entry: FakeEntry,
  control: InstanceControl,
  budget: { share: number },
) {
  const waves = createWaveStore(entry.store);
  const { view, commands, log } = entry;
  const gate = createMaintenanceGate({ view, text: () => configuration, budgetLeft: () => budget.share });
  const runner = createWaveRunner({ waves, view, commands, control, gate, log, now: () => world.time });
  return { waves, runner, commands: createWaveCommands(waves, view) };
}

async function startWorld() {
  const world = createWorld();
  world.text = configuration;
  for (const zone of ["zone-1", "zone-2", "zone-3"]) writeInstances(world, zone, "quotes", 2);
  const platform = createPlatform(world);
  const budget = { share: 1 };
  const entries = ["entry-1", "entry-2"].map((id) => createFakeEntry(world, id));
  const parts = entries.map((entry) => createWaveParts(world, entry, platform.control, budget));
  const [first, second] = entries;
  const [firstParts, secondParts] = parts;
  if (!first || !second || !firstParts || !secondParts) throw new Error("two entries");
  await refreshAll(world);
  return { world, platform, budget, first, second, firstParts, secondParts };
}

type Waves = Awaited<ReturnType<typeof startWorld>>;

function readWave({ world }: Waves): WaveRecord {
  return JSON.parse(world.engine.range("waves/current")[0]?.value ?? "{}") as WaveRecord;
}

async function step(
  waves: Waves,
  runner = waves.firstParts.runner,
  mover = waves.first.mover,
): Promise<void> {
  await refreshAll(waves.world);
  await runner.step();
  await refreshAll(waves.world);
  await mover.step();
  waves.world.time += 1_000;
  const outZones = new Set(
    ["zone-1", "zone-2", "zone-3"].filter((zone) =>
      [1, 2].some((index) => stored(waves.world, `${zone}-quotes-${index}`, zone)?.state !== "serving"),
    ),
  );
  expect(outZones.size).toBeLessThanOrEqual(1);
  expect(waves.platform.faults.rebootedWhileServing).toEqual([]);
}

async function stepUntil(waves: Waves, isDone: (wave: WaveRecord) => boolean, maximum = 80): Promise<number> {
  for (let steps = 0; steps < maximum; steps += 1) {
    if (isDone(readWave(waves))) return steps;
    await step(waves);
  }
  return maximum;
}

const isFinished = ({ state }: WaveRecord): boolean => state === "finished";

test("a wave reboots every instance once, zone by zone, after observing the first batch", async () => {
  const waves = await startWorld();
  await waves.firstParts.commands.start(request);
  await stepUntil(waves, ({ currentBatch }) => currentBatch === 1);
  const { watchedSince, batches } = readWave(waves);
  expect(batches[0]?.instanceIds).toHaveLength(1);
  expect(waves.world.time - (watchedSince ?? 0)).toBeGreaterThanOrEqual(5_000);
  expect(waves.platform.reboots.size).toBe(1);
  await stepUntil(waves, isFinished);
  expect(readWave(waves).state).toBe("finished");
  expect([...waves.platform.reboots.values()].sort()).toEqual(
    [1, 2, 3].flatMap((zone) => [1, 2].map((index) => `zone-${zone}-quotes-${index}`)),
  );
  closeWorld(waves.world);
});

test("another runner finishes the wave of a runner that was killed after any step", async () => {
  const probe = await startWorld();
  await probe.firstParts.commands.start(request);
  const steps = await stepUntil(probe, isFinished);
  closeWorld(probe.world);
  for (let killAfter = 0; killAfter < steps; killAfter += 1) {
    const waves = await startWorld();
    await waves.firstParts.commands.start(request);
    for (let done = 0; done < killAfter; done += 1) await step(waves);
    waves.first.state.alive = false;
    for (let done = 0; done < steps + 2; done += 1) {
      await step(waves, waves.secondParts.runner, waves.second.mover);
    }
    expect(readWave(waves).state, `killed after step ${killAfter}`).toBe("finished");
    expect(waves.platform.reboots.size).toBe(6);
    closeWorld(waves.world);
  }
});

test("a suspended runner that continues after an abort starts no drain or reboot", async () => {
  for (let pauseAfter = 0; pauseAfter < 6; pauseAfter += 1) {
    const waves = await startWorld();
    await waves.firstParts.commands.start(request);
    for (let done = 0; done < pauseAfter; done += 1) await step(waves);
    await refreshAll(waves.world);
    // The first runner's step starts before the abort and ends while or after the second runner's steps run.
    const paused = waves.firstParts.runner.step();
    await waves.secondParts.commands.abort("w-1", "a-1");
    for (let done = 0; done < 6; done += 1) {
      await step(waves, waves.secondParts.runner, waves.second.mover);
    }
    await paused;
    await step(waves);
    const wave = readWave(waves);
    expect(wave.state).toBe("aborted");
    for (const instanceId of Object.keys(wave.instances)) {
      const zone = instanceId.slice(0, "zone-1".length);
      expect(stored(waves.world, instanceId, zone)?.state, `${instanceId}, ${pauseAfter}`).toBe("serving");
    }
    closeWorld(waves.world);
  }
});

test("a stale runner's drain command has no effect after an abort has superseded it", async () => {
  const waves = await startWorld();
  await waves.firstParts.commands.start(request);
  await waves.firstParts.runner.step();
  const [instanceId = ""] = readWave(waves).batches[0]?.instanceIds ?? [];
  await waves.secondParts.commands.abort("w-1", "a-1");
  await waves.secondParts.runner.step();
  await waves.first.commands.drain(instanceId, `wave/w-1/${instanceId}/drain`);
  expect(stored(waves.world, instanceId)?.state).toBe("serving");
  closeWorld(waves.world);
});

test("of two concurrent operator commands one succeeds and the other gets a conflict", async () => {
  const waves = await startWorld();
  await waves.firstParts.commands.start(request);
  const results = await Promise.all([
    waves.firstParts.commands.pause("w-1", "p-1"),
    waves.secondParts.commands.abort("w-1", "a-1"),
  ]);
  expect(results.filter((result) => result.isRight())).toHaveLength(1);
  const failure = results
    .find((result) => result.isLeft())
    ?.swap()
    .unsafeCoerce();
  expect(failure?.kind).toBe("conflict");
  const starts = await Promise.all([
    waves.firstParts.commands.start({ ...request, waveId: "w-2" }),
    waves.secondParts.commands.start({ ...request, waveId: "w-3" }),
  ]);
  expect(starts.filter((result) => result.isRight()).length).toBeLessThanOrEqual(1);
  closeWorld(waves.world);
});

test("a paused wave starts no drain and continues when resumed", async () => {
  const waves = await startWorld();
  await waves.firstParts.commands.start(request);
  await waves.firstParts.commands.pause("w-1", "p-1");
  for (let done = 0; done < 5; done += 1) await step(waves);
  expect(Object.values(readWave(waves).instances).every(({ state }) => state === "pending")).toBe(true);
  await waves.firstParts.commands.resume("w-1", "r-1");
  await stepUntil(waves, isFinished);
  expect(readWave(waves).state).toBe("finished");
  closeWorld(waves.world);
});

test("a wave halts when failures exceed the usual failure rate", async () => {
  const waves = await startWorld();
  for (const zone of [1, 2, 3]) {
    for (const index of [1, 2]) waves.platform.faults.failing.add(`zone-${zone}-quotes-${index}`);
  }
  const limits = { ...request.limits, poolShare: 0.5 };
  await waves.firstParts.commands.start({ ...request, limits });
  for (let done = 0; done < 40; done += 1) await step(waves);
  expect(readWave(waves)).toMatchObject({ state: "halted", reason: "2 of 2 instances did not return" });
  expect(hasUnusualFailures(1, 50, 0.02)).toBe(false);
  expect(probabilityOfAtLeast(1, 2, 0.5)).toBeCloseTo(0.75);
  closeWorld(waves.world);
});

test("a wave waits while a service's availability budget is too low", async () => {
  const waves = await startWorld();
  waves.budget.share = 0.2;
  await waves.firstParts.commands.start(request);
  for (let done = 0; done < 5; done += 1) await step(waves);
  expect(waves.platform.reboots.size).toBe(0);
  expect(readWave(waves).reason).toBe("too little of the availability budget of service quotes is left");
  waves.budget.share = 0.9;
  await stepUntil(waves, isFinished);
  expect(readWave(waves).state).toBe("finished");
  closeWorld(waves.world);
});

test("a wave waits while an instance of the pool is out of service in another zone", async () => {
  const waves = await startWorld();
  const limits = { ...request.limits, poolShare: 0.5 };
  await waves.second.commands.drain("zone-3-quotes-1", "d-1");
  await waves.firstParts.commands.start({ ...request, limits });
  for (let done = 0; done < 5; done += 1) await step(waves);
  expect(readWave(waves).reason).toBe("an instance of pool quotes is out of service in another zone");
  await waves.second.commands.restore("zone-3-quotes-1", "r-1");
  await stepUntil(waves, isFinished);
  expect(readWave(waves).state).toBe("finished");
  closeWorld(waves.world);
});

test("a drain that exceeds its time limit needs an operator and reboots only after the work has ended", async () => {
  const waves = await startWorld();
  waves.second.inProgress.set("zone-1-quotes-1", 1);
  const limits = waveLimitsSchema.parse({ watchSeconds: 0, drainBoundSeconds: 3 });
  await waves.firstParts.commands.start({ ...request, limits });
  for (let done = 0; done < 12; done += 1) await step(waves);
  expect(readWave(waves).instances["zone-1-quotes-1"]?.state).toBe("needs-operator");
  expect(waves.platform.reboots.size).toBe(0);
  waves.second.inProgress.clear();
  await stepUntil(waves, isFinished);
  expect(waves.platform.reboots.size).toBe(6);
  closeWorld(waves.world);
});

test("a wave finishes despite lost store responses and a store outage", async () => {
  const waves = await startWorld();
  await waves.firstParts.commands.start(request);
  for (let done = 0; done < 60; done += 1) {
    if (done % 3 === 0) waves.first.faults.loseAnswers = 1;
    waves.first.faults.mode = done >= 10 && done < 15 ? "down" : "up";
    await step(waves);
  }
  expect(readWave(waves).state).toBe("finished");
  expect(waves.platform.reboots.size).toBe(6);
  closeWorld(waves.world);
});

test("an operator cannot restore an instance that a wave is rebooting", async () => {
  const waves = await startWorld();
  await waves.firstParts.commands.start(request);
  await stepUntil(waves, (wave) => wave.instances["zone-1-quotes-1"]?.state === "rebooting");
  waves.platform.faults.down = true;
  await step(waves);
  const restored = await waves.second.commands.restore("zone-1-quotes-1", "r-1");
  expect(restored.swap().unsafeCoerce().message).toContain("reserved by wave w-1");
  closeWorld(waves.world);
});
