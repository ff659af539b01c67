/**
 * This entry's view of the placement, kept by a mirror of the store.
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { StoreMirror, StoreRecord } from "../store/index.js";
import { parseWith } from "../shared/index.js";
import { placementRecordSchema, type Target } from "./placement-record.js";

/** What the view reports. */
export interface PlacementEvents {
  /** Instances of a zone changed. */
  changed: { readonly zone: string };
}

/** A view of the placement. */
export interface PlacementView {
  readonly events: Emittery<PlacementEvents>;
  /** The instances that take new work for a pool. */
  serving(pool: string): readonly Target[];
  /** All instances of a pool, in any state. */
  members(pool: string): readonly Target[];
  /** All instances. */
  all(): readonly Target[];
  /** Finds an instance. */
  find(instanceId: string): Target | undefined;
  /** The revision at which this view holds a zone's record; 0 without one. */
  revision(zone: string): number;
}

interface ZoneView {
  readonly revision: number;
  readonly targets: readonly Target[];
}

/**
 * Creates a view.
 * @param mirror - mirror of the placement's prefix
 * @returns the view
 */
export function createPlacementView(mirror: StoreMirror): PlacementView {
  const events = new Emittery<PlacementEvents>();
  const zones = new Map<string, ZoneView>();
  const instances = new Map<string, Target>();
  const pools = new Map<string, Target[]>();

  const rebuild = (): void => {
    instances.clear();
    pools.clear();
    const ordered = [...zones].sort(([left], [right]) => (left < right ? -1 : 1));
    for (const target of ordered.flatMap(([, { targets }]) => targets)) {
      // An instance that the platform listed in two zones counts once, for the same zone in every entry.
      if (instances.has(target.instanceId)) continue;
      instances.set(target.instanceId, target);
      pools.set(target.pool, [...(pools.get(target.pool) ?? []), target]);
    }
  };

  const applyRecord = ({ value, revision }: StoreRecord): void => {
    parseWith(placementRecordSchema, value).ifRight((record) => {
      if (revision <= (zones.get(record.zone)?.revision ?? 0)) return;
      const targets = Object.values(record.instances).map((placed) => ({ ...placed, zone: record.zone }));
      zones.set(record.zone, { revision, targets });
      rebuild();
      void events.emit("changed", { zone: record.zone });
    });
  };

  mirror.events.on("changed", applyRecord);
  for (const record of mirror.records().values()) applyRecord(record);

  const members = (pool: string): readonly Target[] => pools.get(pool) ?? [];
  return {
    events,
    members,
    serving: (pool) => members(pool).filter(({ state }) => state === "serving"),
    all: () => [...instances.values()],
    find: (instanceId) => instances.get(instanceId),
    revision: (zone) => zones.get(zone)?.revision ?? 0,
  };
}
