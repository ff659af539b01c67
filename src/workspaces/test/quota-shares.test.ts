/**
 * Caps that pools apply independently of each other: runs stay within the cap whatever records and answers are lost or
 * delayed, and no pool keeps a share that others could use.
 * @packageDocumentation
 */
import fc from "fast-check";
import { expect, test } from "vitest";
import { decodeQuotaRecord, type Amounts } from "../quota-record.js";
import { chooseShare, usableShare } from "../quota-shares.js";
import { QuotaModel, type ModelPool, type WriteFate } from "./quota-model.js";

const seed = 20_261_204;
const names = ["presses", "ovens", "saws"];
const cap: Amounts = [20, 0, 6];
const small: Amounts = [1, 5, 0];
const wide: Amounts = [7, 5, 2];
const roundMilliseconds = 100;

interface Command {
  readonly name: string;
  act(model: QuotaModel, pool: ModelPool): readonly string[];
}

const nothing: readonly string[] = [];
const fates: readonly WriteFate[] = ["done", "done", "done", "refused", "lost", "answer-lost", "late"];

const command: fc.Arbitrary<Command> = fc.oneof(
  { weight: 5, arbitrary: fc.tuple(fc.constantFrom(small, wide), fc.nat({ max: 30 })).map(roundCommand) },
  { weight: 5, arbitrary: fc.constantFrom(...fates).map(settleCommand) },
  {
    weight: 3,
    arbitrary: fc.constant(
      simple("receive the record", (model, pool) => {
        model.receiveRecord(pool);
      }),
    ),
  },
  {
    weight: 3,
    arbitrary: fc.nat({ max: 20 }).map((count) =>
      simple(`end ${count}`, (model, pool) => {
        model.end(pool, count);
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.constant(
      simple("carry out late writes", (model) => {
        model.carryOutLate();
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.constant(
      simple("take over", (model, pool) => {
        model.takeOver(pool);
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.constant(
      simple("see all runs", (_, pool) => {
        pool.unseen = [];
      }),
    ),
  },
);

const configured: fc.Arbitrary<Command> = fc.oneof(
  { weight: 12, arbitrary: command },
  {
    weight: 1,
    arbitrary: fc.constantFrom<Amounts>([8, 0, 2], [30, 0, 9], [14, 0, 4]).map((next) =>
      simple(`cap ${next.join()}`, (model) => {
        model.configure([...next]);
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: fc.constant(
      simple("receive the configuration", (model, pool) => {
        model.receiveConfiguration(pool);
      }),
    ),
  },
);

const spoiled: fc.Arbitrary<Command> = fc.oneof(
  { weight: 20, arbitrary: command },
  {
    weight: 1,
    arbitrary: fc.constant(
      simple("spoil", (model) => {
        model.spoil();
      }),
    ),
  },
);

function simple(name: string, act: (model: QuotaModel, pool: ModelPool) => void): Command {
  return {
    name,
    act: (model, pool) => {
      act(model, pool);
      return nothing;
    },
  };
}

function roundCommand([needs, wanted]: readonly [Amounts, number]): Command {
  return {
    name: `round ${needs.join()} ${wanted}`,
    act: (model, pool) => model.round(pool, needs, wanted).wrong,
  };
}

function settleCommand(fate: WriteFate): Command {
  return simple(`settle ${fate}`, (model, pool) => {
    model.settle(pool, fate);
  });
}

function checkHistories(commands: fc.Arbitrary<Command>, runs: number): void {
  const step = fc.record({ command: commands, pool: fc.nat({ max: 2 }), pause: fc.nat({ max: 400 }) });
  fc.assert(
    fc.property(fc.array(step, { minLength: 60, maxLength: 120 }), (steps) => {
      const model = new QuotaModel(names, cap);
      for (const { command: each, pool, pause } of steps) {
        model.pass(pause);
        const chosen = model.pools[pool];
        if (chosen !== undefined) expect(each.act(model, chosen)).toEqual([]);
      }
    }),
    { seed: Number(process.env.QUOTA_MODEL_SEED ?? seed), numRuns: runs },
  );
}

test("runs never exceed the cap under any interleaving of writes, lost answers, stale copies and takeovers", () => {
  checkHistories(command, 500);
});

test("while caps change, runs never exceed the highest cap that may be in force", () => {
  checkHistories(configured, 500);
});

test("runs never exceed the cap after a record that cannot be read", () => {
  checkHistories(spoiled, 500);
});

/** Runs rounds in which each pool receives the record, starts as many of its wanted tasks as allowed, and writes. */
function play(model: QuotaModel, milliseconds: number, wants: readonly (readonly [Amounts, number])[]): void {
  for (let passed = 0; passed < milliseconds; passed += roundMilliseconds) {
    model.pass(roundMilliseconds);
    model.pools.forEach((pool, index) => {
      const [needs, wanted] = wants[index] ?? [small, 0];
      model.receiveRecord(pool);
      model.round(pool, needs, wanted);
      model.settle(pool, "done");
    });
  }
}

test("an unused share is released within 1.5 s, whether other pools request it or not", () => {
  const model = new QuotaModel(names, cap);
  const [presses, ovens] = model.pools as [ModelPool, ModelPool];
  play(model, 500, [[small, 30]]);
  expect(presses.runs).toHaveLength(20);
  model.end(presses, 20);
  play(model, 300, [
    [small, 0],
    [small, 30],
  ]);
  expect(ovens.runs).toHaveLength(20);
  model.end(ovens, 20);
  play(model, 1_400, []);
  expect(decodeQuotaRecord(presses.received?.value)?.pools).toEqual({});
});

test("a pool counts on its part of a cap that another pool holds, unless its request is not served for 5 s", () => {
  const model = new QuotaModel(names, cap);
  const [presses, ovens] = model.pools as [ModelPool, ModelPool];
  const wanted = [[small, 30] as const, [small, 30] as const];
  play(model, 500, [[small, 30]]);
  expect(ovens.held.reachable()[0]).toBe(10);
  play(model, 4_900, wanted);
  expect(ovens.held.reachable()[0]).toBe(10);
  play(model, 400, wanted);
  expect(ovens.held.reachable()[0]).toBe(0);
  model.end(presses, 3);
  play(model, 300, wanted);
  expect([ovens.runs.length, ovens.held.reachable()[0]]).toEqual([3, 10]);
});

test("two pools that both request a whole cap get half each, and then write nothing", () => {
  const model = new QuotaModel(names, cap);
  const [presses, ovens] = model.pools as [ModelPool, ModelPool];
  play(model, 500, [[small, 30]]);
  for (let round = 0; round < 10; round += 1) {
    model.end(presses, 3);
    model.end(ovens, 3);
    play(model, 300, [
      [small, 30],
      [small, 30],
    ]);
  }
  expect([presses.runs.length, ovens.runs.length]).toEqual([10, 10]);
  const before = model.writes;
  for (let round = 0; round < 10; round += 1) {
    model.end(presses, 3);
    model.end(ovens, 3);
    play(model, 300, [
      [small, 30],
      [small, 30],
    ]);
  }
  expect(model.writes - before).toBe(0);
});

test("a start that is larger than an equal part of the cap is served in queue order, and so are small ones after it", () => {
  const model = new QuotaModel(names, cap);
  const [presses, ovens] = model.pools as [ModelPool, ModelPool];
  const gang: Amounts = [14, 0, 0];
  play(model, 500, [[small, 30]]);
  const runCounts = { gangs: 0, small: 0 };
  for (let round = 0; round < 40; round += 1) {
    runCounts.gangs += ovens.runs.length;
    runCounts.small += presses.runs.length;
    model.end(ovens, 1);
    model.end(presses, 4);
    play(model, 300, [
      [small, 30],
      [gang, 1],
    ]);
  }
  expect(runCounts.gangs).toBeGreaterThan(3);
  expect(runCounts.small).toBeGreaterThan(100);
});

test("tasks that take a whole cap alternate between the pools", () => {
  const model = new QuotaModel(names, cap);
  const whole: Amounts = [20, 0, 0];
  const started = [0, 0, 0];
  for (let round = 0; round < 30; round += 1) {
    play(
      model,
      300,
      names.map(() => [whole, 1] as const),
    );
    model.pools.forEach((pool, index) => {
      started[index] = (started[index] ?? 0) + pool.runs.length;
      model.end(pool, 1);
    });
  }
  expect(Math.min(...started)).toBeGreaterThan(5);
});

test("a start that is larger than the whole cap requests nothing and blocks no other pool", () => {
  const model = new QuotaModel(names, cap);
  const [, ovens, saws] = model.pools as [ModelPool, ModelPool, ModelPool];
  play(model, 500, [
    [[21, 0, 0], 1],
    [small, 12],
    [small, 8],
  ]);
  expect([ovens.runs.length, saws.runs.length]).toEqual([12, 8]);
});

test("a lowered cap prevents starts in all pools until the runs fit under it", () => {
  const model = new QuotaModel(names, cap);
  const [presses, ovens] = model.pools as [ModelPool, ModelPool];
  play(model, 500, [
    [small, 10],
    [small, 10],
  ]);
  model.configure([8, 0, 2]);
  for (const pool of model.pools) model.receiveConfiguration(pool);
  play(model, 4_000, [
    [small, 10],
    [small, 10],
  ]);
  expect(model.running()[0]).toBe(20);
  model.end(presses, 9);
  play(model, 1_000, [
    [small, 10],
    [small, 10],
  ]);
  expect(model.running()[0]).toBe(11);
  model.end(ovens, 7);
  play(model, 1_000, [
    [small, 10],
    [small, 10],
  ]);
  expect(model.running()[0]).toBe(8);
});

test("a new limit includes runs that exist already, and nothing starts above it", () => {
  const model = new QuotaModel(names, [0, 0, 6]);
  const [presses, ovens] = model.pools as [ModelPool, ModelPool];
  play(model, 100, [
    [small, 15],
    [small, 10],
  ]);
  model.configure(cap);
  for (const pool of model.pools) model.receiveConfiguration(pool);
  play(model, 100, []);
  model.end(presses, 4);
  play(model, 1_000, [
    [small, 10],
    [small, 10],
  ]);
  expect(model.running()[0]).toBe(21);
  model.end(ovens, 2);
  play(model, 1_000, [
    [small, 10],
    [small, 10],
  ]);
  expect(model.running()[0]).toBe(20);
});

test("a resource without a limit is not divided", () => {
  const record = { pools: { ovens: { share: [20, 0, 0] as const } } };
  expect(usableShare({ record, pool: "presses", cap })).toEqual([0, Infinity, 0]);
  const use = { running: small, peak: small, wanted: wide, least: wide };
  expect(chooseShare({ record, pool: "presses", cap }, use).share[1]).toBe(0);
});

test("after a record that cannot be read, pools continue once each has reported its runs", () => {
  const model = new QuotaModel(names, cap);
  const [presses, ovens] = model.pools as [ModelPool, ModelPool];
  play(model, 500, [
    [small, 6],
    [small, 6],
  ]);
  model.spoil();
  play(model, 2_000, [
    [small, 4],
    [small, 30],
  ]);
  expect(presses.runs.length + ovens.runs.length).toBe(20);
  const record = decodeQuotaRecord(presses.received?.value);
  expect(record?.isIncomplete).toBeUndefined();
});
