/**
 * What an entry knows of the fleet of entries and of the pools that they own.
 * @packageDocumentation
 */
import type { OwnerRecord } from "./owner-record.js";

/** What the keeper knows of the fleet of entries. */
export interface OwnerDirectory {
  /** Entries with a record, and how much work each can do, in cores. */
  readonly entries: () => ReadonlyMap<string, number>;
  /** The owner of each pool that has one. */
  owners(): ReadonlyMap<string, OwnerRecord & { readonly revision: number }>;
  /** Milliseconds since this was known to be current. */
  ageMilliseconds(): number;
}

/** The directory must be this young to show that a pool has no owner. */
const maximumAgeMilliseconds = 2_500;

/**
 * Tells whether a directory is young enough to show that a pool has no owner.
 * @param directory - what is known
 * @returns whether it is
 */
export function isCurrent(directory: OwnerDirectory): boolean {
  return directory.ageMilliseconds() <= maximumAgeMilliseconds;
}

/**
 * Tells whether other entries surely are the owners of pools.
 * @param directory - what is known
 * @param pools - the pools
 * @param entryId - the entry that asks
 * @returns whether each of the pools has an owner elsewhere, by what is current
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
