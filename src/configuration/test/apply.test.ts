/**
 * Acceptance of configuration changes: races, lost store responses, repeated identifiers, history and roll-back.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { expect, test } from "vitest";
import type { ConditionalWrite, WriteResult } from "../../store/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/store/index.js";
import {
  applyChange,
  currentConfigurationKey,
  readHistory,
  readRevision,
  rollBack,
  type ConfigurationChange,
  type OperatorConfiguration,
} from "../index.js";

const example = JSON.parse(
  await readFile(new URL("../../../examples/agency/text.json", import.meta.url), "utf8"),
) as OperatorConfiguration;

function createStore() {
  const engine = createStoreEngine();
  const faults = createStoreFaults();
  return { engine, faults, store: new MemoryStoreClient(engine, faults) };
}

function change(changeId: string, baseRevision: number, minimumInstances = 6): ConfigurationChange {
  const configuration = structuredClone(example) as { pools: { minimumInstances: number }[] };
  configuration.pools = configuration.pools.map((pool) => ({ ...pool, minimumInstances }));
  return { changeId, author: "test", baseRevision, text: configuration };
}

test("of ten concurrent changes with the same base revision exactly one is accepted", async () => {
  const { store } = createStore();
  const results = await Promise.all(
    Array.from({ length: 10 }, async (_, index) => applyChange(store, change(`change-${index}`, 0))),
  );
  expect(results.filter((result) => result.isRight())).toHaveLength(1);
});

test("a change identifier is accepted once, even if it is repeated after later changes", async () => {
  const { store } = createStore();
  const first = await applyChange(store, change("one", 0));
  await applyChange(store, change("two", 1));
  await applyChange(store, change("three", 2));
  const repeated = await applyChange(store, change("one", 0));
  expect(repeated.unsafeCoerce().revision).toBe(first.unsafeCoerce().revision);
  const rebased = await applyChange(store, change("two", 3));
  expect(rebased.unsafeCoerce().revision).toBe(2);
  expect((await readRevision(store, 4)).unsafeCoerce()).toBeUndefined();
});

test("the same change sent through two entries at once succeeds on both with one revision", async () => {
  const { store } = createStore();
  await applyChange(store, change("one", 0));
  const results = await Promise.all([
    applyChange(store, change("two", 1)),
    applyChange(store, change("two", 1)),
  ]);
  expect(results.map((result) => result.unsafeCoerce().revision)).toEqual([2, 2]);
});

test("a change whose response was lost and which was then superseded is still reported as accepted", async () => {
  const { engine, faults, store } = createStore();
  await applyChange(store, change("one", 0));
  const other = new MemoryStoreClient(engine, createStoreFaults());
  class ReplacedClient extends MemoryStoreClient {
    override async compareAndSwap(write: ConditionalWrite): Promise<WriteResult> {
      const result = await super.compareAndSwap(write);
      if (write.key !== currentConfigurationKey) return result;
      expect((await applyChange(other, change("three", 2))).isRight()).toBe(true);
      return { kind: "unknown", failure: { kind: "timeout", message: "lost" } };
    }
  }
  const replaced = new ReplacedClient(engine, faults);
  const result = await applyChange(replaced, change("two", 1));
  expect(result.unsafeCoerce()).toMatchObject({ revision: 2, changeId: "two" });
});

test("a current record that does not match the schema is never replaced", async () => {
  const { store } = createStore();
  const unreadable = { key: currentConfigurationKey, value: { revision: "newer form" }, expectedRevision: 0 };
  await store.compareAndSwap(unreadable);
  const result = await applyChange(store, change("one", 0));
  expect(result.swap().unsafeCoerce().kind).toBe("not-done");
  expect((await store.get(currentConfigurationKey)).unsafeCoerce()?.value).toEqual(unreadable.value);
});

test("a conflict lists the paths that others changed since the base revision", async () => {
  const { store } = createStore();
  await applyChange(store, change("one", 0));
  await applyChange(store, change("two", 1, 5));
  const failure = (await applyChange(store, change("late", 1, 4))).swap().unsafeCoerce();
  expect(failure).toMatchObject({ kind: "conflict", current: { revision: 2 } });
  expect(failure.kind === "conflict" && failure.differences[0]).toEqual({
    path: "pools[quotes].minimumInstances",
    before: 6,
    after: 5,
  });
});

test("the history contains each accepted configuration, and a roll-back is a new revision", async () => {
  const { store } = createStore();
  for (let base = 0; base < 4; base += 1) await applyChange(store, change(`change-${base}`, base, base));
  const request = { changeId: "back", author: "test", baseRevision: 4, toRevision: 2 };
  const back = await rollBack(store, request);
  expect(back.unsafeCoerce()).toMatchObject({ revision: 5, changeId: "back" });
  expect(back.unsafeCoerce().text.pools[0]?.minimumInstances).toBe(1);
  const history = (await readHistory(store, 10)).unsafeCoerce();
  expect(history.map(({ revision, changeId }) => `${revision} ${changeId}`)).toEqual([
    "5 back",
    "4 change-3",
    "3 change-2",
    "2 change-1",
    "1 change-0",
  ]);
  const missing = await rollBack(store, { ...request, changeId: "none", baseRevision: 5, toRevision: 9 });
  expect(missing.swap().unsafeCoerce().kind).toBe("invalid");
});

test("the history contains every accepted change, whichever write of the store fails", async () => {
  for (let failingWrite = 0; failingWrite < 8; failingWrite += 1) {
    const { engine, faults, store } = createStore();
    let writes = 0;
    class FailingClient extends MemoryStoreClient {
      override async compareAndSwap(write: ConditionalWrite): Promise<WriteResult> {
        writes += 1;
        if (writes !== failingWrite) return super.compareAndSwap(write);
        return { kind: "not-done", failure: { kind: "unavailable", message: "cut" } };
      }
    }
    const accepted: string[] = [];
    for (let attempt = 0; attempt < 6; attempt += 1) {
      const client = attempt % 2 === 0 ? new FailingClient(engine, faults) : store;
      const base = (await readHistory(store, 1)).unsafeCoerce()[0]?.revision ?? 0;
      const result = await applyChange(client, change(`change-${attempt}`, base));
      result.ifRight(({ changeId }) => accepted.push(changeId));
    }
    const history = (await readHistory(store, 20)).unsafeCoerce().map(({ changeId }) => changeId);
    expect(history.toReversed()).toEqual(accepted);
  }
});
