/**
 * An entry's copy of the records of all workspaces' caps, followed while an owner of the entry works with caps.
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

/** The records of all workspaces' caps. */
export interface QuotaCache {
  /** Finds the newest revision of a workspace's record that was received; undefined when none was. */
  find(workspace: string): StoreRecord | undefined;
  /** When the records were last known to be current, by the monotonic clock. */
  currentAt(): number;
  /**
   * Follows the records for an owner, until it closes.
   * @param onChanged - called when records changed
   * @returns ends the owner's interest
   */
  subscribe(onChanged: () => void): () => void;
  /**
   * Reads all records with a call that begins now, until that succeeds.
   * @param goesOn - whether the result is still needed
   * @returns whether they were read
   */
  refresh(goesOn: () => boolean): Promise<boolean>;
}

const waitMilliseconds = 500;
/** The pause between two calls, in which changes gather. */
const pauseMilliseconds = 40;
const retryMilliseconds = 150;

/**
 * Creates the records of an entry; nothing is read before an owner needs them.
 * @param store - the store
 * @returns the records
 */
export function createQuotaCache(store: TransactionalStore): QuotaCache {
  const records = new Map<string, StoreRecord>();
  const listeners = new Set<() => void>();
  let follower: PrefixFollower | undefined;
  let readAt = Number.NEGATIVE_INFINITY;

  const take = (found: Iterable<StoreRecord>): void => {
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
        take(found.values());
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
    refresh: async (goesOn) => {
      while (goesOn()) {
        const requestSentAt = performance.now();
        const listing = await store.list(quotaPrefix);
        if (listing.isRight()) {
          readAt = Math.max(readAt, requestSentAt);
          take(listing.unsafeCoerce().records);
          return true;
        }
        await delay(retryMilliseconds);
      }
      return false;
    },
  };
}
