import { setMaxListeners } from "node:events";
import Emittery from "emittery";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { PlacementView, Target } from "../../pools/index.js";
import { createRandom, delay, rendezvousOwner } from "../../shared/index.js";
import { OwnerAllocator } from "../owner-allocator.js";
import type { SlotRequest, SlotGrant } from "../slot-allocator.js";
import { createPeerHub, type PeerHub } from "./peer-hub.js";
import { createTargets } from "./owner-fixture.js";

const slots = 8;
const entryIds = ["entry-1", "entry-2", "entry-3", "entry-4"];
const ownerId = rendezvousOwner("home/quotes", entryIds) ?? "";
const others = entryIds.filter((entryId) => entryId !== ownerId);
const [requester = "", otherRequester = ""] = others;

interface TestFleet {
  readonly hub: PeerHub;
  readonly allocators: ReadonlyMap<string, OwnerAllocator>;
  readonly targets: Target[];
  /** Number of slots in use on each target, counted by the target. */
  readonly inUse: Map<string, number>;
  /** Number of uses that started when all slots of the target were in use. */
  overSlots: number;
  readonly results: { readonly entryId: string; readonly kind: string; readonly at: number }[];
  readonly killed: Set<string>;
}

function createView(targets: Target[]): PlacementView {
  const serving = (pool: string): Target[] =>
    targets.filter((target) => target.pool === pool && target.state === "serving");
  return {
    events: new Emittery(),
    serving,
    members: serving,
    all: () => targets,
    find: (instanceId) => targets.find((target) => target.instanceId === instanceId),
    revision: () => 1,
  };
}

function createFleet(targetCount: number): TestFleet {
  const hub = createPeerHub();
  const targets = createTargets(targetCount);
  const networks = entryIds.map((entryId) => ({ entryId, peers: hub.join(entryId) }));
  const allocators = new Map(
    networks.map(({ entryId, peers }, index) => [
      entryId,
      new OwnerAllocator({
        entryId,
        zone: "zone-1",
        view: createView(targets),
        peers,
        random: createRandom(index + 1),
        maximumQueued: 10_000,
        slotsPerTarget: () => slots,
        quota: () => 1,
        declaredMilliseconds: () => 100,
      }),
    ]),
  );
  return { hub, allocators, targets, inUse: new Map(), overSlots: 0, results: [], killed: new Set() };
}

function createSlotRequest(timeoutMilliseconds: number): SlotRequest {
  return {
    requestId: "r",
    pool: "quotes",
    service: "quotes",
    operation: "quote",
    team: "plants",
    urgency: "normal",
    deadlineAt: Date.now() + timeoutMilliseconds,
    excludedInstances: [],
  };
}

async function useSlot(
  fleet: TestFleet,
  entryId: string,
  grant: SlotGrant,
  runMilliseconds: number,
): Promise<void> {
  const { instanceId } = grant.target;
  const count = (fleet.inUse.get(instanceId) ?? 0) + 1;
  fleet.inUse.set(instanceId, count);
  if (count > slots) fleet.overSlots += 1;
  await delay(runMilliseconds);
  fleet.inUse.set(instanceId, (fleet.inUse.get(instanceId) ?? 0) - 1);
  if (!fleet.killed.has(entryId)) {
    fleet.allocators.get(entryId)?.release(grant, { verdict: "ok", runMilliseconds });
  }
}

async function requestAndUseSlot(
  fleet: TestFleet,
  entryId: string,
  { timeoutMilliseconds = 5_000, runMilliseconds = 100, signal = new AbortController().signal } = {},
): Promise<void> {
  const result = await fleet.allocators.get(entryId)?.acquire(createSlotRequest(timeoutMilliseconds), signal);
  if (fleet.killed.has(entryId) || result === undefined) return;
  const kind = result.caseOf<string>({ Left: ({ reason }) => reason, Right: () => "granted" });
  fleet.results.push({ entryId, kind, at: Date.now() });
  if (result.isRight()) await useSlot(fleet, entryId, result.unsafeCoerce(), runMilliseconds);
}

/** Sends requests to random entries at `factor` times the rate that the targets can serve. */
async function sendLoad(fleet: TestFleet, milliseconds: number, factor: number): Promise<void> {
  const requestsPerTick = (fleet.targets.length * slots * factor * 10) / 100;
  const random = createRandom(7);
  let dueRequests = 0;
  for (let passed = 0; passed < milliseconds; passed += 10) {
    for (dueRequests += requestsPerTick; dueRequests >= 1; dueRequests -= 1) {
      const entryId = entryIds[random.integer(0, entryIds.length - 1)] ?? "";
      if (!fleet.killed.has(entryId))
        void requestAndUseSlot(fleet, entryId, {
          timeoutMilliseconds: 800,
          runMilliseconds: random.integer(50, 150),
        });
    }
    await vi.advanceTimersByTimeAsync(10);
  }
}

function countEnded(fleet: TestFleet, kind: string, since = 0, entryId?: string): number {
  return fleet.results.filter(
    (each) => each.kind === kind && each.at >= since && (entryId === undefined || each.entryId === entryId),
  ).length;
}

