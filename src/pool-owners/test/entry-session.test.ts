/**
 * An entry's lease when the wall clock and the monotonic clock disagree, as after a suspension of the machine.
 * @packageDocumentation
 */
import { afterEach, expect, test, vi } from "vitest";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/index.js";
import { createLog } from "../../telemetry/index.js";
import { openEntrySession, type EntrySession } from "../entry-session.js";
import { waitFor } from "./owner-fixture.js";

const leaseMilliseconds = 3_000;
const self = { entryId: "a", incarnation: 1, peerAddress: "127.0.0.1:1", zone: "zone" };

let close: () => Promise<void> = async () => Promise.resolve();
afterEach(async () => {
  vi.restoreAllMocks();
  await close();
});

async function startSession(): Promise<{
  session: EntrySession;
  faults: ReturnType<typeof createStoreFaults>;
  losses: string[];
}> {
  const engine = createStoreEngine();
  const faults = createStoreFaults();
  const store = new MemoryStoreClient(engine, faults);
  const session = openEntrySession({ store, self, log: createLog("silent"), leaseMilliseconds });
  const losses: string[] = [];
  session.events.on("lost", ({ reason }) => {
    losses.push(reason);
  });
  close = async () => {
    faults.mode = "up";
    await session.close();
    engine.close();
  };
  await waitFor(() => session.leaseId());
  return { session, faults, losses };
}

/** Advances the wall clock but not the monotonic clock. */
function advanceWallClock(milliseconds: number): void {
  const now = Date.now.bind(Date);
  vi.spyOn(Date, "now").mockImplementation(() => now() + milliseconds);
}

test("an entry that was suspended for longer than its lease does not use the lease after it resumes", async () => {
  const { session, faults } = await startSession();
  faults.mode = "down";
  advanceWallClock(10_000);
  expect(session.leaseId()).toBeUndefined();
});

test("an entry keeps its lease when the wall clock jumps, once the store has confirmed it", async () => {
  const { session, losses } = await startSession();
  const leaseId = session.leaseId();
  advanceWallClock(10_000);
  expect(session.leaseId()).toBeUndefined();
  const requestSentAt = performance.now();
  expect(await waitFor(() => session.leaseId())).toBe(leaseId);
  // The regular renewal would follow only after three quarters of a second.
  expect(performance.now() - requestSentAt).toBeLessThan(leaseMilliseconds / 8);
  expect(losses).toEqual([]);
});

test("an unconfirmed lease is not renewed in a busy loop while the store does not answer", async () => {
  const { session, faults } = await startSession();
  faults.mode = "down";
  advanceWallClock(10_000);
  const calls = vi.spyOn(MemoryStoreClient.prototype, "renewLease");
  const until = performance.now() + 500;
  while (performance.now() < until) {
    session.leaseId();
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  expect(calls.mock.calls.length).toBeGreaterThan(0);
  expect(calls.mock.calls.length).toBeLessThan(6);
});
