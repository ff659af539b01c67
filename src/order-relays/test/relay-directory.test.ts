/**
 * The assignment of relays to an owner's targets, without a network.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createRelayDirectory } from "../index.js";
import { createFakePeers } from "./fake-peers.js";

test("the first orders of a new owner do not all go through one relay", () => {
  const entries = Array.from({ length: 9 }, (_, index) => ({
    entryId: `entry-${index}`,
    zone: "zone",
    capacityCores: 1,
    holdsOwner: false,
  }));
  const { peers } = createFakePeers();
  const directory = createRelayDirectory({ entryId: "owner", peers, entries: () => entries });
  const used = new Map<string, number>();
  for (let index = 0; index < 96; index += 1) {
    const target = { targetId: `target-${index}`, address: "", startedAtUnix: 1, availabilityZone: "zone" };
    const [relay] = directory.relaysFor(target);
    if (relay !== undefined) used.set(relay, (used.get(relay) ?? 0) + 1);
  }
  expect(Math.max(...used.values())).toBeLessThan(96 / 3);
});