describe("OwnerAllocator", () => {
  let fleet: TestFleet;

  beforeEach(async () => {
    vi.useFakeTimers({ now: 1_000_000 });
    fleet = createFleet(2);
    await vi.advanceTimersByTimeAsync(1_000);
  });

  afterEach(() => {
    for (const allocator of fleet.allocators.values()) allocator.close();
    vi.useRealTimers();
  });

  it("never exceeds a target's slots across all entries and keeps the slots in use under overload", async () => {
    await sendLoad(fleet, 5_000, 3);
    expect(fleet.overSlots).toBe(0);
    // 16 slots of 100 ms give 800 runs in 5 s.
    expect(countEnded(fleet, "granted")).toBeGreaterThan(750);
    await vi.advanceTimersByTimeAsync(10_000);
    expect([...fleet.inUse.values()].every((count) => count === 0)).toBe(true);
  });

  it("resumes granting within 1 s after the owner was killed, then uses all slots", async () => {
    await sendLoad(fleet, 1_000, 1.5);
    const killedAt = Date.now();
    fleet.hub.kill(ownerId);
    fleet.killed.add(ownerId);
    fleet.allocators.get(ownerId)?.close();
    await sendLoad(fleet, 1_000, 1.5);
    expect(countEnded(fleet, "granted", killedAt)).toBeGreaterThan(50);
    const laterAt = Date.now();
    await sendLoad(fleet, 3_000, 3);
    expect(countEnded(fleet, "granted", laterAt)).toBeGreaterThan(430);
    // The killed entry's requests were still running when its slots were granted again.
    expect(fleet.overSlots).toBeLessThanOrEqual(slots * fleet.targets.length);
  });

  it("does not exceed the slots while the owner is partitioned from all others and after it reconnects", async () => {
    await sendLoad(fleet, 1_000, 2);
    for (const entryId of others) fleet.hub.cut(ownerId, entryId, true);
    const cutAt = Date.now();
    await sendLoad(fleet, 8_000, 2);
    expect(fleet.overSlots).toBe(0);
    expect(countEnded(fleet, "granted", cutAt + 6_500, ownerId)).toBeGreaterThan(0);
    expect(countEnded(fleet, "granted", cutAt + 6_500, requester)).toBeGreaterThan(0);
    for (const entryId of others) fleet.hub.cut(ownerId, entryId, false);
    await sendLoad(fleet, 3_000, 2);
    const reconnectedAt = Date.now();
    await sendLoad(fleet, 3_000, 2);
    expect(fleet.overSlots).toBe(0);
    expect(countEnded(fleet, "granted", reconnectedAt)).toBeGreaterThan(430);
  });

  it("an entry that cannot reach only the owner uses its own share, without exceeding the slots", async () => {
    await sendLoad(fleet, 1_000, 2);
    fleet.hub.cut(ownerId, requester, true);
    const cutAt = Date.now();
    await sendLoad(fleet, 12_000, 2);
    expect(fleet.overSlots).toBe(0);
    expect(countEnded(fleet, "granted", cutAt + 8_000, requester)).toBeGreaterThan(0);
    expect(countEnded(fleet, "granted", cutAt + 8_000, otherRequester)).toBeGreaterThan(0);
    fleet.hub.cut(ownerId, requester, false);
    await sendLoad(fleet, 5_000, 2);
    const reconnectedAt = Date.now();
    await sendLoad(fleet, 2_000, 2);
    expect(fleet.overSlots).toBe(0);
    expect(countEnded(fleet, "granted", reconnectedAt)).toBeGreaterThan(280);
  });

  it("frees slots whose grant or release replies were lost", async () => {
    fleet.hub.loseReplies(40);
    await sendLoad(fleet, 2_000, 1.5);
    await vi.advanceTimersByTimeAsync(8_000);
    const idleAt = Date.now();
    for (let index = 0; index < slots * 2; index += 1) void requestAndUseSlot(fleet, requester);
    await vi.advanceTimersByTimeAsync(90);
    expect(countEnded(fleet, "granted", idleAt)).toBe(slots * 2);
    expect(fleet.overSlots).toBe(0);
  });

  it("refuses 3,000 cancelled requests immediately and removes them from the queue", async () => {
    for (let index = 0; index < slots * 2; index += 1)
      void requestAndUseSlot(fleet, requester, { runMilliseconds: 2_000 });
    await vi.advanceTimersByTimeAsync(20);
    const cancellation = new AbortController();
    setMaxListeners(0, cancellation.signal);
    const options = { timeoutMilliseconds: 600_000, signal: cancellation.signal };
    for (let index = 0; index < 3_000; index += 1) void requestAndUseSlot(fleet, requester, options);
    await vi.advanceTimersByTimeAsync(20);
    cancellation.abort();
    await vi.advanceTimersByTimeAsync(0);
    expect(countEnded(fleet, "cancelled")).toBe(3_000);
    await vi.advanceTimersByTimeAsync(2_500);
    void requestAndUseSlot(fleet, otherRequester, { timeoutMilliseconds: 300 });
    await vi.advanceTimersByTimeAsync(50);
    expect(countEnded(fleet, "granted", 0, otherRequester)).toBe(1);
  });

  it("after a pause of the process, grants nothing until the other entries have reported their slots again", async () => {
    vi.setSystemTime(Date.now() + 2_000);
    const pausedAt = Date.now();
    void requestAndUseSlot(fleet, ownerId);
    void requestAndUseSlot(fleet, requester);
    await vi.advanceTimersByTimeAsync(5);
    expect(countEnded(fleet, "granted", pausedAt)).toBe(0);
    await vi.advanceTimersByTimeAsync(300);
    expect(countEnded(fleet, "granted", pausedAt)).toBe(2);
  });

  it("refuses a request at its deadline when no owner can be reached", async () => {
    for (const entryId of entryIds) fleet.hub.cut(entryId, requester, true);
    const requestSentAt = Date.now();
    void requestAndUseSlot(fleet, requester, { timeoutMilliseconds: 400 });
    await vi.advanceTimersByTimeAsync(410);
    expect(fleet.results).toEqual([{ entryId: requester, kind: "deadline-passed", at: requestSentAt + 400 }]);
  });
});
