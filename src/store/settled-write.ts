/**
 * Conditional writes whose lost answers are settled by reading back.
 * @packageDocumentation
 */
import type { ConditionalWrite, StoreClient, StoreRecord, WriteResult } from "./store.js";

/**
 * Writes conditionally and settles a lost answer by reading the key back.
 *
 * A write that is still on its way can do no harm later: its expected revision no longer holds once the key was
 * written again. Only a write that expects an absent key can take effect after a later deletion; writers of such keys
 * bind them to a lease.
 * @param store - the store
 * @param write - the write; its value must differ from every other writer's, as by an identifier in it
 * @param isOwn - tells whether a record's value is that of this write, or names this write among earlier ones
 * @param provesAbsence - tells whether a value of another writer proves that this write never took effect; without
 * it a key that was replaced after a lost answer leaves the result unknown
 * @returns `unknown` when reading back failed or proves nothing
 */
export async function writeAndSettle(
  store: StoreClient,
  write: ConditionalWrite,
  isOwn: (value: unknown) => boolean,
  provesAbsence: (value: unknown) => boolean = () => false,
): Promise<WriteResult> {
  const result = await store.compareAndSwap(write);
  if (result.kind !== "unknown") return result;
  const current = await store.get(write.key);
  return current.caseOf<WriteResult>({
    Left: (failure) => ({ kind: "unknown", failure }),
    Right: (record) => {
      if (hasTakenEffect(write, record, isOwn)) {
        return { kind: "done", revision: record?.revision ?? write.expectedRevision };
      }
      if (record !== undefined && record.revision !== write.expectedRevision && provesAbsence(record.value)) {
        return { kind: "conflict", current: record };
      }
      return result;
    },
  });
}

function hasTakenEffect(
  write: ConditionalWrite,
  record: StoreRecord | undefined,
  isOwn: (value: unknown) => boolean,
): boolean {
  // A deletion is settled by the key's absence, whoever deleted it.
  if (write.value === undefined) return record === undefined;
  return record !== undefined && isOwn(record.value);
}
