/**
 * Records below a prefix, merged by revision: changes that arrive late or out of order never replace newer ones.
 * @packageDocumentation
 */
import type { StoreListing, StoreRecord } from "./store.js";

/** Callbacks for changes of the records. */
export interface MirroredRecordsHandlers {
  /** A record was added or replaced. */
  onChanged(record: StoreRecord): void;
  /** A record was deleted. */
  onDeleted(key: string): void;
}

/** Records that accept changes in any order. */
export interface MirroredRecords {
  /** The current records, by key. */
  readonly recordsByKey: ReadonlyMap<string, StoreRecord>;
  /**
   * Stores a record unless the stored one has the same or a higher revision, or the key was deleted at such a revision.
   * @returns whether the record was stored
   */
  offer(record: StoreRecord): boolean;
  /**
   * Applies a deletion unless the key was written at a higher revision.
   * @returns whether a record was deleted
   */
  remove(key: string, revision: number): boolean;
  /**
   * Applies a list of the whole prefix: records that it lacks are deleted unless they are newer than the list.
   * @returns whether any record changed
   */
  replaceAll(listing: StoreListing): boolean;
}

/**
 * Creates an empty set of records.
 * @param handlers - called synchronously for each change
 * @returns the records
 */
export function createMirroredRecords(handlers: MirroredRecordsHandlers): MirroredRecords {
  const records = new Map<string, StoreRecord>();
  /** Revisions of deletions after the last list; older ones are covered by the list's own revision. */
  const deletions = new Map<string, number>();
  let listedRevision = 0;

  const offer = (record: StoreRecord): boolean => {
    const current = records.get(record.key);
    // A key without a record was absent from the last list, so a revision up to that list was deleted in the meantime.
    const latestRevision = current?.revision ?? Math.max(listedRevision, deletions.get(record.key) ?? 0);
    if (record.revision <= latestRevision) return false;
    records.set(record.key, record);
    handlers.onChanged(record);
    return true;
  };

  const remove = (key: string, revision: number): boolean => {
    const current = records.get(key);
    if (current !== undefined && current.revision > revision) return false;
    deletions.set(key, Math.max(revision, deletions.get(key) ?? 0));
    if (current === undefined) return false;
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
