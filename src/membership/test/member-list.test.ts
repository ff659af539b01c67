/**
 * The member list with restarted entries and store outages.
 * @packageDocumentation
 */
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createStoreMirror, type StoreMirror } from "../../store/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/store/index.js";
import { createLog } from "../../telemetry/index.js";
import { createMemberList, memberListPrefix, type MemberList } from "../index.js";

const opened: (StoreMirror | MemberList)[] = [];

function createParts() {
  const engine = createStoreEngine();
  const faults = createStoreFaults();
  const register = (incarnation: number): MemberList => {
    const store = new MemoryStoreClient(engine, faults);
    const options = { store, prefix: memberListPrefix, refreshMilliseconds: 1_000, retryMilliseconds: 100 };
    const mirror = createStoreMirror(options);
    const self = { entryId: "a", incarnation, peerAddress: "127.0.0.1:1", zone: "z" };
    const memberList = createMemberList(store, mirror, self, createLog("silent"));
    opened.push(mirror, memberList);
    return memberList;
  };
  return { faults, register };
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  for (const part of opened.splice(0)) {
    if ("abandon" in part) part.abandon();
    else part.close();
  }
  vi.useRealTimers();
});

test("a higher incarnation replaces a lower one, which never replaces it in turn", async () => {
  const { register } = createParts();
  const observer = register(1);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(observer.entries().map(({ incarnation }) => incarnation)).toEqual([1]);
  register(2);
  // The first process keeps renewing its own lease; the record has to stay bound to the second lease.
  await vi.advanceTimersByTimeAsync(60_000);
  register(1);
  await vi.advanceTimersByTimeAsync(5_000);
  expect(observer.entries().map(({ incarnation }) => incarnation)).toEqual([2]);
});

test("an entry whose lease expired during an outage registers again", async () => {
  const { faults, register } = createParts();
  const memberList = register(1);
  await vi.advanceTimersByTimeAsync(1_000);
  faults.mode = "down";
  await vi.advanceTimersByTimeAsync(30_000);
  faults.mode = "up";
  await vi.advanceTimersByTimeAsync(6_000);
  expect(memberList.entries()).toHaveLength(1);
});

test("a new entry uses the member list of peers until the store responds", async () => {
  const { faults, register } = createParts();
  faults.mode = "down";
  const memberList = register(1);
  memberList.learn([{ entryId: "b", incarnation: 1, peerAddress: "127.0.0.1:2", zone: "z" }]);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(memberList.entries().map(({ entryId }) => entryId)).toEqual(["b"]);
  faults.mode = "up";
  await vi.advanceTimersByTimeAsync(6_000);
  expect(memberList.entries().map(({ entryId }) => entryId)).toEqual(["a"]);
});
