/**
 * Entries whose path to the store is cut, over one store in memory and calls between them without a network.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createFixture, type TestEntry } from "./relay-fixture.js";

/** Two failed calls, after which the entry goes through others. */
async function cut({ store, faults }: TestEntry): Promise<void> {
  faults.mode = "refusing";
  await store.get("probe");
  await store.get("probe");
}

test("an entry that the store turns away writes, reads, waits and keeps its lease through another", async () => {
  const fixture = createFixture();
  const near = fixture.start("near", ["far"]);
  fixture.start("far", []);
  await cut(near);
  const lease = (await near.store.grantLease(3)).unsafeCoerce();
  const write = { key: "jobs/1", value: { state: "new" }, leaseId: lease.leaseId };
  const result = await near.store.transact({ expected: [{ key: "jobs/1", revision: 0 }], writes: [write] });
  expect(result.kind).toBe("done");
  expect((await near.store.get("jobs/1")).unsafeCoerce()?.value).toEqual({ state: "new" });
  expect((await near.store.list("jobs/")).unsafeCoerce().records).toHaveLength(1);
  expect((await near.store.changesAfter("jobs/", 0, 0)).unsafeCoerce()?.changes).toHaveLength(1);
  expect((await near.store.renewLease(lease.leaseId)).unsafeCoerce()).toBe(true);
  expect((await near.store.revokeLease(lease.leaseId)).unsafeCoerce()).toBe(true);
  expect((await near.store.get("jobs/1")).unsafeCoerce()).toBeUndefined();
});

test("a conflict and a deletion come through another entry as they are", async () => {
  const fixture = createFixture();
  const near = fixture.start("near", ["far"]);
  fixture.start("far", []);
  await near.store.transact({ expected: [], writes: [{ key: "a", value: 1 }] });
  await cut(near);
  const stale = { key: "a", value: 2, expectedRevision: 0 };
  const conflict = await near.store.compareAndSwap(stale);
  expect(conflict).toMatchObject({ kind: "conflict", current: { key: "a", value: 1 } });
  await near.store.transact({ expected: [], writes: [{ key: "a", value: undefined }] });
  const found = (await near.store.changesAfter("a", 1, 0)).unsafeCoerce();
  expect(found?.changes.at(-1)?.value).toBeUndefined();
});

test("a write whose answer another entry lost is unknown, and is not sent again", async () => {
  const fixture = createFixture();
  const near = fixture.start("near", ["far", "other"]);
  fixture.start("far", []);
  fixture.start("other", []);
  await cut(near);
  fixture.peers.silent.add("far");
  const before = fixture.peers.made.length;
  const result = await near.store.transact({ expected: [], writes: [{ key: "a", value: 1 }] });
  expect(result.kind).toBe("unknown");
  expect(fixture.peers.made.slice(before)).toEqual(["store.transact to far"]);
});

test("entries that are cut off themselves do not pass calls on; the next one makes them", async () => {
  const fixture = createFixture();
  const near = fixture.start("near", ["cut", "gone", "far"]);
  const other = fixture.start("cut", ["near", "far"]);
  fixture.start("far", []);
  await cut(other);
  await cut(near);
  expect((await near.store.list("")).isRight()).toBe(true);
  const passedOn = fixture.peers.made.filter((call) => call === "store.list to near");
  expect(passedOn).toEqual([]);
});

test("a store that is down for all gets few calls through others", async () => {
  const fixture = createFixture();
  const near = fixture.start("near", ["far", "other"]);
  for (const entry of [fixture.start("far", []), fixture.start("other", [])]) entry.faults.mode = "refusing";
  await cut(near);
  for (let call = 0; call < 50; call += 1) await near.store.get("a");
  expect(fixture.peers.made).toEqual(["store.get to far", "store.get to other"]);
  const write = await near.store.transact({ expected: [], writes: [{ key: "a", value: 1 }] });
  expect(write.kind).not.toBe("done");
});
