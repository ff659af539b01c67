/**
 * Deterministic choices among the entries by rendezvous hashing: every entry with the same member list agrees on them.
 * @packageDocumentation
 */
import { rendezvousOrder } from "../shared/index.js";

/** The fields of an entry that a choice depends on. */
export interface SelectableEntry {
  readonly entryId: string;
  readonly zone: string;
}

/** Number of peers that an entry keeps links to by default; with fewer peers it keeps a link to each. */
export const maximumPeerLinks = 24;

/**
 * Chooses the peers that an entry keeps links to: all peers up to the limit; otherwise one half in its own zone and
 * the other half spread over the other zones, so that forwarded messages reach every entry within a few hops.
 * @param memberList - all entries; may contain `self`
 * @param self - the entry that chooses
 * @param limit - maximum number of links
 * @returns identifiers of the chosen peers, at most `limit`
 */
export function choosePeers(
  memberList: readonly SelectableEntry[],
  self: SelectableEntry,
  limit: number,
): string[] {
  const others = memberList.filter(({ entryId }) => entryId !== self.entryId);
  if (others.length <= limit) return others.map(({ entryId }) => entryId);
  const sameZone = others.filter(({ zone }) => zone === self.zone).map(({ entryId }) => entryId);
  const chosenInZone = rendezvousOrder(self.entryId, sameZone).slice(0, Math.ceil(limit / 2));
  return [...chosenInZone, ...chooseAcrossZones(others, self, limit - chosenInZone.length)];
}

/** Chooses peers of the other zones round-robin by zone, up to the limit. */
function chooseAcrossZones(
  others: readonly SelectableEntry[],
  self: SelectableEntry,
  limit: number,
): string[] {
  const zones = [...new Set(others.map(({ zone }) => zone))].filter((zone) => zone !== self.zone);
  const ordered = rendezvousOrder(self.entryId, zones).map((zone) => {
    const members = others.filter((other) => other.zone === zone).map(({ entryId }) => entryId);
    return rendezvousOrder(self.entryId, members);
  });
  const longest = Math.max(0, ...ordered.map((members) => members.length));
  const rounds = Array.from({ length: longest }, (_, round) => ordered.map((members) => members[round]));
  return rounds
    .flat()
    .filter((entryId) => entryId !== undefined)
    .slice(0, limit);
}

/**
 * Returns whether an entry is one of those chosen for a task in its zone.
 * @param task - name of the task; different names give independent choices
 * @param runningEntries - the entries that are not known to have stopped; has to contain `self`
 * @param self - the entry in question
 * @param count - number of entries to choose in each zone
 * @returns true when `self` is chosen
 */
export function isChosenInZone(
  task: string,
  runningEntries: readonly SelectableEntry[],
  self: SelectableEntry,
  count: number,
): boolean {
  const members = runningEntries.filter(({ zone }) => zone === self.zone).map(({ entryId }) => entryId);
  return rendezvousOrder(task, members).slice(0, count).includes(self.entryId);
}
