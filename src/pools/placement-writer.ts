/**
 * Writes placement changes. Each is one compare-and-swap on a zone's record.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { writeAndSettle, type StoreClient, type StoreMirror, type StoreRecord } from "../store/index.js";
import { parseWith } from "../shared/index.js";
import {
  placementKey,
  placementRecordSchema,
  type PlacedInstance,
  type PlacementRecord,
} from "./placement-record.js";

/** Reason for which a placement change failed. */
export interface PlacementFailure {
  /**
   * `refused`: the change does not apply to the current state. `conflict`: other writes came first at every attempt.
   * `not-done`: nothing was written. `unknown`: the write may have taken effect.
   */
  readonly kind: "refused" | "conflict" | "not-done" | "unknown";
  readonly message: string;
}

/** The instances of a zone by identifier. */
export type ZoneInstances = Readonly<Record<string, PlacedInstance>>;

/**
 * Computes a zone's new instances, or a message that explains why the change is refused. It is called again after a
 * conflict, so it must detect that it already took effect; when it returns the same object, nothing is written.
 */
export type PlacementChange = (instances: ZoneInstances) => Either<string, ZoneInstances>;

/** Writes placement changes. */
export interface PlacementWriter {
  /**
   * Changes a zone's record.
   * @param zone - name of the availability zone
   * @param writeId - unique identifier of the write, by which it is recognised when the store's reply was lost
   * @param change - computes the new instances from those in the store
   * @returns the store revision of the record, or the failure
   */
  change(zone: string, writeId: string, change: PlacementChange): Promise<Either<PlacementFailure, number>>;
}

/** Maximum number of attempts when other writes of the same zone cause conflicts. */
const maximumAttempts = 5;

/**
 * Creates a writer, which retries conflicts.
 * @param store - store with the placement records
 * @param mirror - receives the records that were written
 * @returns the writer
 */
export function createPlacementWriter(store: StoreClient, mirror: StoreMirror): PlacementWriter {
  const attempt = async (
    zone: string,
    writeId: string,
    change: PlacementChange,
  ): Promise<Either<PlacementFailure, number>> => {
    const key = placementKey(zone);
    const read = await store.get(key);
    if (read.isLeft()) return Left({ kind: "not-done", message: "the store does not answer" });
    const record = read.orDefault(undefined);
    const before = decodePlacement(record);
    if (before?.writeId === writeId) return Right(record?.revision ?? 0);
    const instances = before?.instances ?? {};
    const changed = change(instances);
    if (changed.isLeft()) {
      return Left({ kind: "refused", message: changed.swap().orDefault("the change is not possible") });
    }
    const next = changed.orDefault(instances);
    if (next === instances) return Right(record?.revision ?? 0);
    const value: PlacementRecord = { zone, writeId, instances: { ...next } };
    const expectedRevision = record?.revision ?? 0;
    const isOwn = (held: unknown): boolean => (held as PlacementRecord | undefined)?.writeId === writeId;
    const result = await writeAndSettle(store, { key, value, expectedRevision }, isOwn);
    switch (result.kind) {
      case "done":
        mirror.offer({ key, value, revision: result.revision });
        return Right(result.revision);
      case "conflict":
        return Left({ kind: "conflict", message: `another change of zone ${zone} came first` });
      case "not-done":
      case "unknown":
        return Left({ kind: result.kind, message: result.failure.message });
    }
  };

  return {
    change: async (zone, writeId, change) => {
      let result = await attempt(zone, writeId, change);
      for (let tries = 1; tries < maximumAttempts && isConflict(result); tries += 1) {
        result = await attempt(zone, writeId, change);
      }
      return result;
    },
  };
}

function isConflict(result: Either<PlacementFailure, number>): boolean {
  return result
    .swap()
    .map(({ kind }) => kind === "conflict")
    .orDefault(false);
}

function decodePlacement(record: StoreRecord | undefined): PlacementRecord | undefined {
  if (record === undefined) return undefined;
  return parseWith(placementRecordSchema, record.value).orDefault(undefined as never);
}
