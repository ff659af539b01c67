/**
 * Tests that the placement follows the platform's instance list, which lags, and the configuration.
 * @packageDocumentation
 */
import { Left, Right } from "purify-ts";
import { expect, test } from "vitest";
import type { OperatorConfiguration } from "../../configuration/index.js";
import type { ListedInstance } from "../../store/index.js";
import { absenceMilliseconds } from "../adoption.js";
import { createAdoption } from "../index.js";
import { closeWorld, refreshAll, startThree, stored } from "./fake-entries.js";

const pool = { minimumInstances: 0, slotsPerInstance: 8, connectionsPerInstance: 64, spare: false };
const configuration: OperatorConfiguration = {
  version: 1,
  pools: [
    { ...pool, name: "quotes" },
    { ...pool, name: "spare", spare: true },
  ],
  services: [],
  teams: [],
};
const target = "zone-1-quotes-1";

async function startAdoption() {
  const { world, first } = await startThree();
  world.text = configuration;
  const listed = new Map<string, ListedInstance>(
    first.view
      .all()
      .map(({ instanceId, address, rack, zone, pool: name }) => [
        instanceId,
        { instanceId, address, rack, zone, state: "live", pool: name },
      ]),
  );
  const list = { isDown: false, read: undefined as (() => ListedInstance[]) | undefined };
  const instanceList = {
    read: async () => {
      await Promise.resolve();
      return list.isDown ? Left("down") : Right(list.read?.() ?? [...listed.values()]);
    },
  };
  const { view, writer, log } = first;
  const adoption = createAdoption({
    instanceList,
    view,
    writer,
    log,
    text: () => world.text,
    now: () => world.time,
  });
  const step = async (): Promise<void> => {
    await adoption.step();
    await refreshAll(world);
  };
  const change = (instanceId: string, changed: Partial<ListedInstance>): void => {
    const held = listed.get(instanceId);
    if (held !== undefined) listed.set(instanceId, { ...held, ...changed });
  };
  return { world, first, listed, list, step, change };
}

test("new instances join the pool named in the platform's list, or the spare pool when that pool is unknown", async () => {
  const { world, listed, step } = await startAdoption();
  const added = { address: "10.0.1.1:80", rack: "r", zone: "zone-1", state: "live" } as const;
  listed.set("a", { ...added, instanceId: "a", pool: "quotes" });
  listed.set("b", { ...added, instanceId: "b", pool: "unknown" });
  await step();
  expect([stored(world, "a")?.pool, stored(world, "b")?.pool]).toEqual(["quotes", "spare"]);
  closeWorld(world);
});

test("an instance that the platform takes away is stopped, even during a move", async () => {
  const { world, first, step, change: changeListed } = await startAdoption();
  await first.commands.move(target, "spare", "m-1");
  await refreshAll(world);
  changeListed(target, { state: "leaving" });
  await step();
  await first.mover.step();
  expect(stored(world, target)).toMatchObject({ pool: "quotes", state: "stopped" });
  closeWorld(world);
});

test("an instance that was taken away serves again when the platform lists it as live", async () => {
  const { world, first, step, change } = await startAdoption();
  change(target, { state: "leaving" });
  await step();
  await first.mover.step();
  await refreshAll(world);
  change(target, { state: "live" });
  await step();
  expect(stored(world, target)).toMatchObject({ pool: "quotes", state: "serving" });
  closeWorld(world);
});

test("an instance that is replaced under the same identifier gets the new address", async () => {
  const { world, change, step } = await startAdoption();
  change(target, { address: "10.0.9.9:80" });
  await step();
  expect(stored(world, target)).toMatchObject({ address: "10.0.9.9:80", state: "serving" });
  closeWorld(world);
});

test("an instance missing from the list starts leaving after the absence time and is removed when it is stopped", async () => {
  const { world, first, listed, step } = await startAdoption();
  listed.delete(target);
  await step();
  expect(stored(world, target)?.state).toBe("serving");
  world.time += absenceMilliseconds + 1;
  await step();
  expect(stored(world, target)?.state).toBe("leaving");
  await first.mover.step();
  await refreshAll(world);
  await step();
  expect(stored(world, target)).toBeUndefined();
  closeWorld(world);
});

test("a reserved instance that is missing from the list during its reboot stays placed", async () => {
  const { world, first, listed, step } = await startAdoption();
  await first.commands.drain(target, "d-1");
  await refreshAll(world);
  await first.mover.step();
  await first.commands.reserve(target, "v-1", "wave w-1");
  await refreshAll(world);
  listed.delete(target);
  await step();
  world.time += absenceMilliseconds + 1;
  await step();
  expect(stored(world, target)).toMatchObject({ state: "stopped", reservedBy: "wave w-1" });
  closeWorld(world);
});

test("a list that lacks most instances, or cannot be read, changes nothing", async () => {
  const { world, list, step } = await startAdoption();
  const before = JSON.stringify(world.engine.range("placement/zone-1"));
  for (const fault of ["empty", "down"] as const) {
    list.read = () => [];
    list.isDown = fault === "down";
    await step();
    world.time += absenceMilliseconds + 1;
    await step();
  }
  expect(JSON.stringify(world.engine.range("placement/zone-1"))).toBe(before);
  closeWorld(world);
});

test("instances of a pool that was removed from the configuration move to the spare pool", async () => {
  const { world, first, step } = await startAdoption();
  world.text = { ...configuration, pools: configuration.pools.filter(({ spare }) => spare) };
  await step();
  await first.mover.step();
  expect(stored(world, target)).toMatchObject({ pool: "spare", state: "serving" });
  closeWorld(world);
});
