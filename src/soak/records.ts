/**
 * Writes of operators and targets, which the store's own faults do not touch.
 * @packageDocumentation
 */
import type { StoreEngine } from "../stand-ins/index.js";
import type { WrittenRecord } from "./wire.js";

/** Writes a record, whatever is stored. */
export function putRecord(engine: StoreEngine, { key, value }: WrittenRecord): void {
  engine.write({ key, value, expectedRevision: readRevision(engine, key), leaseId: undefined });
}

/** Removes a record if it is stored. */
export function removeRecord(engine: StoreEngine, key: string): void {
  const expectedRevision = readRevision(engine, key);
  if (expectedRevision > 0) engine.write({ key, value: undefined, expectedRevision, leaseId: undefined });
}

function readRevision(engine: StoreEngine, key: string): number {
  return engine.range(key)[0]?.revision ?? 0;
}
