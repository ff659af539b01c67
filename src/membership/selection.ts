/**
 * Choices among the entries that every entry makes alike, by rendezvous hashing.
 * @packageDocumentation
 */
import { rendezvousOrder } from "../shared/index.js";

/** What a choice needs to know of an entry. */
export interface SelectableEntry {
  readonly entryId: string;
  readonly zone: string;
}

/** Up to this many peers, an entry keeps a link to each of them. */
export const maximumPeerLinks = 24;

/**
 * Chooses the peers that an entry keeps links to: all of them while they are few; else one half in its own zone and
 * the other half spread over the other zones, so that what is passed on reaches every entry within a few hops.
 * @param memberList - all entries
 * @param self - the entry that chooses
 * @param limit - the most links
 * @returns identifiers of the chosen peers
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

/** Takes one peer of each other zone in turn, until the limit. */
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
 * Tells whether an entry is one of the few in its zone that are chosen for a task.
 * @param task - name of the task
 * @param living - the entries that are not known to have stopped, the asking one included
 * @param self - the entry that asks
 * @param count - how many each zone needs
 * @returns whether this entry is chosen
 */
export function isChosenInZone(
  task: string,
  living: readonly SelectableEntry[],
  self: SelectableEntry,
  count: number,
): boolean {
  const members = living.filter(({ zone }) => zone === self.zone).map(({ entryId }) => entryId);
  return rendezvousOrder(task, members).slice(0, count).includes(self.entryId);
}
