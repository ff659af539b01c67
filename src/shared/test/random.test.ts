/**
 * Seeded random numbers are reproducible, and their first draws are evenly distributed over adjacent seeds.
 * Rendezvous hashing moves only the keys of a removed member.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createRandom, rendezvousOwner } from "../index.js";

const seeds = Array.from({ length: 1_000 }, (_, seed) => seed);

test("equal seeds give equal sequences", () => {
  const [left, right] = [createRandom(7), createRandom(7)];
  const draw = (): [number, number] => [left.integer(0, 1_000), right.integer(0, 1_000)];
  for (let draws = 0; draws < 50; draws += 1) expect(draw()).toSatisfy(([first, second]) => first === second);
});

test("the first draws of adjacent seeds are evenly distributed", () => {
  const firstDraws = seeds.map((seed) => createRandom(seed).fraction());
  for (const decile of Array.from({ length: 10 }, (_, index) => index / 10)) {
    const share =
      firstDraws.filter((value) => value >= decile && value < decile + 0.1).length / firstDraws.length;
    expect(share).toBeGreaterThan(0.06);
    expect(share).toBeLessThan(0.14);
  }
});

test("removing a member changes the owner of only its own keys", () => {
  const members = ["entry-1", "entry-2", "entry-3", "entry-4"];
  const keys = seeds.map((seed) => `group-${seed}`);
  const moved = keys.filter((key) => {
    const before = rendezvousOwner(key, members);
    return (
      before !== "entry-2" &&
      before !==
        rendezvousOwner(
          key,
          members.filter((member) => member !== "entry-2"),
        )
    );
  });
  expect(moved).toEqual([]);
  const owned = keys.filter((key) => rendezvousOwner(key, members) === "entry-2").length;
  expect(owned).toBeGreaterThan(200);
  expect(owned).toBeLessThan(300);
});
