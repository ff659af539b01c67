/**
 * Store leases that segments are attached to, so that old segments end without deletes.
 * @packageDocumentation
 */
import type { StoreClient } from "../../store/index.js";

/** Gives the lease for the next segment. */
export interface RetentionLease {
  /**
   * Finds a lease under which a segment lasts at least the retention time.
   * @returns its identifier, or undefined when the store granted none
   */
  current(): Promise<string | undefined>;
  /** Forgets a lease that the store no longer knows. */
  forget(): void;
}

const millisecondsPerSecond = 1_000;
const marginSeconds = 60;

/**
 * Creates the source of leases. A lease lasts twice the retention time and takes segments for half of that.
 * @param store - the platform's store
 * @param retentionMilliseconds - how long a segment must last
 * @param now - the clock
 * @returns the source
 */
export function createRetentionLease(
  store: StoreClient,
  retentionMilliseconds: number,
  now: () => number,
): RetentionLease {
  let held: { readonly leaseId: string; readonly grantedAt: number } | undefined;
  let granting: Promise<string | undefined> | undefined;

  const grant = async (): Promise<string | undefined> => {
    const grantedAt = now();
    const seconds = Math.ceil((2 * retentionMilliseconds) / millisecondsPerSecond) + marginSeconds;
    const lease = await store.grantLease(seconds);
    lease.ifRight(({ leaseId }) => {
      held = { leaseId, grantedAt };
    });
    return held?.leaseId;
  };

  return {
    current: async () => {
      if (held !== undefined && now() - held.grantedAt < retentionMilliseconds) return held.leaseId;
      held = undefined;
      granting ??= grant().finally(() => {
        granting = undefined;
      });
      return granting;
    },
    forget: () => {
      held = undefined;
    },
  };
}
