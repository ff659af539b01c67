/**
 * Slopes of a mirror of the store: processor time of one change by the size of its record.
 * @packageDocumentation
 */
import { createStoreMirror } from "../../store/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/store/index.js";
import type { Figure } from "../measure.js";
import { measureProcessorTime, nextRound } from "./cost.js";
import { describeSeries, type Point } from "./fit.js";

const recordBytes = [200, 2_000, 20_000, 200_000] as const;
const changes = 300;
const refreshMilliseconds = 600_000;

/**
 * Measures a mirror over the store's stand-in, without a network in between.
 * @returns the figures
 */
export async function measureMirrorSlopes(): Promise<Figure[]> {
  const points: Point[] = [];
  for (const size of recordBytes) points.push({ size, cost: await measureChange(size) });
  return describeSeries(
    { name: "store mirror, processor time of a change, the write included", unit: "µs", per: "byte" },
    points,
  );
}

async function measureChange(size: number): Promise<number> {
  const engine = createStoreEngine();
  const store = new MemoryStoreClient(engine, createStoreFaults());
  const options = { store, refreshMilliseconds, retryMilliseconds: refreshMilliseconds };
  const mirror = createStoreMirror({ ...options, prefix: "records/" });
  await mirror.refresh();
  const value = { text: "x".repeat(size) };
  let expectedRevision = 0;
  const cost = await measureProcessorTime(changes, async () => {
    const result = await store.compareAndSwap({ key: "records/one", value, expectedRevision });
    if (result.kind === "done") expectedRevision = result.revision;
    await nextRound();
  });
  mirror.close();
  engine.close();
  return cost;
}
