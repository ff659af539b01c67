/**
 * Records below a prefix whose revisions never fall, also when what is received comes late or out of order.
 * @packageDocumentation
 */
import type { StoreListing, StoreRecord } from "./store.js";

/** What became of the records. */
export interface MirroredRecordsHandlers {
  /** A record was added or replaced. */
  onChanged(record: StoreRecord): void;
  /** A record was deleted. */
  onDeleted(key: string): void;
}

/** Records that take changes in any order. */
export interface MirroredRecords {
  /** The records held, by key. */
  readonly recordsByKey: ReadonlyMap<string, StoreRecord>;
  /**
   * Takes a record unless a newer one is held or the key was deleted later.
   * @returns whether it was taken
   */
  offer(record: StoreRecord): boolean;
  /**
   * Takes a deletion unless the key was written later.
   * @returns whether a record was deleted
   */
  remove(key: string, revision: number): boolean;
  /**
   * Takes a whole list.
   * @returns whether it held anything that was not known
   */
  replaceAll(listing: StoreListing): boolean;
}

/**
 * Creates an empty set of records.
 * @param handlers - called for each change
 * @returns the records
 */
export function createMirroredRecords(handlers: MirroredRecordsHandlers): MirroredRecords {
  const records = new Map<string, StoreRecord>();
  /** Revisions of deletions that are newer than the last list. */
  const deletions = new Map<string, number>();
  let listedRevision = 0;

  const offer = (record: StoreRecord): boolean => {
    const held = records.get(record.key);
    // A key that the last list did not hold was deleted if an older revision of it turns up.
    const latestRevision = held?.revision ?? Math.max(listedRevision, deletions.get(record.key) ?? 0);
    if (record.revision <= latestRevision) return false;
    records.set(record.key, record);
    handlers.onChanged(record);
    return true;
  };

  const remove = (key: string, revision: number): boolean => {
    const held = records.get(key);
    if (held !== undefined && held.revision > revision) return false;
    deletions.set(key, Math.max(revision, deletions.get(key) ?? 0));
    if (held === undefined) return false;
    records.delete(key);
    handlers.onDeleted(key);
    return true;
  };

  const replaceAll = ({ records: found, revision }: StoreListing): boolean => {
    const keys = new Set(found.map(({ key }) => key));
    const missing = [...records.keys()].filter((key) => !keys.has(key));
    const removed = missing.filter((key) => remove(key, revision));
    const accepted = found.filter(offer);
    listedRevision = Math.max(listedRevision, revision);
    for (const [key, deletedAt] of deletions) {
      if (deletedAt <= listedRevision) deletions.delete(key);
    }
    return removed.length + accepted.length > 0;
  };

  return { recordsByKey: records, offer, remove, replaceAll };
}
