/**
 * Reads from the store which entries own pools.
 * @packageDocumentation
 */
import { decodeOwnerRecord, ownerPrefix } from "../pool-owners/index.js";
import type { StoreEngine } from "../stand-ins/index.js";

/**
 * Reads the owners of all pools.
 * @param engine - the stored records
 * @returns the identifiers of the owning entries by pool; pools without an owner are left out
 */
export function readOwners(engine: StoreEngine): ReadonlyMap<string, string> {
  const owners = engine.range(ownerPrefix, `${ownerPrefix}~`).flatMap(({ key, value }) => {
    const entryId = decodeOwnerRecord(JSON.parse(value))?.entryId;
    return entryId === undefined ? [] : [[key.slice(ownerPrefix.length), entryId] as const];
  });
  return new Map(owners);
}
