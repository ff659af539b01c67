/**
 * Configuration roll-out among complete entries over sockets, with store faults.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { afterEach, expect, test } from "vitest";
import { checkEntrySettings } from "../../settings/index.js";
import { startFleet, waitUntil, type Fleet } from "../../stand-ins/fleet/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/store/index.js";
import { createLog } from "../../telemetry/index.js";
import { startEntry, type Entry } from "../../wiring/index.js";
import { applyChange, createConfigurationKeeper } from "../index.js";

const operatorConfiguration: unknown = JSON.parse(
  await readFile(new URL("../../../examples/agency/text.json", import.meta.url), "utf8"),
);
const cleanUp: (() => Promise<void>)[] = [];

async function start(entries: number): Promise<Fleet> {
  const targets = { quotes: 1 };
  const fleet = await startFleet({
    text: operatorConfiguration,
    targets,
    entries,
    zones: 3,
    meanRunMilliseconds: 10,
    seed: 1,
  });
  cleanUp.push(async () => fleet.close());
  return fleet;
}

async function apply(entry: Entry | undefined, changeId: string, baseRevision: number): Promise<number> {
  const response = await fetch(`http://${entry?.addresses.operators ?? ""}/operator/configuration`, {
    method: "POST",
    body: JSON.stringify({ changeId, author: "test", baseRevision, text: operatorConfiguration }),
  });
  return response.status;
}

afterEach(async () => {
  for (const close of cleanUp.splice(0)) await close();
});

test("a change comes into force in every entry through peers when the store's watches deliver nothing", async () => {
  const fleet = await start(4);
  fleet.store.faults.muteWatches = true;
  expect(await apply(fleet.entries[1], "two", 1)).toBe(200);
  expect(await waitUntil(() => fleet.entries.every((entry) => entry.configuration.revision() === 2))).toBe(
    true,
  );
  const { rollOut } = fleet.entries[1] ?? {};
  await waitUntil(() => rollOut?.status().changes[0]?.everywhereAfterMilliseconds !== undefined);
  expect(rollOut?.status().changes[0]).toMatchObject({ revision: 2, changeId: "two", waitingFor: [] });
  expect(rollOut?.status().entries.map(({ revision }) => revision)).toEqual([2, 2, 2, 2]);
});

test("a new entry fetches the configuration from its seed peers while the store is down", async () => {
  const fleet = await start(3);
  fleet.store.faults.mode = "down";
  const anyPort = { host: "127.0.0.1", port: 0 };
  const settings = checkEntrySettings({
    entryId: "fresh",
    availabilityZone: "zone-1",
    requests: anyPort,
    peers: anyPort,
    operators: anyPort,
    seedPeers: ["127.0.0.1:1", fleet.entries[0]?.addresses.peers],
    store: { address: fleet.store.address },
    instanceList: { address: fleet.instanceList.address },
  });
  const fresh = await startEntry(settings.unsafeCoerce(), createLog("silent"));
  cleanUp.push(async () => fresh.kill());
  expect(await waitUntil(() => fresh.configuration.revision() === 1)).toBe(true);
});

test("an entry does not adopt a lower revision", async () => {
  const store = new MemoryStoreClient(createStoreEngine(), createStoreFaults());
  const keeper = createConfigurationKeeper(createLog("silent"));
  const first = await applyChange(store, {
    changeId: "one",
    author: "test",
    baseRevision: 0,
    text: operatorConfiguration,
  });
  const second = await applyChange(store, {
    changeId: "two",
    author: "test",
    baseRevision: 1,
    text: operatorConfiguration,
  });
  expect(keeper.adopt(second.unsafeCoerce())).toBe(true);
  expect(keeper.adopt(first.unsafeCoerce())).toBe(false);
  expect(keeper.revision()).toBe(2);
});
