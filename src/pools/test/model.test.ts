/**
 * Model-based test of the placement: commands, movers, crashes, pauses, partitions, store outages and lost replies in
 * random order.
 * @packageDocumentation
 */
import fc from "fast-check";
import { test } from "vitest";
import {
  canCommunicate,
  closeWorld,
  createFakeEntry,
  createWorld,
  isolate,
  refreshAll,
  settle,
  stored,
  writeInstances,
  type FakeEntry,
  type World,
} from "./fake-entries.js";

const instances = ["zone-1-quotes-1", "zone-1-spare-1"];
const entryIds = ["entry-1", "entry-2", "entry-3"];
const memberLeaseMilliseconds = 10_000;
const seed = 20_261_203;

interface Real {
  readonly world: World;
  /** Time at which each entry last renewed its member lease. */
  readonly renewedAt: Map<string, number>;
  /** Identifiers of the accepted commands by instance, in order. */
  readonly accepted: Map<string, string[]>;
  /** Violations: requests that were sent to a stopped instance or to one of another pool. */
  readonly violations: string[];
}
type Model = Record<string, never>;

abstract class Step implements fc.AsyncCommand<Model, Real> {
  abstract act(real: Real): Promise<void>;

  check(): boolean {
    return true;
  }

  async run(_model: Model, real: Real): Promise<void> {
    await this.act(real);
    await settle();
    checkWorld(real);
  }

  abstract toString(): string;
}

class CommandStep extends Step {
  constructor(
    readonly action: "move" | "drain" | "restore",
    readonly entryId: string,
    readonly instanceId: string,
    readonly changeId: string,
  ) {
    super();
  }

  async act(real: Real): Promise<void> {
    const entry = findRunning(real, this.entryId);
    if (entry === undefined) return;
    const { commands } = entry;
    const { action, instanceId, changeId } = this;
    const pool = stored(real.world, instanceId)?.pool === "quotes" ? "spare" : "quotes";
    const result = await (action === "move"
      ? commands.move(instanceId, pool, changeId)
      : commands[action](instanceId, changeId));
    if (result.isRight()) real.accepted.get(instanceId)?.push(changeId);
  }

  toString(): string {
    return `${this.action} ${this.instanceId} by ${this.entryId} as ${this.changeId}`;
  }
}

class FaultStep extends Step {
  constructor(
    readonly fault:
      "kill" | "pause" | "wake" | "cut" | "isolate" | "heal" | "outage" | "return" | "lose-answer",
    readonly entryId: string,
  ) {
    super();
  }

  async act({ world }: Real): Promise<void> {
    const entry = world.entries.get(this.entryId);
    if (entry === undefined) return;
    const { state, faults } = entry;
    switch (this.fault) {
      case "kill":
        // At least one entry stays alive.
        if ([...world.entries.values()].filter((each) => each.state.alive).length > 1) {
          state.alive = false;
          entry.inProgress.clear();
        }
        break;
      case "pause":
      case "wake":
        state.paused = this.fault === "pause";
        break;
      case "cut":
        isolate(world, this.entryId);
        break;
      case "isolate":
        isolate(world, this.entryId);
        faults.mode = "down";
        break;
      case "heal":
        world.cuts.clear();
        break;
      case "outage":
      case "return":
        faults.mode = this.fault === "outage" ? "down" : "up";
        break;
      case "lose-answer":
        faults.loseAnswers = 1;
    }
    await Promise.resolve();
  }

  toString(): string {
    return `${this.fault} ${this.entryId}`;
  }
}

/** Runs movers, possibly several at once, as happens when a leader was paused beyond its lease. */
class MoverStep extends Step {
  constructor(readonly moverIds: readonly string[]) {
    super();
  }

  async act(real: Real): Promise<void> {
    const movers = this.moverIds.flatMap((entryId) => findRunning(real, entryId) ?? []);
    await Promise.all(movers.map(async ({ mover }) => mover.step()));
  }

  toString(): string {
    return `mover steps of ${this.moverIds.join(", ")}`;
  }
}

class RequestStep extends Step {
  constructor(
    readonly entryId: string,
    readonly pool: string,
    readonly ends: boolean,
  ) {
    super();
  }

  async act(real: Real): Promise<void> {
    await Promise.resolve();
    const entry = findRunning(real, this.entryId);
    if (entry === undefined) return;
    if (this.ends) entry.inProgress.clear();
    if (this.ends || !entry.confidence.isConfident()) return;
    for (const { instanceId } of entry.view.serving(this.pool)) {
      entry.inProgress.set(instanceId, (entry.inProgress.get(instanceId) ?? 0) + 1);
      const placed = stored(real.world, instanceId);
      // Checked against the store's current record: a stopped instance, or one of another pool, must get no new requests.
      if (placed?.state === "stopped" || placed?.pool !== this.pool) {
        real.violations.push(`${this.entryId} sent to ${instanceId}, which is ${placed?.state ?? "unknown"}`);
      }
    }
  }

