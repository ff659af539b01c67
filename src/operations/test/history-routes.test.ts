/**
 * Operators' routes for the configuration's history, roll-back and roll-out status.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { expect, test } from "vitest";
import { applyChange, createConfigurationKeeper, createInForceReport } from "../../configuration/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/store/index.js";
import { createLog } from "../../telemetry/index.js";
import { createHistoryOperations } from "../history-routes.js";

const operatorConfiguration: unknown = JSON.parse(
  await readFile(new URL("../../../examples/agency/text.json", import.meta.url), "utf8"),
);

test("the history lists changes, a roll-back needs the current base revision, a store outage is reported as failed", async () => {
  const faults = createStoreFaults();
  const store = new MemoryStoreClient(createStoreEngine(), faults);
  const configuration = createConfigurationKeeper(createLog("silent"));
  const rollOut = createInForceReport(configuration, "a", () => []);
  const operations = createHistoryOperations({ store, configuration, rollOut });
  await applyChange(store, { changeId: "one", author: "test", baseRevision: 0, text: operatorConfiguration });
  await applyChange(store, { changeId: "two", author: "test", baseRevision: 1, text: operatorConfiguration });
  const request = { changeId: "back", author: "test", baseRevision: 1, toRevision: 1 };
  expect((await operations.rollBack(request)).result).toBe("conflict");
  expect((await operations.rollBack({ ...request, baseRevision: 2 })).result).toBe("done");
  expect(await operations.history()).toMatchObject([{ revision: 3 }, { revision: 2 }, { revision: 1 }]);
  expect(operations.rollOut().entries).toEqual([{ entryId: "a", revision: 3 }]);
  faults.mode = "down";
  expect(await operations.history()).toMatchObject({ result: "failed" });
});
