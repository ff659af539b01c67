/**
 * Which entries this one can call: those of the member list, and owners of pools that the list lacks.
 * @packageDocumentation
 */
import { afterEach, beforeEach, expect, test } from "vitest";
import type { MemberRecord, PeerNetwork } from "../../membership/index.js";
import { entryPrefix, ownerPrefix } from "../../pool-owners/index.js";
import {
  createStoreEngine,
  createStoreFaults,
  MemoryStoreClient,
  type StoreEngine,
} from "../../stand-ins/index.js";
import { createLog } from "../../telemetry/index.js";
import { followMembers, type Members } from "../job-followers.js";

let engine: StoreEngine;
let members: Members;
let followed: readonly MemberRecord[];

beforeEach(() => {
  engine = createStoreEngine();
  followed = [];
  const store = new MemoryStoreClient(engine, createStoreFaults());
  const peers = {
    follow: (records: readonly MemberRecord[]) => {
      followed = records;
    },
  } as unknown as PeerNetwork;
  members = followMembers(store, peers, createLog("silent"), () => undefined);
});
afterEach(() => {
  members.follower.close();
  engine.close();
});

function describe(entryId: string, incarnation = 1): MemberRecord {
  return { entryId, incarnation, peerAddress: `127.0.0.1:${incarnation}`, zone: "zone" };
}

function write(key: string, value: unknown): void {
  engine.write({ key, value: JSON.stringify(value), expectedRevision: 0, leaseId: undefined });
}

async function waitForPool(pool: string): Promise<void> {
  while (!members.directory.owners().has(pool)) await new Promise((resolve) => setTimeout(resolve, 5));
}

// Guards against an owner that the others cannot reach because its member record is gone.
test("an owner without a member record can be called, but is no candidate for further pools", async () => {
  write(`${entryPrefix}a`, describe("a"));
  for (const pool of ["benders", "presses"])
    write(`${ownerPrefix}${pool}`, { entryId: "b", member: describe("b"), term: pool, barrier: 0 });
  await waitForPool("presses");
  expect(followed).toEqual([describe("a"), describe("b")]);
  expect([...members.directory.entries().keys()]).toEqual(["a"]);
});

test("the member record of an owner goes before the one in its owner record, which may be older", async () => {
  write(`${entryPrefix}b`, describe("b", 2));
  write(`${ownerPrefix}presses`, { entryId: "b", member: describe("b", 1), term: "first", barrier: 0 });
  await waitForPool("presses");
  expect(followed).toEqual([describe("b", 2)]);
});

test("an owner record of an earlier version, without a member record, is read", async () => {
  write(`${ownerPrefix}presses`, { entryId: "b", term: "first", barrier: 0 });
  await waitForPool("presses");
  expect(followed).toEqual([]);
});
