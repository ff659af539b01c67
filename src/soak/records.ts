/**
 * Writes of operators and targets directly to the store's engine, so that injected store faults don't affect them.
 * @packageDocumentation
 */
import type { StoreEngine } from "../stand-ins/index.js";
import type { WrittenRecord } from "./wire.js";

/** Writes a record, whether or not the key exists. */
export function putRecord(engine: StoreEngine, { key, value }: WrittenRecord): void {
  engine.write({ key, value, expectedRevision: readRevision(engine, key), leaseId: undefined });
}

/** Deletes a record if the key exists. */
export function removeRecord(engine: StoreEngine, key: string): void {
  const expectedRevision = readRevision(engine, key);
  if (expectedRevision > 0) engine.write({ key, value: undefined, expectedRevision, leaseId: undefined });
}

function readRevision(engine: StoreEngine, key: string): number {
  return engine.range(key)[0]?.revision ?? 0;
}
