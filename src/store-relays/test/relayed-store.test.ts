/**
 * Entries whose direct path to the store is lost, with one store in memory and no network between the entries.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createFixture, type TestEntry } from "./relay-fixture.js";

/** Makes the direct path fail for two calls, after which the entry calls the store through others. */
async function loseDirectPath({ store, faults }: TestEntry): Promise<void> {
  faults.mode = "refusing";
  await store.get("probe");
  await store.get("probe");
}

test("an entry without a direct path writes, reads, waits and keeps its lease through another", async () => {
  const fixture = createFixture();
  const near = fixture.start("near", ["far"]);
  fixture.start("far", []);
  await loseDirectPath(near);
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

test("a conflict and a deletion are relayed unchanged", async () => {
  const fixture = createFixture();
  const near = fixture.start("near", ["far"]);
  fixture.start("far", []);
  await near.store.transact({ expected: [], writes: [{ key: "a", value: 1 }] });
  await loseDirectPath(near);
  const stale = { key: "a", value: 2, expectedRevision: 0 };
  const conflict = await near.store.compareAndSwap(stale);
  expect(conflict).toMatchObject({ kind: "conflict", current: { key: "a", value: 1 } });
  await near.store.transact({ expected: [], writes: [{ key: "a", value: undefined }] });
  const found = (await near.store.changesAfter("a", 1, 0)).unsafeCoerce();
  expect(found?.changes.at(-1)?.value).toBeUndefined();
});

test("a relayed write without an answer is unknown, and is not sent again", async () => {
  const fixture = createFixture();
  const near = fixture.start("near", ["far", "other"]);
  fixture.start("far", []);
  fixture.start("other", []);
  await loseDirectPath(near);
  fixture.peers.silent.add("far");
  const before = fixture.peers.made.length;
  const result = await near.store.transact({ expected: [], writes: [{ key: "a", value: 1 }] });
  expect(result.kind).toBe("unknown");
  expect(fixture.peers.made.slice(before)).toEqual(["store.transact to far"]);
});

test("entries without a direct path do not relay calls; the next entry makes them", async () => {
  const fixture = createFixture();
  const near = fixture.start("near", ["cut", "gone", "far"]);
  const other = fixture.start("cut", ["near", "far"]);
  fixture.start("far", []);
  await loseDirectPath(other);
  await loseDirectPath(near);
  expect((await near.store.list("")).isRight()).toBe(true);
  const relayedTwice = fixture.peers.made.filter((call) => call === "store.list to near");
  expect(relayedTwice).toEqual([]);
});

test("a store that is down for all entries gets few relayed calls", async () => {
  const fixture = createFixture();
  const near = fixture.start("near", ["far", "other"]);
  for (const entry of [fixture.start("far", []), fixture.start("other", [])]) entry.faults.mode = "refusing";
  await loseDirectPath(near);
  for (let call = 0; call < 50; call += 1) await near.store.get("a");
  expect(fixture.peers.made).toEqual(["store.get to far", "store.get to other"]);
  const write = await near.store.transact({ expected: [], writes: [{ key: "a", value: 1 }] });
  expect(write.kind).not.toBe("done");
});
