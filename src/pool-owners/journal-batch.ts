/**
 * Chooses which pending writes of an owner's journal share the next transaction.
 * @packageDocumentation
 */
import { countValueBytes, maximumTransactionEntries } from "../store/index.js";
import type { JournalResult } from "./journal-writes.js";

/** A write whose result is not settled. */
export interface PendingWrite {
  readonly key: string;
  value: unknown;
  /** Length of the value; undefined until it is measured. */
  valueBytes: number | undefined;
  readonly mustBeAbsent: boolean;
  readonly settles: ((result: JournalResult) => void)[];
  /** Whether a caller, or a job whose work is done, is waiting for the write. */
  isUrgent: boolean;
  /** Whether a transaction with the write is in progress, or the write may be stored already. */
  isSent: boolean;
  /** Whether a transaction with the write had no answer. The write may then be stored, whatever later attempts return. */
  mayBeStored: boolean;
}

/** Maximum size of a transaction of several writes, far below the limit of the store for one value. */
const bytesPerTransaction = 400_000;

/**
 * Chooses writes of different keys that fit in one transaction. The first write always fits.
 * @param pending - the pending writes, in the order of submission
 * @returns the chosen writes
 */
export function chooseBatch(pending: readonly PendingWrite[]): PendingWrite[] {
  let bytes = 0;
  let entries = 1;
  const batch: PendingWrite[] = [];
  const keys = new Set<string>();
  for (const item of sortByUrgency(pending)) {
    // A transaction can contain a key only once; the older write goes first.
    if (keys.has(item.key)) continue;
    bytes += measureWrite(item);
    entries += item.mustBeAbsent ? 2 : 1;
    const isFull = entries > maximumTransactionEntries || bytes > bytesPerTransaction;
    if (isFull && batch.length > 0) break;
    batch.push(item);
    keys.add(item.key);
  }
  return batch;
}

/**
 * Measures the value of a write, once for each value.
 * @param item - the write
 * @returns its length in bytes
 */
export function measureWrite(item: PendingWrite): number {
  item.valueBytes ??= countValueBytes(item.value);
  return item.valueBytes;
}

/** Writes that may be stored already come first, then urgent writes, then the others, each in the order of submission. */
function sortByUrgency(pending: readonly PendingWrite[]): PendingWrite[] {
  const sent = pending.filter(({ isSent }) => isSent);
  const fresh = pending.filter(({ isSent }) => !isSent);
  const urgent = fresh.filter(({ isUrgent }) => isUrgent);
  return [...sent, ...urgent, ...fresh.filter(({ isUrgent }) => !isUrgent)];
}