  toString(): string {
    return `${this.ends ? "requests end" : "requests start"} at ${this.entryId} for ${this.pool}`;
  }
}

class TimeStep extends Step {
  constructor(readonly seconds: number) {
    super();
  }

  async act(real: Real): Promise<void> {
    const { world, renewedAt } = real;
    for (let passed = 0; passed < this.seconds; passed += 1) {
      world.time += 1_000;
      await refreshAll(world);
      for (const entry of world.entries.values()) {
        const { state, faults, entryId } = entry;
        if (!state.alive || state.paused) continue;
        if (faults.mode === "up") renewedAt.set(entryId, world.time);
        await entry.confidence.step();
      }
      world.listed = entryIds.filter(
        (entryId) => world.time - (renewedAt.get(entryId) ?? 0) < memberLeaseMilliseconds,
      );
    }
  }

  toString(): string {
    return `${this.seconds} s pass`;
  }
}

function findRunning({ world }: Real, entryId: string): FakeEntry | undefined {
  const entry = world.entries.get(entryId);
  return entry?.state.alive === true && !entry.state.paused ? entry : undefined;
}

function checkWorld({ world, accepted, violations }: Real): void {
  if (violations.length > 0) throw new Error(violations.join("; "));
  for (const instanceId of instances) {
    const placed = stored(world, instanceId);
    const lastAccepted = accepted.get(instanceId)?.at(-1);
    if (placed === undefined) throw new Error(`${instanceId} is in no pool`);
    if (lastAccepted !== undefined && !placed.recentChanges.includes(lastAccepted)) {
      throw new Error(`accepted command ${lastAccepted} of ${instanceId} was lost`);
    }
    const busyEntry = [...world.entries.values()].find(
      (entry) => (entry.inProgress.get(instanceId) ?? 0) > 0,
    );
    if (placed.state === "stopped" && busyEntry !== undefined) {
      throw new Error(`${instanceId} was stopped while ${busyEntry.entryId} has requests in progress there`);
    }
  }
}

async function startReal(): Promise<Real> {
  const world = createWorld();
  writeInstances(world, "zone-1", "quotes", 1);
  writeInstances(world, "zone-1", "spare", 1);
  for (const entryId of entryIds) createFakeEntry(world, entryId);
  await refreshAll(world);
  const renewedAt = new Map(entryIds.map((entryId) => [entryId, world.time]));
  const accepted = new Map(instances.map((instanceId) => [instanceId, [] as string[]]));
  return { world, renewedAt, accepted, violations: [] };
}

const entryId = fc.constantFrom(...entryIds);
const steps: fc.Arbitrary<Step>[] = [
  fc
    .tuple(
      fc.constantFrom("move" as const, "drain" as const, "restore" as const),
      entryId,
      fc.constantFrom(...instances),
      fc.constantFrom("c-1", "c-2", "c-3", "c-4", "c-5", "c-6"),
    )
    .map((values) => new CommandStep(...values)),
  fc
    .tuple(
      fc.constantFrom(
        ...(["kill", "pause", "wake", "cut", "isolate", "heal", "outage", "return", "lose-answer"] as const),
      ),
      entryId,
    )
    .map((values) => new FaultStep(...values)),
  fc.subarray(entryIds, { minLength: 1 }).map((ids) => new MoverStep(ids)),
  fc
    .tuple(entryId, fc.constantFrom("quotes", "spare"), fc.boolean())
    .map((values) => new RequestStep(...values)),
  fc.constantFrom(1, 3, 12, 30).map((seconds) => new TimeStep(seconds)),
];

test("promises on the placement hold under any order of commands and faults", async () => {
  await fc.assert(
    fc.asyncProperty(fc.commands(steps, { maxCommands: 60, size: "max" }), async (commands) => {
      const real = await startReal();
      try {
        await fc.asyncModelRun(() => ({ model: {}, real }), commands);
      } finally {
        closeWorld(real.world);
      }
    }),
    { seed, numRuns: 800 },
  );
});

test("a paused entry cannot communicate", async () => {
  const { world } = await startReal();
  const entry = world.entries.get("entry-1");
  if (entry !== undefined) entry.state.paused = true;
  if (canCommunicate(world, "entry-1", "entry-2")) throw new Error("a paused entry can communicate");
  closeWorld(world);
});
