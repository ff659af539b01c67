/**
 * A local copy of all records below a prefix, updated by long polling, with its age.
 * @packageDocumentation
 */
import { Pause } from "../shared/index.js";
import type { StoreRecord, TransactionalStore } from "./store.js";

/** Options of a follower. */
export interface PrefixFollowerOptions {
  readonly store: TransactionalStore;
  readonly prefix: string;
  /** How long the store waits for changes in one call. */
  readonly waitMilliseconds: number;
  /** Delay between two calls, which batches changes; evaluated before each delay. */
  pauseMilliseconds(): number;
  /**
   * A copy older than this is replaced by a new list, since reading all changes since then may cost far more than the
   * list. Without it the copy is always updated by changes.
   */
  readonly listAfterMilliseconds?: number;
  /** Called when the copy changed, and after every list. */
  onChanged(records: ReadonlyMap<string, StoreRecord>): void;
  /**
   * Called when calls start to fail and when they succeed again; `reason` is the failure, or the call that succeeded.
   */
  onReachable?(isReachable: boolean, reason: string): void;
}

/** A local copy of the records below a prefix. */
export interface PrefixFollower {
  /** The records as last received, by key. */
  records(): ReadonlyMap<string, StoreRecord>;
  /** Milliseconds since the copy was last proven current; infinite before the first list. */
  ageMilliseconds(): number;
  /** Milliseconds since calls last started or stopped failing; infinite when no call has failed. */
  reachableForMilliseconds(): number;
  /** Skips the delay before the next call. */
  hurry(): void;
  close(): void;
}

const retryDelayMilliseconds = 150;

/**
 * Starts to follow a prefix.
 * @param options - the store, the prefix, the intervals and the callbacks
 * @returns the follower, empty until the first list succeeded
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

  /** Lists the prefix; returns the revision after which to read changes, undefined when the call failed. */
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

  /**
   * Waits for changes once; returns the revision to continue after, undefined when the prefix has to be listed again.
   */
  const readChanges = async (after: number): Promise<number | undefined> => {
    const response = await store.changesAfter(prefix, after, options.waitMilliseconds);
    const respondedAt = performance.now();
    return response.caseOf<number | undefined>({
      Left: ({ kind, message }) => {
        noteReachable(false, `${kind}: ${message}`);
        return undefined;
      },
      Right: (found) => {
        noteReachable(true, "changes");
        if (found === undefined) return undefined;
        // Counts from the response: the store responds as soon as something changes, so the wait itself adds no age.
        // The time that the response took to arrive is not counted, so the copy may be older by that time.
        currentAt = Math.max(currentAt, respondedAt);
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
