/**
 * The path of calls to the store, decided with time handed in.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import type { StoreFailure } from "../../store/index.js";
import { createStorePath, type StorePath } from "../index.js";

const turnedAway: StoreFailure = { kind: "unavailable", message: "status 503" };
const overBudget: StoreFailure = { kind: "over-budget", message: "status 429" };
const peers = ["east-1", "east-2", "west-1", "west-2"];

function lostPath(): StorePath {
  const path = createStorePath();
  path.noteDirect(turnedAway, 0);
  path.noteDirect(turnedAway, 0);
  return path;
}

test("an entry that the store turns away goes through others after two calls, and back with the first answer", () => {
  const path = createStorePath();
  path.noteDirect(turnedAway, 0);
  expect(path.usesPeers(0)).toBe(false);
  path.noteDirect(turnedAway, 10);
  expect(path.usesPeers(10)).toBe(true);
  path.noteDirect(undefined, 600);
  expect(path.usesPeers(600)).toBe(false);
});

test("calls that fail now and then do not count as a lost path", () => {
  const path = createStorePath();
  for (let call = 0; call < 20; call += 1) path.noteDirect(call % 2 === 0 ? turnedAway : undefined, call);
  expect(path.usesPeers(20)).toBe(false);
});

test("a store that is asked for too much is not asked still more through others at once", () => {
  const path = createStorePath();
  for (const now of [0, 1, 2]) path.noteDirect(overBudget, now);
  expect(path.usesPeers(3)).toBe(false);
  path.noteDirect(overBudget, 3);
  expect(path.usesPeers(3)).toBe(true);
});

test("a malformed answer or a lease that has ended says nothing of the path", () => {
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

test("an entry that had a way is asked again first, one that had none is left out for a while", () => {
  const path = lostPath();
  expect(path.choosePeers(peers, 0)).toEqual(["east-1", "east-2", "west-1"]);
  path.notePeer("east-1", false, 0);
  path.notePeer("west-1", true, 0);
  expect(path.choosePeers(peers, 1)).toEqual(["west-1", "east-2", "west-2"]);
  expect(path.choosePeers(peers, 2_001)).toContain("east-1");
});

test("a store that is down for all is asked through others once a second, not with every call", () => {
  const path = lostPath();
  path.noteNoPeer(100);
  expect(path.usesPeers(1_000)).toBe(false);
  expect(path.usesPeers(1_100)).toBe(true);
});
