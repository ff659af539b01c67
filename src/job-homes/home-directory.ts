/**
 * What an entry knows of the fleet of entries and of the homes that they hold.
 * @packageDocumentation
 */
import type { HomeRecord } from "./home-record.js";

/** What the keeper knows of the fleet of entries. */
export interface HomeDirectory {
  /** Entries with a record, and how much work each can do, in cores. */
  readonly entries: () => ReadonlyMap<string, number>;
  /** The home of each pool that has one. */
  homes(): ReadonlyMap<string, HomeRecord & { readonly revision: number }>;
  /** Milliseconds since this was known to be current. */
  ageMilliseconds(): number;
}

/** The directory must be this young to show that a pool has no home. */
const longestAgeMilliseconds = 2_500;

/**
 * Tells whether a directory is young enough to show that a pool has no home.
 * @param directory - what is known
 * @returns whether it is
 */
export function isCurrent(directory: HomeDirectory): boolean {
  return directory.ageMilliseconds() <= longestAgeMilliseconds;
}

/**
 * Tells whether other entries surely are the homes of pools.
 * @param directory - what is known
 * @param pools - the pools
 * @param entryId - the entry that asks
 * @returns whether each of the pools has a home elsewhere, by what is current
 */
export function areHeldElsewhere(
  directory: HomeDirectory,
  pools: readonly string[],
  entryId: string,
): boolean {
  if (!isCurrent(directory)) return false;
  const homes = directory.homes();
  return pools.every((pool) => {
    const holder = homes.get(pool)?.entryId;
    return holder !== undefined && holder !== entryId;
  });
}
