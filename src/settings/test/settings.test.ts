/**
 * Validation of entry settings: every fault with its path, and the example files.
 * @packageDocumentation
 */
import { readdir } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";
import { checkEntrySettings, readEntrySettings } from "../index.js";

const valid = {
  entryId: "entry-1",
  availabilityZone: "zone-1",
  requests: { host: "127.0.0.1", port: 0 },
  peers: { host: "127.0.0.1", port: 0 },
  operators: { host: "127.0.0.1", port: 0 },
  store: { address: "http://127.0.0.1:2379" },
  instanceList: { address: "http://127.0.0.1:9000" },
};

function pathsOf(value: unknown): string[] {
  return checkEntrySettings(value)
    .swap()
    .orDefault([])
    .map(({ path }) => path);
}

test("valid settings have no faults", () => {
  expect(pathsOf(valid)).toEqual([]);
});

test.each([
  [{ entryId: "Entry 1" }, "entryId"],
  [{ requests: { host: "example.org", port: 80 } }, "requests.host"],
  [{ peers: { host: "127.0.0.1", port: 70_000 } }, "peers.port"],
  [{ store: { address: "http://127.0.0.1:2379", timeoutMilliseconds: 1 } }, "store.timeoutMilliseconds"],
  [{ limits: { bodyBytes: 0 } }, "limits.bodyBytes"],
  [{ operators: { host: "10.0.0.1", port: 7003 } }, "operators.host"],
  [{ operatorToken: "short" }, "operatorToken"],
  [{ traces: { exporter: "file" } }, "traces.exporter"],
])("a fault in %j is found at %s", (change, path) => {
  expect(pathsOf({ ...valid, ...change })).toEqual([path]);
});

test("every fault is reported at once", () => {
  expect(pathsOf({ ...valid, entryId: "", availabilityZone: "", seed: 1.5 })).toEqual([
    "entryId",
    "availabilityZone",
    "seed",
  ]);
});

test("the example settings are valid", async () => {
  for (const deployment of ["agency", "sarea"]) {
    const folder = fileURLToPath(new URL(`../../../examples/${deployment}/`, import.meta.url));
    const files = (await readdir(folder)).filter((name) => name.startsWith("entry"));
    expect(files.length).toBeGreaterThan(0);
    for (const file of files) expect((await readEntrySettings(folder + file)).isRight()).toBe(true);
  }
});
