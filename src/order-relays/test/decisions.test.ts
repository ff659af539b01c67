/**
 * The choice of relays and the age of frames, without a network.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { chooseRelays, createTransitClock, type RelayCandidate } from "../index.js";

function candidate(entryId: string, changes: Partial<RelayCandidate> = {}): RelayCandidate {
  return { entryId, zone: "east", capacityCores: 0.3, holdsOwner: false, ...changes };
}

const east = Array.from({ length: 9 }, (_, index) => candidate(`east-${index}`));
const west = Array.from({ length: 9 }, (_, index) => candidate(`west-${index}`, { zone: "west" }));

function relayOf(targetId: string, targetsInZone: number, candidates: readonly RelayCandidate[]): string {
  const chosen = chooseRelays({ ownerEntryId: "owner", targetId, zone: "east", targetsInZone, candidates });
  return chosen[0] ?? "";
}

function relaysOfPool(targets: number, candidates: readonly RelayCandidate[]): string[] {
  return Array.from({ length: targets }, (_, index) => relayOf(`target-${index}`, targets, candidates));
}

test("the relays of a pool grow with its targets, so that no relay carries a whole large pool", () => {
  const used = (targets: number): number => new Set(relaysOfPool(targets, east)).size;
  expect(used(8)).toBe(1);
  expect(used(24)).toBe(3);
  expect(used(72)).toBe(9);
});

test("orders for a target go through its own zone, and through another only when none is left there", () => {
  expect(relaysOfPool(16, [...east, ...west]).every((relay) => relay.startsWith("east"))).toBe(true);
  expect(relayOf("target-1", 16, west)).toMatch(/^west/);
});

test("entries that own pools relay for others only when no other entry is left", () => {
  const holders = east.map((each) => ({ ...each, holdsOwner: true }));
  const free = candidate("free");
  expect(relaysOfPool(24, [...holders, free])).toEqual(Array.from({ length: 24 }, () => "free"));
  expect(relayOf("target-1", 8, holders)).toMatch(/^east/);
});

test("larger entries relay for more targets", () => {
  const relays = relaysOfPool(400, [
    candidate("small"),
    candidate("large", { capacityCores: 1.2 }),
    ...Array.from({ length: 48 }, (_, index) => candidate(`other-${index}`)),
  ]);
  const count = (entryId: string): number => relays.filter((relay) => relay === entryId).length;
  expect(count("large")).toBeGreaterThan(2 * count("small"));
});

test("a relay that leaves moves only its own targets", () => {
  const before = relaysOfPool(72, east);
  const after = relaysOfPool(72, east.slice(1));
  const moved = before.filter((relay, index) => relay !== after[index]);
  expect(moved.every((relay) => relay === "east-0")).toBe(true);
});

test("the age of a frame includes its wait in a paused process, at any offset of the peer's clock", () => {
  const clock = createTransitClock();
  const offset = 123_456;
  expect(clock.ageMilliseconds(0, offset + 2)).toBe(0);
  expect(clock.ageMilliseconds(100, offset + 101)).toBe(0);
  expect(clock.ageMilliseconds(200, offset + 4_201)).toBe(4_000);
});

test("the drift of a clock raises the age of frames only up to a bound", () => {
  const clock = createTransitClock();
  const ages = Array.from({ length: 600 }, (_, index) => {
    const sentAt = index * 100;
    return clock.ageMilliseconds(sentAt, sentAt * 1.02 + 5);
  });
  expect(Math.max(...ages.slice(-50))).toBeLessThan(450);
});
