/**
 * Takeovers of pools: the wait for targets that do not answer, and entries that cannot read a pool's jobs or have lost
 * their lease.
 * @packageDocumentation
 */
import { Left } from "purify-ts";
import { afterEach, expect, test } from "vitest";
import { jobPrefix } from "../../jobs/index.js";
import { delay } from "../../shared/index.js";
import type { TransactionalStore } from "../../store/index.js";
import { ownerPrefix } from "../owner-record.js";
import { formerLeaseMilliseconds } from "../owner-takeover.js";
import { pool, startOwnerFixture, waitFor, type OwnerFixture } from "./owner-fixture.js";

let fixture: OwnerFixture | undefined;
afterEach(() => {
  fixture?.close();
  fixture = undefined;
});

function startFixture(): OwnerFixture {
  const behaviour = () => ({
    needs: { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 },
    runMilliseconds: 50,
    isLasting: false,
    fails: false,
  });
  return startOwnerFixture({ targetCount: 1, coresPerTarget: 4, behaviour });
}

/** Replaces the function that lists a store's jobs. */
function overrideJobReads(store: TransactionalStore, read: TransactionalStore["list"]): TransactionalStore {
  const list = store.list.bind(store);
  store.list = async (prefix) => (prefix === jobPrefix ? read(prefix) : list(prefix));
  return store;
}

test("the wait covers the longest lease on the slowest clock, and is at most two seconds longer", () => {
  const runLease = 5_900;
  const longest = runLease / 0.98;
  expect(formerLeaseMilliseconds(runLease)).toBeGreaterThanOrEqual(longest);
  // Long-running tasks have to run again within seconds, which leaves no room for a longer wait.
  expect(formerLeaseMilliseconds(runLease)).toBeLessThan(longest + 2_000);
});

test("an entry that cannot read a pool's jobs leaves the pool to another entry", async () => {
  const found = startFixture();
  fixture = found;
  const failure = { kind: "timeout", message: "no answer in time" } as const;
  const unable = async () => Promise.resolve(Left(failure));
  const first = found.startEntry("a", (store) => overrideJobReads(store, unable));
  await waitFor(() => first.lines.some((line) => line.includes("home-load-failed")));
  const next = found.startEntry("b");
  expect(await found.owner(next)).toBeDefined();
  expect(first.ownershipManager.owner(pool)).toBeUndefined();
});

test("an entry whose lease ended while it read a pool's jobs takes the pool again", async () => {
  const found = startFixture();
  fixture = found;
  let resumeRead: () => void = () => undefined;
  const held = new Promise<void>((resolve) => {
    resumeRead = resolve;
  });
  const entry = found.startEntry("a", (store) => {
    const list = store.list.bind(store);
    return overrideJobReads(store, async (prefix) => {
      await held;
      return list(prefix);
    });
  });
  await waitFor(() => found.engine.range(`${ownerPrefix}${pool}`).length > 0);
  entry.faults.mode = "refusing";
  await waitFor(() => entry.lines.some((line) => line.includes("entry-session-lost")));
  entry.faults.mode = "up";
  resumeRead();
  expect(await found.owner(entry)).toBeDefined();
});

test("an entry revokes a lease that has expired by its own clock, which frees its pools for others", async () => {
  const found = startFixture();
  fixture = found;
  let isReadLate = false;
  const revoked: string[] = [];
  const entry = found.startEntry("a", (store) => {
    const renew = store.renewLease.bind(store);
    const revoke = store.revokeLease.bind(store);
    store.renewLease = async (leaseId) => {
      const renewed = await renew(leaseId);
      if (isReadLate) await delay(2_000);
      return renewed;
    };
    store.revokeLease = async (leaseId) => {
      revoked.push(leaseId);
      return revoke(leaseId);
    };
    return store;
  });
  await found.owner(entry);
  const leaseId = entry.session.leaseId();
  isReadLate = true;
  await waitFor(() => entry.lines.some((line) => line.includes("entry-session-lost")));
  await waitFor(() => revoked.length > 0);
  expect(revoked).toEqual([leaseId]);
});
