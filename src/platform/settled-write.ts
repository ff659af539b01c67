/**
 * Conditional writes whose lost answers are settled by reading back.
 * @packageDocumentation
 */
import type { ConditionalWrite, StoreClient, StoreRecord, WriteResult } from "./store.js";

/**
 * Writes conditionally and settles a lost answer by reading the key back.
 * @param store - the store
 * @param write - the write; its value must differ from every other writer's, as by an identifier in it
 * @param isOwn - tells whether a record's value is the one of this write
 * @returns `unknown` only when reading back failed too
 */
export async function writeAndSettle(
  store: StoreClient,
  write: ConditionalWrite,
  isOwn: (value: unknown) => boolean,
): Promise<WriteResult> {
  const result = await store.compareAndSwap(write);
  if (result.kind !== "unknown") return result;
  const current = await store.get(write.key);
  return current.caseOf<WriteResult>({
    Left: (failure) => ({ kind: "unknown", failure }),
    Right: (record) => settle(write, record, isOwn, result),
  });
}

function settle(
  write: ConditionalWrite,
  record: StoreRecord | undefined,
  isOwn: (value: unknown) => boolean,
  lost: WriteResult,
): WriteResult {
  if (record !== undefined && isOwn(record.value)) return { kind: "done", revision: record.revision };
  // An unchanged key proves nothing: the write may still be on its way.
  if ((record?.revision ?? 0) === write.expectedRevision) return lost;
  return { kind: "conflict", current: record };
}
