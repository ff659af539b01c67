/**
 * Conditional writes that resolve a lost response by reading the key back.
 * @packageDocumentation
 */
import type { ConditionalWrite, StoreClient, StoreRecord, WriteResult } from "./store.js";

/**
 * Writes conditionally; when the response is lost, reads the key back to find out whether the write took effect.
 *
 * A write that is still in flight cannot overwrite a later one: its expected revision no longer holds once the key was
 * written again. Only a write that expects an absent key can take effect after a later deletion; writers of such keys
 * bind them to a lease.
 * @param store - client of the store that holds the key
 * @param write - its value must differ from those of all other writers, for example by an identifier in it
 * @param isOwn - whether a value was written by this write, or by a later write that names this one as earlier
 * @param provesAbsence - whether a value of another writer proves that this write never took effect; without this
 * function a key that was replaced after a lost response leaves the result unknown
 * @returns `unknown` when reading back failed or does not prove either outcome
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
  // For a deletion the key's absence is enough, no matter which writer deleted it.
  if (write.value === undefined) return record === undefined;
  return record !== undefined && isOwn(record.value);
}
