/**
 * Store leases to which claim segments are attached, so that old segments expire without being deleted explicitly.
 * @packageDocumentation
 */
import type { StoreClient } from "../../store/index.js";

/** Provides the lease for the next segment. */
export interface RetentionLease {
  /**
   * Returns a lease that keeps a segment for at least the retention time; grants a new one if necessary.
   * @returns the lease's identifier, or undefined when the store granted none
   */
  current(): Promise<string | undefined>;
  /** Discards the current lease, which the store no longer has; the next call of `current` grants a new one. */
  forget(): void;
}

const millisecondsPerSecond = 1_000;
/** Added to a lease's duration, so that a segment written late in the lease's use is still kept long enough. */
const marginSeconds = 60;

/**
 * Creates a provider of leases. Each lease lasts twice the retention time plus a margin of a minute, and is used for
 * new segments only during the first retention time, so that every segment is kept for at least the retention time.
 * @param store - the platform's store
 * @param retentionMilliseconds - minimum time for which a segment is kept
 * @param now - clock, in milliseconds
 * @returns the provider
 */
export function createRetentionLease(
  store: StoreClient,
  retentionMilliseconds: number,
  now: () => number,
): RetentionLease {
  let currentLease: { readonly leaseId: string; readonly grantedAt: number } | undefined;
  let pendingGrant: Promise<string | undefined> | undefined;

  const grant = async (): Promise<string | undefined> => {
    const grantedAt = now();
    const seconds = Math.ceil((2 * retentionMilliseconds) / millisecondsPerSecond) + marginSeconds;
    const lease = await store.grantLease(seconds);
    lease.ifRight(({ leaseId }) => {
      currentLease = { leaseId, grantedAt };
    });
    return currentLease?.leaseId;
  };

  return {
    current: async () => {
      if (currentLease !== undefined && now() - currentLease.grantedAt < retentionMilliseconds)
        return currentLease.leaseId;
      currentLease = undefined;
      pendingGrant ??= grant().finally(() => {
        pendingGrant = undefined;
      });
      return pendingGrant;
    },
    forget: () => {
      currentLease = undefined;
    },
  };
}
