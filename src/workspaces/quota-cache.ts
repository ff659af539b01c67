/**
 * An entry's copy of all workspaces' quota records, followed while an owner on this entry applies caps.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";
import {
  followPrefix,
  type PrefixFollower,
  type StoreRecord,
  type TransactionalStore,
} from "../store/index.js";
import { quotaPrefix } from "./quota-record.js";

/** A copy of all workspaces' quota records. */
export interface QuotaCache {
  /** Returns the newest received revision of a workspace's record; undefined when none was received. */
  find(workspace: string): StoreRecord | undefined;
  /** Monotonic time in milliseconds at which the records were last known to be current. */
  currentAt(): number;
  /**
   * Follows the records while at least one owner is subscribed.
   * @param onChanged - called after records were received
   * @returns a function that ends the subscription
   */
  subscribe(onChanged: () => void): () => void;
  /**
   * Reads all records with a call that begins now, and retries until one succeeds.
   * @param isNeeded - checked before each attempt; false ends the retries
   * @returns whether the records were read
   */
  refresh(isNeeded: () => boolean): Promise<boolean>;
}

/** How long a call to the store may wait for changes. */
const waitMilliseconds = 500;
/** Pause between two calls, so that one call brings several changes. */
const pauseMilliseconds = 40;
/** Pause after a failed read of all records. */
const retryMilliseconds = 150;

/**
 * Creates the cache of an entry. Nothing is read before the first subscription or refresh.
 * @param store - the store that holds the records
 * @returns an empty cache
 */
export function createQuotaCache(store: TransactionalStore): QuotaCache {
  const records = new Map<string, StoreRecord>();
  const listeners = new Set<() => void>();
  let follower: PrefixFollower | undefined;
  let readAt = Number.NEGATIVE_INFINITY;

  const merge = (found: Iterable<StoreRecord>): void => {
    for (const record of found) {
      const known = records.get(record.key);
      if (known === undefined || known.revision < record.revision) records.set(record.key, record);
    }
    for (const listener of [...listeners]) listener();
  };

  const follow = (): PrefixFollower =>
    followPrefix({
      store,
      prefix: quotaPrefix,
      waitMilliseconds,
      pauseMilliseconds: () => pauseMilliseconds,
      onChanged: (found) => {
        merge(found.values());
      },
    });

  return {
    find: (workspace) => records.get(`${quotaPrefix}${workspace}`),
    currentAt: () => {
      const age = follower?.ageMilliseconds() ?? Number.POSITIVE_INFINITY;
      return Math.max(readAt, performance.now() - age);
    },
    subscribe: (onChanged) => {
      listeners.add(onChanged);
      follower ??= follow();
      return () => {
        listeners.delete(onChanged);
        if (listeners.size > 0) return;
        follower?.close();
        follower = undefined;
      };
    },
    refresh: async (isNeeded) => {
      while (isNeeded()) {
        const requestSentAt = performance.now();
        const listing = await store.list(quotaPrefix);
        if (listing.isRight()) {
          readAt = Math.max(readAt, requestSentAt);
          merge(listing.unsafeCoerce().records);
          return true;
        }
        await delay(retryMilliseconds);
      }
      return false;
    },
  };
}
