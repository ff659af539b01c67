/**
 * What is known of the fleet of entries and the homes that they hold.
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
