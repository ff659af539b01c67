/**
 * Slopes of the placement view: heap, update time and record size by instances.
 * @packageDocumentation
 */
import { createStoreMirror, type StoreMirror } from "../../store/index.js";
import {
  createPlacementView,
  placementKey,
  placementPrefix,
  type PlacedInstance,
  type PlacementRecord,
  type PlacementView,
} from "../../pools/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/store/index.js";
import type { Figure } from "../measure.js";
import { measureHeap, measureProcessorTime, nextRound } from "./cost.js";
import { describeSeries, type Point } from "./fit.js";

const zones = 17;
const pools = 46;
const rackSize = 4;
const sizes = [500, 2_000, 8_000, 19_000] as const;
const updates = 20;
const refreshMilliseconds = 600_000;

/** A placement view with the mirror that feeds it. */
export interface FilledView {
  readonly mirror: StoreMirror;
  readonly view: PlacementView;
  readonly records: readonly PlacementRecord[];
}

/**
 * Measures the placement view at several sizes.
 * @returns the figures
 */
export async function measurePlacementSlopes(): Promise<Figure[]> {
  const heap: Point[] = [];
  const time: Point[] = [];
  const bytes: Point[] = [];
  for (const size of sizes) {
    const { value: filled, bytes: held } = await measureHeap(async () => fillView(size));
    heap.push({ size, cost: held });
    time.push({ size, cost: await measureUpdate(filled) });
    bytes.push({ size, cost: JSON.stringify(filled.records).length });
    filled.mirror.close();
  }
  return [
    ...describeSeries({ name: "placement view, heap", unit: "bytes", per: "instance" }, heap),
    ...describeSeries(
      { name: "placement view, processor time of a zone's update", unit: "µs", per: "instance" },
      time,
    ),
    ...describeSeries({ name: "placement records, all zones", unit: "bytes", per: "instance" }, bytes),
  ];
}

/**
 * Creates a view of a number of instances over the zones and pools of the intended size.
 * @param instances - how many
 * @param poolCount - pools they are spread over
 * @returns the view and what feeds it
 */
export async function fillView(instances: number, poolCount: number = pools): Promise<FilledView> {
  const engine = createStoreEngine();
  const store = new MemoryStoreClient(engine, createStoreFaults());
  const mirror = createStoreMirror({
    store,
    prefix: placementPrefix,
    refreshMilliseconds,
    retryMilliseconds: refreshMilliseconds,
  });
  const view = createPlacementView(mirror);
  const records = Array.from({ length: zones }, (_, zone) => createRecord(zone, instances, poolCount));
  for (const record of records) offer(mirror, record, 1);
  await nextRound();
  return { mirror, view, records };
}

async function measureUpdate({ mirror, records }: FilledView): Promise<number> {
  return measureProcessorTime(updates, async (repeat) => {
    const record = records[repeat % zones];
    if (record !== undefined) offer(mirror, { ...record, writeId: `write-${repeat}` }, repeat + 2);
    await nextRound();
  });
}

function offer(mirror: StoreMirror, record: PlacementRecord, revision: number): void {
  mirror.offer({ key: placementKey(record.zone), value: record, revision });
}

function createRecord(zoneIndex: number, total: number, poolCount: number): PlacementRecord {
  const zone = `zone-${zoneIndex + 1}`;
  const count = Math.floor(total / zones) + (zoneIndex < total % zones ? 1 : 0);
  const instances = Array.from({ length: count }, (_, index) => createInstance(zone, index, poolCount));
  return {
    zone,
    writeId: "first",
    instances: Object.fromEntries(instances.map((instance) => [instance.instanceId, instance])),
  };
}

function createInstance(zone: string, index: number, poolCount: number): PlacedInstance {
  return {
    instanceId: `${zone}-instance-${index}`,
    address: `10.${index >> 8}.${index & 255}.7:8080`,
    rack: `${zone}-rack-${Math.floor(index / rackSize)}`,
    pool: `pool-${index % poolCount}`,
    state: "serving",
    recentChanges: [],
    since: 1_700_000_000_000 + index,
  };
}
