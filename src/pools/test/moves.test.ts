/**
 * Moves and drains under kills, pauses, cuts, outages, lost answers and racing operators.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { requestSilenceMilliseconds, routingSilenceMilliseconds } from "../departure.js";
import { closeWorld, isolate, passTime, refreshAll, settle, startThree, stored } from "./fake-entries.js";

const spare = "zone-1-spare-1";

test("a move ends when every entry confirmed and not before", async () => {
  const { world, first, second } = await startThree();
  second.inProgress.set(spare, 1);
  expect((await first.commands.move(spare, "quotes", "m-1")).isRight()).toBe(true);
  await refreshAll(world);
  await first.mover.step();
  expect(stored(world, spare)).toMatchObject({ pool: "spare", state: "leaving" });
  second.inProgress.set(spare, 0);
  await first.mover.step();
  expect(stored(world, spare)).toMatchObject({ pool: "quotes", state: "serving" });
  closeWorld(world);
});

test("an entry whose view is behind holds the move up, and gets the records from a peer", async () => {
  const { world, first, second } = await startThree();
  second.faults.mode = "down";
  await first.commands.move(spare, "quotes", "m-1");
  await settle();
  await first.mover.step();
  expect(stored(world, spare)?.state).toBe("leaving");
  await first.heartbeat();
  await settle();
  expect(second.view.find(spare)?.state).toBe("leaving");
  await first.mover.step();
  expect(stored(world, spare)?.pool).toBe("quotes");
  closeWorld(world);
});

test.each(["before the command is recorded", "while leaving", "after completion"] as const)(
  "a mover that is killed %s is followed by another one",
  async (moment) => {
    const { world, first, second } = await startThree();
    if (moment !== "before the command is recorded") await first.commands.move(spare, "quotes", "m-1");
    if (moment === "after completion") {
      await refreshAll(world);
      await first.mover.step();
    }
    first.state.alive = false;
    await second.commands.move(spare, "quotes", "m-1");
    await refreshAll(world);
    await second.mover.step();
    expect(stored(world, spare)).toMatchObject({ pool: "quotes", state: "serving", changeId: "m-1" });
    closeWorld(world);
  },
);

test("a lost answer to the last write is found done although another write followed", async () => {
  const { world, first, second } = await startThree();
  await first.commands.move(spare, "quotes", "m-1");
  await refreshAll(world);
  await first.mover.step();
  const since = stored(world, spare)?.since;
  // The command's answer was lost; the operator repeats it after the move ended and another change came.
  await second.commands.drain("zone-1-quotes-1", "d-1");
  const repeated = await second.commands.move(spare, "quotes", "m-1");
  expect(repeated.isRight()).toBe(true);
  expect(stored(world, spare)?.since).toBe(since);
  closeWorld(world);
});

test("a command that is repeated after later commands has no further effect", async () => {
  const { world, first } = await startThree();
  await first.commands.drain(spare, "d-1");
  await first.commands.restore(spare, "r-1");
  expect((await first.commands.drain(spare, "d-1")).isRight()).toBe(true);
  expect(stored(world, spare)?.state).toBe("serving");
  closeWorld(world);
});

test("a superseded command that arrives later has no effect", async () => {
  const { world, first, second } = await startThree();
  await first.commands.restore(spare, "r-1", { supersedes: "d-1" });
  await second.commands.drain(spare, "d-1");
  expect(stored(world, spare)?.state).toBe("serving");
  closeWorld(world);
});

test("writes whose answers are lost take effect once", async () => {
  const { world, first } = await startThree();
  first.faults.loseAnswers = 1;
  expect((await first.commands.move(spare, "quotes", "m-1")).isRight()).toBe(true);
  await refreshAll(world);
  first.faults.loseAnswers = 1;
  await first.mover.step();
  await first.mover.step();
  expect(stored(world, spare)).toMatchObject({ pool: "quotes", state: "serving" });
  closeWorld(world);
});

test("confirmations of an earlier departure do not complete a later one", async () => {
  const { world, first, second, third } = await startThree();
  await first.commands.drain(spare, "d-1");
  await refreshAll(world);
  const name = "pools.confirm-leaving";
  const answer = second.answers.get(name);
  // Between the confirmations and the write an operator restores the instance, it gets work, and is drained again.
  second.answers.set(name, async (body, peerId) => {
    const reply = await answer?.(body, peerId);
    await second.commands.restore(spare, "r-1");
    third.inProgress.set(spare, 1);
    await second.commands.drain(spare, "d-2");
    return reply;
  });
  await first.mover.step();
  expect(stored(world, spare)).toMatchObject({ state: "leaving", changeId: "d-2" });
  closeWorld(world);
});

test("of two racing moves one wins and the other is told so", async () => {
  const { world, first, second } = await startThree();
  const results = await Promise.all([
    first.commands.move(spare, "quotes", "operator"),
    second.commands.move(spare, "portal", "planner"),
  ]);
  expect(results.filter((result) => result.isRight())).toHaveLength(1);
  expect(["operator", "planner"]).toContain(stored(world, spare)?.changeId);
  closeWorld(world);
});

test("a store outage moves nothing and the move ends after it", async () => {
  const { world, first } = await startThree();
  await first.commands.move(spare, "quotes", "m-1");
  await refreshAll(world);
  for (const entry of world.entries.values()) entry.faults.mode = "down";
  await first.mover.step();
  expect(stored(world, spare)?.state).toBe("leaving");
  for (const entry of world.entries.values()) entry.faults.mode = "up";
  await first.mover.step();
  expect(stored(world, spare)?.pool).toBe("quotes");
  closeWorld(world);
});

test("entries whose member records an outage removed are still asked", async () => {
  const { world, first, second } = await startThree();
  await first.commands.move(spare, "quotes", "m-1");
  second.inProgress.set(spare, 1);
  await refreshAll(world);
  world.listed = [];
  await first.mover.step();
  expect(stored(world, spare)?.state).toBe("leaving");
  closeWorld(world);
});

test("an entry that only another one knows is asked too", async () => {
  const { world, first, second, third } = await startThree();
  world.listed = ["entry-1", "entry-2"];
  third.inProgress.set(spare, 1);
  await first.commands.move(spare, "quotes", "m-1");
  await refreshAll(world);
  world.cuts.add("entry-1|entry-3");
  second.entries.noteReceived("entry-3");
  await first.mover.step();
  expect(stored(world, spare)?.state).toBe("leaving");
  closeWorld(world);
});

test("an entry without a process needs no confirmation", async () => {
  const { world, first, third } = await startThree();
  third.state.alive = false;
  await first.commands.move(spare, "quotes", "m-1");
  await refreshAll(world);
  await first.mover.step();
  expect(stored(world, spare)?.pool).toBe("quotes");
  closeWorld(world);
});

test("an unreachable entry is waited for until it has stopped to route", async () => {
  const { world, first, third } = await startThree();
  third.faults.mode = "down";
  isolate(world, third.entryId);
  await first.commands.move(spare, "quotes", "m-1");
  await refreshAll(world);
  await first.mover.step();
  await passTime(world, routingSilenceMilliseconds + 1_000);
  expect(third.confidence.isConfident()).toBe(false);
  await first.mover.step();
  expect(stored(world, spare)?.state, "its lease still stands").toBe("leaving");
  world.listed = ["entry-1", "entry-2"];
  await first.mover.step();
  expect(stored(world, spare)?.pool).toBe("quotes");
  closeWorld(world);
});

test("a stop waits until an unreachable entry's longest request has ended", async () => {
  const { world, first, third } = await startThree();
  third.faults.mode = "down";
  isolate(world, third.entryId);
  await first.commands.drain(spare, "d-1");
  await refreshAll(world);
  world.listed = ["entry-1", "entry-2"];
  await first.mover.step();
  await passTime(world, routingSilenceMilliseconds + 1_000);
  await first.mover.step();
  expect(stored(world, spare)?.state).toBe("leaving");
  world.time += requestSilenceMilliseconds;
  await refreshAll(world);
  await first.mover.step();
  expect(stored(world, spare)?.state).toBe("stopped");
  closeWorld(world);
});

test("an entry that a majority still hears is waited for", async () => {
  const { world, first, third } = await startThree();
  third.faults.mode = "down";
  world.cuts.add("entry-1|entry-3");
  third.inProgress.set(spare, 1);
  await first.commands.move(spare, "quotes", "m-1");
  await refreshAll(world);
  world.listed = ["entry-1", "entry-2"];
  await first.mover.step();
  await passTime(world, routingSilenceMilliseconds + 1_000);
  await first.mover.step();
  expect(third.confidence.isConfident()).toBe(true);
  expect(stored(world, spare)?.state).toBe("leaving");
  closeWorld(world);
});

test("entries serve through an outage of the store, and not when cut off from all", async () => {
  const { world, first, second, third } = await startThree();
  for (const entry of world.entries.values()) entry.faults.mode = "down";
  await passTime(world, 60_000);
  expect([first, second, third].map(({ confidence }) => confidence.isConfident())).toEqual([
    true,
    true,
    true,
  ]);
  isolate(world, third.entryId);
  await passTime(world, 9_000);
  expect([first, second, third].map(({ confidence }) => confidence.isConfident())).toEqual([
    true,
    true,
    false,
  ]);
  closeWorld(world);
});

test("a deployment of one entry serves through an outage of the store", async () => {
  const { world, first } = await startThree();
  world.entries.delete("entry-2");
  world.entries.delete("entry-3");
  world.listed = ["entry-1"];
  await passTime(world, 40_000);
  first.faults.mode = "down";
  await passTime(world, 60_000);
  expect(first.confidence.isConfident()).toBe(true);
  closeWorld(world);
});

test("a lower revision received late does not replace a view", async () => {
  const { world, first } = await startThree();
  const key = "placement/zone-1";
  const old = first.mirror.records().get(key);
  await first.commands.drain(spare, "d-1");
  await settle();
  if (old !== undefined) await first.mirror.events.emit("changed", old);
  expect(first.view.find(spare)?.state).toBe("leaving");
  closeWorld(world);
});

test("a pool that the text lost during the move is replaced by the spare pool", async () => {
  const { world, first } = await startThree();
  await first.commands.move("zone-1-quotes-1", "portal", "m-1");
  await refreshAll(world);
  world.text = {
    version: 1,
    pools: [
      { name: "spare", spare: true, minimumInstances: 0, slotsPerInstance: 8, connectionsPerInstance: 64 },
    ],
    services: [],
    teams: [],
  };
  await first.mover.step();
  expect(stored(world, "zone-1-quotes-1")).toMatchObject({ pool: "spare", state: "serving" });
  closeWorld(world);
});
