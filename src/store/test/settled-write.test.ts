/**
 * `writeAndSettle` reports an outcome after a lost response only if the store's content proves it.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/store/index.js";
import { writeAndSettle, type ConditionalWrite, type StoreClient, type WriteResult } from "../index.js";

type Interference = (store: StoreClient, result: WriteResult) => Promise<unknown>;

/** A client that loses the response of its first write and runs `interfere` before the key is read back. */
class LossyClient extends MemoryStoreClient {
  interfere: Interference | undefined;
  reachesStore = true;

  override async compareAndSwap(write: ConditionalWrite): Promise<WriteResult> {
    const { interfere } = this;
    if (interfere === undefined) return super.compareAndSwap(write);
    this.interfere = undefined;
    const result = this.reachesStore ? await super.compareAndSwap(write) : undefined;
    if (result !== undefined) await interfere(this, result);
    return { kind: "unknown", failure: { kind: "timeout", message: "lost" } };
  }
}

function createClient(interfere: Interference): LossyClient {
  const client = new LossyClient(createStoreEngine(), createStoreFaults());
  client.interfere = interfere;
  return client;
}

const isOwn = (value: unknown): boolean => value === "own";
const nothing: Interference = async () => Promise.resolve();

test("a write whose own value is read back is done", async () => {
  const client = createClient(nothing);
  const write = { key: "a", value: "own", expectedRevision: 0 };
  expect(await writeAndSettle(client, write, isOwn)).toMatchObject({ kind: "done", revision: 2 });
});

test("a write stays unknown while the key is unchanged, since it may still arrive", async () => {
  const client = createClient(nothing);
  client.reachesStore = false;
  const write = { key: "a", value: "own", expectedRevision: 0 };
  expect(await writeAndSettle(client, write, isOwn)).toMatchObject({ kind: "unknown" });
});

test("a write that was replaced after it took effect is a conflict only if the new value proves it", async () => {
  const replace: Interference = async (store, result) =>
    store.compareAndSwap({
      key: "a",
      value: "other",
      expectedRevision: result.kind === "done" ? result.revision : 0,
    });
  const write = { key: "a", value: "own", expectedRevision: 0 };
  expect(await writeAndSettle(createClient(replace), write, isOwn)).toMatchObject({ kind: "unknown" });
  const provesAbsence = (value: unknown): boolean => value === "other";
  expect(await writeAndSettle(createClient(replace), write, isOwn, provesAbsence)).toMatchObject({
    kind: "conflict",
  });
});

test("a deletion is done when the key is absent", async () => {
  const client = createClient(nothing);
  client.interfere = undefined;
  await client.compareAndSwap({ key: "a", value: "own", expectedRevision: 0 });
  client.interfere = nothing;
  const write = { key: "a", value: undefined, expectedRevision: 2 };
  expect(await writeAndSettle(client, write, isOwn)).toMatchObject({ kind: "done" });
});
