/**
 * Tests of moves and drains under crashes, partitions, store outages, lost replies and concurrent commands.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { requestSilenceMilliseconds, routingSilenceMilliseconds } from "../departure.js";
import { closeWorld, isolate, passTime, refreshAll, settle, startThree, stored } from "./fake-entries.js";

const spare = "zone-1-spare-1";

test("a move completes only after every entry has confirmed", async () => {
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

test("an entry with an outdated view delays the move until it gets the records from a peer", async () => {
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
  "another mover completes the move when the first is killed %s",
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

test("a command that is repeated after its reply was lost changes nothing, even after another write", async () => {
  const { world, first, second } = await startThree();
  await first.commands.move(spare, "quotes", "m-1");
  await refreshAll(world);
  await first.mover.step();
  const since = stored(world, spare)?.since;
  // The command's reply was lost; the operator repeats the command after the move completed and another change was made.
  await second.commands.drain("zone-1-quotes-1", "d-1");
  const repeated = await second.commands.move(spare, "quotes", "m-1");
  expect(repeated.isRight()).toBe(true);
  expect(stored(world, spare)?.since).toBe(since);
  closeWorld(world);
});

test("a command that is repeated after later commands on the instance has no further effect", async () => {
  const { world, first } = await startThree();
  await first.commands.drain(spare, "d-1");
  await first.commands.restore(spare, "r-1");
  expect((await first.commands.drain(spare, "d-1")).isRight()).toBe(true);
  expect(stored(world, spare)?.state).toBe("serving");
  closeWorld(world);
});

test("a superseded command that arrives after the superseding one has no effect", async () => {
  const { world, first, second } = await startThree();
  await first.commands.restore(spare, "r-1", { supersedes: "d-1" });
  await second.commands.drain(spare, "d-1");
  expect(stored(world, spare)?.state).toBe("serving");
  closeWorld(world);
});

test("writes whose replies are lost take effect once", async () => {
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
  // Between the confirmations and the write, the instance is restored, receives a request and is drained again.
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

test("of two concurrent moves one succeeds and the other is refused", async () => {
  const { world, first, second } = await startThree();
  const results = await Promise.all([
    first.commands.move(spare, "quotes", "operator"),
    second.commands.move(spare, "portal", "planner"),
  ]);
  expect(results.filter((result) => result.isRight())).toHaveLength(1);
  expect(["operator", "planner"]).toContain(stored(world, spare)?.changeId);
  closeWorld(world);
});

test("a move does not complete during a store outage and completes after it", async () => {
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

test("entries whose member records lapsed in a store outage are still queried", async () => {
  const { world, first, second } = await startThree();
  await first.commands.move(spare, "quotes", "m-1");
  second.inProgress.set(spare, 1);
  await refreshAll(world);
  world.listed = [];
  await first.mover.step();
  expect(stored(world, spare)?.state).toBe("leaving");
  closeWorld(world);
});

test("an entry that is known only to another entry is queried too", async () => {
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

test("a move does not wait for an entry whose process has ended", async () => {
  const { world, first, third } = await startThree();
  third.state.alive = false;
  await first.commands.move(spare, "quotes", "m-1");
  await refreshAll(world);
  await first.mover.step();
  expect(stored(world, spare)?.pool).toBe("quotes");
  closeWorld(world);
});

test("a move waits for an unreachable entry until it has stopped routing", async () => {
  const { world, first, third } = await startThree();
  third.faults.mode = "down";
  isolate(world, third.entryId);
  await first.commands.move(spare, "quotes", "m-1");
  await refreshAll(world);
  await first.mover.step();
  await passTime(world, routingSilenceMilliseconds + 1_000);
  expect(third.confidence.isConfident()).toBe(false);
  await first.mover.step();
  expect(stored(world, spare)?.state, "its member lease has not lapsed").toBe("leaving");
  world.listed = ["entry-1", "entry-2"];
  await first.mover.step();
  expect(stored(world, spare)?.pool).toBe("quotes");
  closeWorld(world);
});

test("a drain waits for the longest request timeout of an unreachable entry", async () => {
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

test("a move waits for an entry that a majority still receives messages from", async () => {
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

test("entries serve during a store outage, but not when also isolated from all other entries", async () => {
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

test("a deployment of one entry serves during a store outage", async () => {
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

test("a record of a lower revision that arrives late does not replace a newer one", async () => {
  const { world, first } = await startThree();
  const key = "placement/zone-1";
  const old = first.mirror.records().get(key);
  await first.commands.drain(spare, "d-1");
  await settle();
  if (old !== undefined) await first.mirror.events.emit("changed", old);
  expect(first.view.find(spare)?.state).toBe("leaving");
  closeWorld(world);
});

test("a move to a pool that was removed from the configuration ends in the spare pool", async () => {
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
