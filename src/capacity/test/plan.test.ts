import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { planMoves, requireInstances, type PlannedInstance, type PlannerInput } from "../index.js";
import {
  applyMoves,
  arbitraryInput,
  createInput,
  createPool,
  movesOf,
  placeInstances,
  sparePool,
} from "./plan-inputs.js";

const options = { seed: 6, numRuns: 300 };

function countServing(instances: readonly PlannedInstance[], pool: string): number {
  return instances.filter((instance) => instance.pool === pool && instance.state === "serving").length;
}

function settle(input: PlannerInput, rounds: number): { instances: PlannedInstance[]; lastMoves: number } {
  let instances = [...input.instances];
  let lastMoves = 0;
  for (let round = 0; round < rounds; round += 1) {
    const decisions = planMoves({ ...input, instances });
    lastMoves = movesOf(decisions).length;
    instances = applyMoves(instances, decisions);
  }
  return { instances, lastMoves };
}

describe("planMoves", () => {
  it("never takes a pool below its minimum", () => {
    fc.assert(
      fc.property(arbitraryInput, (input) => {
        const decisions = planMoves(input);
        for (const pool of input.pools) {
          const taken = movesOf(decisions).filter(({ from }) => from === pool.name).length;
          const serving = countServing(input.instances, pool.name);
          if (taken > 0) expect(serving - taken).toBeGreaterThanOrEqual(pool.minimumInstances);
        }
      }),
      options,
    );
  });

  it("keeps the moves in flight within the bound and moves each instance once, to another pool", () => {
    fc.assert(
      fc.property(arbitraryInput, (input) => {
        const moves = movesOf(planMoves(input));
        const inFlight = input.instances.filter(({ moveTo }) => moveTo !== undefined).length;
        expect(moves.length).toBeLessThanOrEqual(Math.max(0, input.limits.maximumMovesInFlight - inFlight));
        expect(new Set(moves.map(({ instanceId }) => instanceId)).size).toBe(moves.length);
        for (const { from, to } of moves) expect(to).not.toBe(from);
      }),
      options,
    );
  });

  it("plans no more moves after a while under constant demand", () => {
    fc.assert(
      fc.property(arbitraryInput, (input) => {
        const resting = input.instances.map(({ moveTo, ...instance }) => ({
          ...instance,
          pool: moveTo ?? instance.pool,
          state: "serving" as const,
        }));
        expect(settle({ ...input, instances: resting }, resting.length + 2).lastMoves).toBe(0);
      }),
      options,
    );
  });

  it("decides to hold only if a pool keeps its working instances after the loss of any rack", () => {
    fc.assert(
      fc.property(arbitraryInput, (input) => {
        for (const decision of planMoves(input)) {
          if (decision.action !== "hold" || decision.requirement === undefined) continue;
          const after = applyMoves(input.instances, planMoves(input)).map(({ moveTo, ...instance }) => ({
            ...instance,
            pool: moveTo ?? instance.pool,
          }));
          const members = after.filter(({ pool }) => pool === decision.pool);
          for (const lost of new Set(members.map(({ rack }) => rack))) {
            const left = members.filter(({ rack }) => rack !== lost).length;
            expect(left).toBeGreaterThanOrEqual(decision.requirement.workingInstances);
          }
        }
      }),
      options,
    );
  });

  it("decides to hold the spare pool only if it covers the usual load after the loss of any zone", () => {
    fc.assert(
      fc.property(arbitraryInput, (input) => {
        const decisions = planMoves(input);
        const spare = decisions.find((each) => each.action !== "move" && each.pool === "spare");
        if (spare?.action !== "hold") return;
        const after = applyMoves(input.instances, decisions).map(({ moveTo, ...instance }) => ({
          ...instance,
          pool: moveTo ?? instance.pool,
        }));
        for (const lost of new Set(after.map(({ zone }) => zone))) {
          const left = after.filter(({ zone }) => zone !== lost);
          const short = decisions.map((each) => {
            if (each.action === "move" || each.requirement === undefined) return 0;
            const members = left.filter(({ pool }) => pool === each.pool).length;
            return Math.max(0, each.requirement.steadyInstances - members);
          });
          const available = left.filter(({ pool }) => pool === "spare").length;
          expect(available).toBeGreaterThanOrEqual(short.reduce((sum, count) => sum + count, 0));
        }
      }),
      options,
    );
  });

  it("reaches at least the pool size of a naive planner without a limit of moves", () => {
    fc.assert(
      fc.property(arbitraryInput, (input) => {
        const quotes = input.pools[0];
        if (quotes?.demand === undefined) return;
        const needed = requireInstances(quotes.demand.load, quotes.demand, quotes).workingInstances;
        // The naive planner ignores racks, limits and other pools: it takes from the spare pool until the load is covered.
        const spare = countServing(input.instances, "spare");
        const naive = Math.min(needed, countServing(input.instances, "quotes") + spare);
        const only = input.pools.filter(({ name }) => name !== "nesting");
        const { instances } = settle({ ...input, pools: only }, input.instances.length);
        const held = instances.filter(({ pool, moveTo }) => (moveTo ?? pool) === "quotes").length;
        expect(held).toBeGreaterThanOrEqual(naive);
      }),
      options,
    );
  });
});

describe("choice of instances", () => {
  it("moves directly between pools when the spare pool is empty", () => {
    const pools = [createPool("quotes", 30), createPool("nesting", 2), sparePool];
    const moves = movesOf(planMoves(createInput(pools, placeInstances({ quotes: 4, nesting: 8 }))));
    expect(moves).not.toHaveLength(0);
    for (const move of moves) expect(move).toMatchObject({ from: "nesting", to: "quotes" });
  });

  it("gives up the instance that a maintenance wave will drain", () => {
    const instances = placeInstances({ quotes: 8, spare: 1 });
    const drainPlanned = new Set(["target-5"]);
    const input = createInput([createPool("quotes", 4), sparePool], instances, { drainPlanned });
    expect(movesOf(planMoves(input))[0]).toMatchObject({ instanceId: "target-5", to: "spare" });
  });

  it("does not give up an instance before its minimum stay", () => {
    const instances = placeInstances({ quotes: 8 }).map((each) => ({ ...each, since: 9_990_000 }));
    expect(movesOf(planMoves(createInput([createPool("quotes", 4), sparePool], instances)))).toHaveLength(0);
  });

  it("holds one instance more when half of the availability budget is spent", () => {
    const place = (): PlannedInstance[] => placeInstances({ quotes: 3, spare: 30 });
    const plan = (spentBudgetShare: number): number =>
      settle(
        createInput([createPool("quotes", 20, { spentBudgetShare }), sparePool], place()),
        6,
      ).instances.filter(({ pool }) => pool === "quotes").length;
    expect(plan(0.6)).toBe(plan(0.1) + 1);
  });
});
