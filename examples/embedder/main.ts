/**
 * An embedder: a program of its own that keeps the operators' configuration in force with three parts of the library and
 * finds the instances of a pool, without running an entry.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import {
  applyChange,
  configurationPrefix,
  createConfigurationKeeper,
  createLog,
  createPlacementView,
  createPlacementWriter,
  createStoreMirror,
  EtcdStoreClient,
  followStore,
  placementPrefix,
  type StoreMirror,
} from "dogwoodhoist";
import { startStoreStandIn, waitUntil } from "dogwoodhoist/stand-ins";
import { Right } from "purify-ts";

const platform = await startStoreStandIn();
const store = new EtcdStoreClient({ address: platform.address, timeoutMilliseconds: 1_000 });
const mirror = (prefix: string): StoreMirror =>
  createStoreMirror({ store, prefix, refreshMilliseconds: 5_000, retryMilliseconds: 500 });
const mirrors = [mirror(configurationPrefix), mirror(placementPrefix)] as const;

const keeper = createConfigurationKeeper(createLog("silent"));
followStore(keeper, mirrors[0]);
keeper.events.on("inForce", ({ revision, changeId }) => {
  console.log(`revision ${revision} came into force by change ${changeId}`);
});

const text: unknown = JSON.parse(await readFile(new URL("../agency/text.json", import.meta.url), "utf8"));
for (const baseRevision of [0, 1, 1]) {
  const changeId = `change-${baseRevision + 1}`;
  const result = await applyChange(store, { changeId, author: "embedder", baseRevision, text });
  result.ifLeft((failure) => {
    console.log(`not accepted: ${failure.kind}`);
  });
  await waitUntil(() => keeper.revision() === baseRevision + 1);
}

const view = createPlacementView(mirrors[1]);
const writer = createPlacementWriter(store, mirrors[1]);
await writer.change("zone-1", "example", () =>
  Right({
    "target-1": {
      instanceId: "target-1",
      address: "127.0.0.1:8080",
      rack: "rack-1",
      pool: "quotes",
      state: "serving",
      recentChanges: [],
      since: Date.now(),
    },
  }),
);
await waitUntil(() => view.serving("quotes").length === 1);
console.log(
  `serving quotes: ${view
    .serving("quotes")
    .map(({ instanceId }) => instanceId)
    .join(", ")}`,
);

for (const each of mirrors) each.close();
await store.close();
await platform.close();
