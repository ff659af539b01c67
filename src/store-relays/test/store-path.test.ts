/**
 * The choice between the direct path to the store and the one through other entries; tests pass the time.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import type { StoreFailure } from "../../store/index.js";
import { createStorePath, type StorePath } from "../index.js";

const unavailable: StoreFailure = { kind: "unavailable", message: "status 503" };
const overBudget: StoreFailure = { kind: "over-budget", message: "status 429" };
const peers = ["east-1", "east-2", "west-1", "west-2"];

function lostPath(): StorePath {
  const path = createStorePath();
  path.noteDirect(unavailable, 0);
  path.noteDirect(unavailable, 0);
  return path;
}

test("an entry uses others after two rejected calls, and the direct path again after its first answer", () => {
  const path = createStorePath();
  path.noteDirect(unavailable, 0);
  expect(path.usesPeers(0)).toBe(false);
  path.noteDirect(unavailable, 10);
  expect(path.usesPeers(10)).toBe(true);
  path.noteDirect(undefined, 600);
  expect(path.usesPeers(600)).toBe(false);
});

test("occasional failures do not count as a lost path", () => {
  const path = createStorePath();
  for (let call = 0; call < 20; call += 1) path.noteDirect(call % 2 === 0 ? unavailable : undefined, call);
  expect(path.usesPeers(20)).toBe(false);
});

test("an overloaded store gets no relayed calls before the fourth rejection", () => {
  const path = createStorePath();
  for (const now of [0, 1, 2]) path.noteDirect(overBudget, now);
  expect(path.usesPeers(3)).toBe(false);
  path.noteDirect(overBudget, 3);
  expect(path.usesPeers(3)).toBe(true);
});

test("a malformed answer or an ended lease does not count as a failure of the path", () => {
  const path = createStorePath();
  for (let call = 0; call < 10; call += 1) {
    path.noteDirect({ kind: "bad-answer", message: "" }, call);
    path.noteDirect({ kind: "lease-ended", message: "" }, call);
  }
  expect(path.usesPeers(10)).toBe(false);
});

test("the direct path is probed twice a second while it is lost, and not otherwise", () => {
  expect(createStorePath().beginProbe(10_000)).toBe(false);
  const path = lostPath();
  const probes = Array.from({ length: 300 }, (_, index) => path.beginProbe(index * 10)).filter(Boolean);
  expect(probes).toHaveLength(5);
});

test("the last entry that had a path is called first, one that had none is skipped for a while", () => {
  const path = lostPath();
  expect(path.choosePeers(peers, 0)).toEqual(["east-1", "east-2", "west-1"]);
  path.notePeer("east-1", false, 0);
  path.notePeer("west-1", true, 0);
  expect(path.choosePeers(peers, 1)).toEqual(["west-1", "east-2", "west-2"]);
  expect(path.choosePeers(peers, 2_001)).toContain("east-1");
});

test("a store that is down for all entries is tried through others once a second, not with every call", () => {
  const path = lostPath();
  path.noteNoPeer(100);
  expect(path.usesPeers(1_000)).toBe(false);
  expect(path.usesPeers(1_100)).toBe(true);
});
