/**
 * `EtcdStoreClient` over HTTP against the store stand-in.
 * @packageDocumentation
 */
import { afterEach, expect, test, vi } from "vitest";
import { startStoreStandIn, type StoreStandIn } from "../../stand-ins/store/index.js";
import { EtcdStoreClient, type StoreChange } from "../index.js";

let standIn: StoreStandIn;
let client: EtcdStoreClient;

async function start(): Promise<void> {
  standIn = await startStoreStandIn();
  client = new EtcdStoreClient({ address: standIn.address, timeoutMilliseconds: 500 });
}

afterEach(async () => {
  await client.close();
  await standIn.close();
});

test("compare-and-swap writes a key, conflicts on a stale revision, and deletes the key", async () => {
  await start();
  const written = await client.compareAndSwap({ key: "a/1", value: { n: 1 }, expectedRevision: 0 });
  expect(written).toMatchObject({ kind: "done", revision: 2 });
  const stale = await client.compareAndSwap({ key: "a/1", value: { n: 2 }, expectedRevision: 1 });
  expect(stale).toMatchObject({ kind: "conflict", current: { value: { n: 1 }, revision: 2 } });
  const deleted = await client.compareAndSwap({ key: "a/1", value: undefined, expectedRevision: 2 });
  expect(deleted).toMatchObject({ kind: "done" });
  expect((await client.get("a/1")).unsafeCoerce()).toBeUndefined();
});

test("a lost response gives unknown, a refused connection gives not-done", async () => {
  await start();
  standIn.faults.loseAnswers = 1;
  const write = { key: "a/1", value: 1, expectedRevision: 0 };
  expect(await client.compareAndSwap(write)).toMatchObject({ kind: "unknown" });
  expect((await client.get("a/1")).unsafeCoerce()?.value).toBe(1);
  await standIn.close();
  expect(await client.compareAndSwap(write)).toMatchObject({ kind: "not-done" });
});

test("a watch reports changes and deletions, and reports a failure when the store goes down", async () => {
  await start();
  const changes: StoreChange[] = [];
  const onBroken = vi.fn();
  client.watch("a/", 1, { onChange: (change) => changes.push(change), onBroken });
  await client.compareAndSwap({ key: "a/1", value: 1, expectedRevision: 0 });
  await client.compareAndSwap({ key: "a/1", value: undefined, expectedRevision: 2 });
  await vi.waitFor(() => {
    expect(changes.map(({ value, revision }) => [value, revision])).toEqual([
      [1, 2],
      [undefined, 3],
    ]);
  });
  standIn.faults.mode = "down";
  standIn.engine.write({ key: "a/2", value: "2", expectedRevision: 0, leaseId: undefined });
  await vi.waitFor(() => {
    expect(onBroken).toHaveBeenCalledOnce();
  });
});
