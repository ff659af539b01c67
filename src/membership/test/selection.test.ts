/**
 * The chosen peers connect all entries within a few hops and limit the links of each entry.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import {
  choosePeers,
  isChosenInZone,
  leaseSecondsFor,
  maximumPeerLinks,
  type SelectableEntry,
} from "../index.js";

function createEntries(count: number, zones: number): SelectableEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    entryId: `entry-${index}`,
    zone: `zone-${index % zones}`,
  }));
}

/** Counts the hops from `start` until all entries are reached; Infinity when some are not within 20 hops. */
function countHops(links: ReadonlyMap<string, readonly string[]>, start: string): number {
  let reached = new Set([start]);
  for (let hops = 0; hops < 20; hops += 1) {
    if (reached.size === links.size) return hops;
    const linked = [...links].filter(
      ([from, peers]) => peers.some((peer) => reached.has(peer)) || reached.has(from),
    );
    reached = new Set([...reached, ...linked.map(([from]) => from)]);
  }
  return Infinity;
}

test("few entries form a full mesh", () => {
  const entries = createEntries(9, 3);
  for (const self of entries) expect(choosePeers(entries, self, maximumPeerLinks)).toHaveLength(8);
});

test.each([81, 400, 1_000])(
  "%i entries are connected within four hops by a limited number of links",
  (count) => {
    const entries = createEntries(count, 17);
    const links = new Map(
      entries.map((self) => [self.entryId, choosePeers(entries, self, maximumPeerLinks)]),
    );
    expect(Math.max(...[...links.values()].map((peers) => new Set(peers).size))).toBeLessThanOrEqual(
      maximumPeerLinks,
    );
    const incoming = new Map<string, number>();
    for (const peer of [...links.values()].flat()) incoming.set(peer, (incoming.get(peer) ?? 0) + 1);
    expect(Math.max(...incoming.values())).toBeLessThanOrEqual(3 * maximumPeerLinks);
    expect(countHops(links, "entry-0")).toBeLessThanOrEqual(4);
  },
);

test("each zone has its chosen entries, and others replace them when they stop", () => {
  const entries = createEntries(60, 3);
  const chosen = entries.filter((self) => isChosenInZone("watch", entries, self, 2));
  expect(chosen).toHaveLength(6);
  const remaining = entries.filter((entry) => !chosen.includes(entry));
  expect(remaining.filter((self) => isChosenInZone("watch", remaining, self, 2))).toHaveLength(6);
});

test("leases get longer with the number of members, so that renewals stay below 50 per second", () => {
  expect(leaseSecondsFor(9)).toBe(10);
  for (const size of [100, 1_000, 4_000, 20_000]) {
    const renewalsPerSecond = size / ((leaseSecondsFor(size) * 3) / 10);
    expect(renewalsPerSecond).toBeLessThanOrEqual(50);
  }
});
