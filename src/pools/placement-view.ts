/**
 * This entry's view of the placement, derived from a mirror of the store.
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { StoreMirror, StoreRecord } from "../store/index.js";
import { parseWith } from "../shared/index.js";
import { placementRecordSchema, type Target } from "./placement-record.js";

/** Events of a {@link PlacementView}. */
export interface PlacementEvents {
  /** The view of a zone's instances was replaced by a newer record. */
  changed: { readonly zone: string };
}

/** Read access to the placement. */
export interface PlacementView {
  readonly events: Emittery<PlacementEvents>;
  /** The instances of a pool that accept new requests. */
  serving(pool: string): readonly Target[];
  /** All instances of a pool, in any state. */
  members(pool: string): readonly Target[];
  /** All instances. */
  all(): readonly Target[];
  /** Finds an instance; undefined when it is not placed. */
  find(instanceId: string): Target | undefined;
  /** Revision of a zone's record in this view; 0 without a record. */
  revision(zone: string): number;
}

interface ZoneView {
  readonly revision: number;
  readonly targets: readonly Target[];
}

/**
 * Creates a view and subscribes it to the mirror.
 * @param mirror - mirror of the placement prefix
 * @returns the view, with the records that the mirror already has
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
      // An instance that the platform listed in two zones is used in the first by name, the same in every entry.
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
