/**
 * Places instances that the platform lists and that no record holds yet.
 * @packageDocumentation
 */
import { Right } from "purify-ts";
import type { OperatorText } from "../configuration/index.js";
import type { InstanceList, ListedInstance } from "../platform/index.js";
import type { Log } from "../telemetry/index.js";
import type { PlacedInstance } from "./placement-record.js";
import type { PlacementView } from "./placement-view.js";
import type { PlacementWriter } from "./placement-writer.js";

/** What adoption works with. */
export interface AdoptionParts {
  readonly instanceList: InstanceList;
  readonly view: PlacementView;
  readonly writer: PlacementWriter;
  readonly log: Log;
  /** The text in force, undefined before the first. */
  text(): OperatorText | undefined;
}

/**
 * Places every listed instance that is not placed yet: in the pool that the platform delivered it for if the text
 * knows it, else in the spare pool.
 * @param parts - what it works with
 */
export async function adoptInstances(parts: AdoptionParts): Promise<void> {
  const text = parts.text();
  if (text === undefined) return;
  const listed = await parts.instanceList.read();
  if (listed.isLeft()) {
    parts.log.write("warn", "instance-list-unread", { message: listed.swap().orDefault("") });
    return;
  }
  const fresh = listed
    .orDefault([])
    .filter(({ instanceId, state }) => state === "live" && parts.view.find(instanceId) === undefined);
  for (const [zone, instances] of groupByZone(fresh)) await adoptZone(parts, text, zone, instances);
}

async function adoptZone(
  parts: AdoptionParts,
  text: OperatorText,
  zone: string,
  fresh: readonly ListedInstance[],
): Promise<void> {
  const placed = fresh.flatMap((instance) => placeInstance(text, instance));
  if (placed.length === 0) return;
  const writeId = `adopt/${zone}/${placed.map(({ instanceId }) => instanceId).join(",")}`;
  const added = Object.fromEntries(placed.map((instance) => [instance.instanceId, instance]));
  const result = await parts.writer.change(zone, writeId, (instances) => Right({ ...added, ...instances }));
  result.ifRight(() => {
    parts.log.write("info", "instances-adopted", { zone, count: placed.length });
  });
}

function placeInstance(text: OperatorText, instance: ListedInstance): PlacedInstance[] {
  const pool = text.pools.find(({ name }) => name === instance.pool) ?? text.pools.find(({ spare }) => spare);
  if (pool === undefined) return [];
  const { instanceId, address, rack } = instance;
  return [{ instanceId, address, rack, pool: pool.name, state: "serving", since: Date.now() }];
}

function groupByZone(instances: readonly ListedInstance[]): Map<string, ListedInstance[]> {
  const zones = new Map<string, ListedInstance[]>();
  for (const instance of instances) {
    zones.set(instance.zone, [...(zones.get(instance.zone) ?? []), instance]);
  }
  return zones;
}
