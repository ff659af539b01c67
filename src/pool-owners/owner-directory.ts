/**
 * An entry's view of the other entries and of the pools that they own.
 * @packageDocumentation
 */
import type { OwnerRecord } from "./owner-record.js";

/** The present entries and owners, as last received from the store. */
export interface OwnerDirectory {
  /** The entries with a member record, and the capacity of each in cores. */
  readonly entries: () => ReadonlyMap<string, number>;
  /** The owner of each pool that has one. */
  owners(): ReadonlyMap<string, OwnerRecord & { readonly revision: number }>;
  /** Milliseconds since the directory was last known to be current. */
  ageMilliseconds(): number;
}

/** An older directory is no proof that a pool has no owner. */
const maximumAgeMilliseconds = 2_500;

/**
 * Checks whether a directory is recent enough to conclude from it that a pool has no owner.
 * @param directory - the directory
 * @returns true when it is recent enough
 */
export function isCurrent(directory: OwnerDirectory): boolean {
  return directory.ageMilliseconds() <= maximumAgeMilliseconds;
}

/**
 * Checks whether all of the given pools are owned by other entries.
 * @param directory - the directory
 * @param pools - the pools
 * @param entryId - this entry
 * @returns false also when the directory is not current
 */
export function areHeldElsewhere(
  directory: OwnerDirectory,
  pools: readonly string[],
  entryId: string,
): boolean {
  if (!isCurrent(directory)) return false;
  const owners = directory.owners();
  return pools.every((pool) => {
    const holder = owners.get(pool)?.entryId;
    return holder !== undefined && holder !== entryId;
  });
}
