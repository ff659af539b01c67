/**
 * A local copy of all records below a prefix that knows how old it is, kept by bounded waits for changes.
 * @packageDocumentation
 */
import { Pause } from "../shared/index.js";
import type { StoreRecord, TransactionalStore } from "./store.js";

/** Settings of a follower. */
export interface PrefixFollowerOptions {
  readonly store: TransactionalStore;
  readonly prefix: string;
  /** How long one call waits for changes. */
  readonly waitMilliseconds: number;
  /** The pause between two calls, in which changes gather; asked for anew before each. */
  pauseMilliseconds(): number;
  /** A copy that is older is listed anew, since what changed meanwhile may be far more; left out to read the changes. */
  readonly listAfterMilliseconds?: number;
  /** Called when the copy changed, and whenever it was listed. */
  onChanged(records: ReadonlyMap<string, StoreRecord>): void;
  /** Called when calls begin to fail and when they succeed again. */
  onReachable?(isReachable: boolean, reason: string): void;
}

/** A local copy of the records below a prefix. */
export interface PrefixFollower {
  /** The records as last received, by key. */
  records(): ReadonlyMap<string, StoreRecord>;
  /** Milliseconds since the copy was known to be current; infinite before the first list. */
  ageMilliseconds(): number;
  /** Milliseconds since the last time that calls had been failing; infinite when they never did. */
  reachableForMilliseconds(): number;
  /** Ends the pause before the next call. */
  hurry(): void;
  close(): void;
}

const retryDelayMilliseconds = 150;

/**
 * Starts to follow a prefix.
 * @param options - the prefix, its periods and what is called
 * @returns the follower, empty until the first list arrived
 */
export function followPrefix(options: PrefixFollowerOptions): PrefixFollower {
  const { store, prefix, listAfterMilliseconds = Number.POSITIVE_INFINITY } = options;
  const pause = new Pause();
  let isClosed = false;
  let recordsByKey = new Map<string, StoreRecord>();
  let currentAt = Number.NEGATIVE_INFINITY;
  let reachableSince = Number.NEGATIVE_INFINITY;
  let isReachable = true;

  const hasClosed = (): boolean => isClosed;
  const noteReachable = (next: boolean, reason: string): void => {
    if (next === isReachable) return;
    isReachable = next;
    reachableSince = performance.now();
    options.onReachable?.(next, reason);
  };

  /** Reads the whole list; returns the revision from which changes continue. */
  const readList = async (): Promise<number | undefined> => {
    const requestSentAt = performance.now();
    const listing = await store.list(prefix);
    return listing.caseOf<number | undefined>({
      Left: ({ kind, message }) => {
        noteReachable(false, `${kind}: ${message}`);
        return undefined;
      },
      Right: ({ records, revision }) => {
        noteReachable(true, "list");
        recordsByKey = new Map(records.map((record) => [record.key, record]));
        currentAt = requestSentAt;
        options.onChanged(recordsByKey);
        return revision;
      },
    });
  };

  /** Waits for changes once; returns where to continue, undefined when the list has to be read again. */
  const readChanges = async (after: number): Promise<number | undefined> => {
    const answer = await store.changesAfter(prefix, after, options.waitMilliseconds);
    const answeredAt = performance.now();
    return answer.caseOf<number | undefined>({
      Left: ({ kind, message }) => {
        noteReachable(false, `${kind}: ${message}`);
        return undefined;
      },
      Right: (found) => {
        noteReachable(true, "changes");
        if (found === undefined) return undefined;
        // The answer may have been on its way for a while; the wait itself does not make it older.
        currentAt = Math.max(currentAt, answeredAt);
        for (const { key, value, revision } of found.changes) {
          if (value === undefined) recordsByKey.delete(key);
          else recordsByKey.set(key, { key, value, revision });
        }
        if (found.changes.length > 0) options.onChanged(recordsByKey);
        return found.revision;
      },
    });
  };

  const run = async (): Promise<void> => {
    let revision: number | undefined;
    while (!hasClosed()) {
      const isTooOld = performance.now() - currentAt > listAfterMilliseconds;
      revision = revision === undefined || isTooOld ? await readList() : await readChanges(revision);
      if (hasClosed()) return;
      const milliseconds = revision === undefined ? retryDelayMilliseconds : options.pauseMilliseconds();
      await pause.wait(milliseconds);
    }
  };

  void run();
  return {
    records: () => recordsByKey,
    ageMilliseconds: () => performance.now() - currentAt,
    reachableForMilliseconds: () => performance.now() - reachableSince,
    hurry: () => {
      pause.end();
    },
    close: () => {
      isClosed = true;
      pause.end();
    },
  };
}
