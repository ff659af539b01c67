import Emittery from "emittery";
import { Right } from "purify-ts";
import { describe, expect, it, onTestFinished } from "vitest";
import { checkConfiguration } from "../../configuration/index.js";
import { createPeerNetwork } from "../../membership/index.js";
import type { PlacementCommands, PlacementView, Target } from "../../pools/index.js";
import { createLog } from "../../telemetry/index.js";
import { createCapacityManager, createDemandCounter, type CapacityManager } from "../index.js";
import { placeInstances } from "./plan-inputs.js";

const stepsOfOnePlan = 10;
const configuration = checkConfiguration({
  version: 1,
  pools: [
    { name: "quotes", minimumInstances: 2 },
    { name: "spare", minimumInstances: 0, spare: true },
  ],
  services: [
    {
      name: "quotes",
      pool: "quotes",
      availability: { objective: 0.999 },
      deadlineMilliseconds: 5_000,
      operations: [{ name: "quote", idempotent: true }],
    },
  ],
}).unsafeCoerce();

function createView(targets: readonly Target[]): PlacementView {
  return {
    events: new Emittery(),
    serving: (pool) => targets.filter((target) => target.pool === pool),
    members: (pool) => targets.filter((target) => target.pool === pool),
    all: () => targets,
    find: (instanceId) => targets.find((target) => target.instanceId === instanceId),
    revision: () => 1,
  };
}

function createManager(startsMoves: boolean): {
  manager: CapacityManager;
  moves: unknown[][];
  lines: string[];
} {
  const moves: unknown[][] = [];
  const lines: string[] = [];
  const log = createLog("info", (line) => lines.push(line));
  const peers = createPeerNetwork({ entryId: "entry-1", incarnation: 1, zone: "zone-1" }, log);
  onTestFinished(async () => peers.close());
  const record = async (...command: unknown[]): ReturnType<PlacementCommands["move"]> => {
    moves.push(command);
    return Promise.resolve(Right(1));
  };
  const targets = placeInstances({ quotes: 1, spare: 2 }).map((instance) => ({
    ...instance,
    address: "127.0.0.1:1",
    recentChanges: [],
  }));
  const manager = createCapacityManager({
    entryId: "entry-1",
    incarnation: 1,
    peers,
    view: createView(targets),
    commands: { move: record, drain: record, restore: record, reserve: record, release: record },
    counter: createDemandCounter(),
    log,
    startsMoves,
    text: () => configuration,
    isHolder: () => true,
    drainPlanned: () => new Set(),
  });
  return { manager, moves, lines };
}

describe("capacity manager", () => {
  it("starts a planned move under an identifier that any other holder would derive too", async () => {
    const { manager, moves, lines } = createManager(true);
    for (let step = 0; step < stepsOfOnePlan; step += 1) await manager.step();
    expect(moves).toEqual([["target-1", "quotes", "plan/target-1/0"]]);
    expect(lines.filter((line) => line.includes("event=plan-move"))).toHaveLength(1);
  });

  it("only logs moves when startsMoves is false", async () => {
    const { manager, moves, lines } = createManager(false);
    for (let step = 0; step < stepsOfOnePlan; step += 1) await manager.step();
    expect(moves).toHaveLength(0);
    expect(lines.some((line) => line.includes("event=plan-move"))).toBe(true);
  });

  it("returns the plan of a dry run without starting moves", async () => {
    const { manager, moves } = createManager(true);
    const { holder, decisions } = await manager.dryRun();
    expect(holder).toBe("entry-1");
    expect(decisions).toContainEqual(expect.objectContaining({ action: "move", to: "quotes" }));
    expect(moves).toHaveLength(0);
  });
});
