import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createSlotRequest, createOwnerFixture, type OwnerFixture } from "./owner-fixture.js";

const okUse = { verdict: "ok", runMilliseconds: 100 } as const;
const faultUse = { verdict: "target-fault", runMilliseconds: 1 } as const;

function submitRequests(fixture: OwnerFixture, count: number): void {
  for (let index = 0; index < count; index += 1)
    fixture.granter.submit(createSlotRequest(fixture, `fill-${index}`));
}

function releaseGrant(fixture: OwnerFixture, index = 0): void {
  fixture.granter.release(fixture.grants[index]?.grantId ?? "", okUse);
}

describe("SlotGranter", () => {
  it("grants urgent requests first, then those of teams within their quota, then by deadline", () => {
    const fixture = createOwnerFixture(1);
    for (let index = 0; index < 4; index += 1) {
      fixture.granter.submit(createSlotRequest(fixture, `small-${index}`, { team: "small" }));
    }
    submitRequests(fixture, 4);
    const { now } = fixture.clock;
    fixture.granter.submit(
      createSlotRequest(fixture, "over-quota", { team: "small", deadlineAt: now + 4_000 }),
    );
    fixture.granter.submit(createSlotRequest(fixture, "late", { deadlineAt: now + 5_500 }));
    fixture.granter.submit(createSlotRequest(fixture, "early", { deadlineAt: now + 4_500 }));
    fixture.granter.submit(
      createSlotRequest(fixture, "urgent", { urgency: "urgent", deadlineAt: now + 9_000 }),
    );
    for (let index = 4; index < 8; index += 1) releaseGrant(fixture, index);
    expect(fixture.grants.slice(8).map(({ slotRequest }) => slotRequest.askId)).toEqual([
      "urgent",
      "early",
      "late",
      "over-quota",
    ]);
  });

  it("immediately refuses requests that cannot start in time and spreads their retries over the time the queue needs", () => {
    const fixture = createOwnerFixture(1);
    submitRequests(fixture, 2_000);
    const delays = fixture.refusals.map(({ refusal }) => refusal.retryAfterMilliseconds);
    expect(fixture.refusals.every(({ refusal }) => refusal.reason === "overloaded")).toBe(true);
    // 8 slots with runs of about 117 ms start 68 requests per second.
    expect(fixture.granter.queuedCount()).toBeGreaterThan(250);
    expect(fixture.granter.queuedCount()).toBeLessThan(400);
    const busiestSecond = Math.max(
      ...Array.from({ length: 50 }, (_, second) => {
        const start = second * 1_000;
        return delays.filter((delay) => delay >= start && delay < start + 1_000).length;
      }),
    );
    expect(Math.min(...delays)).toBeGreaterThan(3_000);
    expect(busiestSecond).toBeLessThan(120);
  });

  it("estimates waiting times by all slots of the pool while all are withheld, as during a takeover", () => {
    const fixture = createOwnerFixture(2);
    fixture.withheld.set("target-1", 8).set("target-2", 8);
    submitRequests(fixture, 100);
    expect(fixture.refusals).toEqual([]);
    expect(fixture.granter.queuedCount()).toBe(100);
    fixture.withheld.clear();
    fixture.granter.grantFreeSlots();
    expect(fixture.grants).toHaveLength(16);
  });

  it("prefers measured run times to declared ones", () => {
    const fixture = createOwnerFixture(1, 1, 10_000);
    submitRequests(fixture, 8);
    for (let index = 0; index < 8; index += 1) releaseGrant(fixture, index);
    for (let index = 8; index < 200; index += 1) {
      fixture.granter.submit(createSlotRequest(fixture, `again-${index}`));
      fixture.granter.release(fixture.grants[index]?.grantId ?? "", { verdict: "ok", runMilliseconds: 20 });
    }
    submitRequests(fixture, 200);
    expect(fixture.refusals).toEqual([]);
  });

  it("removes thousands of cancelled requests from the queue", () => {
    const fixture = createOwnerFixture(2, 1, 1);
    submitRequests(fixture, 16);
    for (let index = 0; index < 5_000; index += 1) {
      fixture.granter.submit(
        createSlotRequest(fixture, `wave-${index}`, { deadlineAt: fixture.clock.now + 60_000 + index }),
      );
    }
    expect(fixture.granter.queuedCount()).toBe(5_000);
    for (let index = 0; index < 5_000; index += 1) fixture.granter.cancel(`wave-${index}`);
    expect(fixture.granter.queuedCount()).toBe(0);
    releaseGrant(fixture);
    expect(fixture.grants).toHaveLength(16);
  });

  it("ejects a target that fails fast and restores it after successful probes", () => {
    const fixture = createOwnerFixture(4);
    let failing = true;
    const runRequests = (count: number): number => {
      let onBad = 0;
      for (let index = 0; index < count; index += 1) {
        fixture.granter.submit(createSlotRequest(fixture, `run-${fixture.grants.length}`));
        const { grantId, target } = fixture.grants.at(-1) ??
          fixture.grants[0] ?? { grantId: "", target: undefined };
        const isBad = target?.instanceId === "target-1";
        if (isBad) onBad += 1;
        fixture.granter.release(grantId, isBad && failing ? faultUse : okUse);
      }
      return onBad;
    };
    expect(runRequests(400)).toBeLessThan(12);
    fixture.clock.now += 2_100;
    expect(runRequests(100)).toBe(1);
    failing = false;
    fixture.clock.now += 4_100;
    expect(runRequests(200)).toBeGreaterThan(20);
  });

  it("ejects a target that fails fast before each of the other targets has had many uses", () => {
    const fixture = createOwnerFixture(4);
    submitRequests(fixture, 32);
    const grantsOn = (instanceId: string): string[] =>
      fixture.grants.filter(({ target }) => target.instanceId === instanceId).map(({ grantId }) => grantId);
    for (const grantId of [...grantsOn("target-3").slice(0, 3), ...grantsOn("target-4").slice(0, 3)]) {
      fixture.granter.release(grantId, okUse);
    }
    for (const grantId of grantsOn("target-1")) fixture.granter.release(grantId, faultUse);
    const before = fixture.grants.length;
    submitRequests(fixture, 12);
    const given = fixture.grants.slice(before).map(({ target }) => target.instanceId);
    expect(given).not.toContain("target-1");
  });

  it("ejects no target when the whole pool fails, and at most a third of a pool and half of a rack", () => {
    const fixture = createOwnerFixture(8);
    const runOnAllTargets = (isBad: (instanceId: string) => boolean): Set<string> => {
      const before = fixture.grants.length;
      for (let index = 0; index < 64 * 12; index += 1) {
        const zone = `zone-${(index % 2) + 1}`;
        fixture.granter.submit(createSlotRequest(fixture, `run-${fixture.grants.length}`, { zone }));
        const grant = fixture.grants.at(-1);
        if (grant !== undefined) {
          fixture.granter.release(grant.grantId, isBad(grant.target.instanceId) ? faultUse : okUse);
        }
      }
      return new Set(fixture.grants.slice(before + 64 * 8).map(({ target }) => target.instanceId));
    };
    expect(runOnAllTargets(() => true).size).toBe(8);
    const other = createOwnerFixture(8);
    Object.assign(fixture, other);
    // Five of eight targets fail: at most two may be ejected.
    expect(runOnAllTargets((instanceId) => Number(instanceId.slice(-1)) <= 5).size).toBeGreaterThanOrEqual(6);
  });

  it("prefers the availability zone of the requesting entry among equally free targets", () => {
    const fixture = createOwnerFixture(4);
    fixture.granter.submit(createSlotRequest(fixture, "near", { zone: "zone-2" }));
    expect(fixture.grants[0]?.target.zone).toBe("zone-2");
  });
});

/** Compares the ledger with a count made from the grants and releases alone. */
function checkAgainstReference(fixture: OwnerFixture, released: ReadonlySet<string>): void {
  const inUse = new Map<string, number>();
  for (const { grantId, target } of fixture.grants) {
    if (!released.has(grantId)) inUse.set(target.instanceId, (inUse.get(target.instanceId) ?? 0) + 1);
  }
  for (const { instanceId } of fixture.targets) {
    const count = inUse.get(instanceId) ?? 0;
    expect(fixture.granter.ledger.countOnInstance(instanceId)).toBe(count);
    expect(count).toBeLessThanOrEqual(8);
  }
}

const actionArbitrary = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("ask" as const),
      timeoutMilliseconds: fc.integer({ min: 1, max: 3_000 }),
      excluded: fc.integer({ min: 0, max: 3 }),
      urgent: fc.boolean(),
      entry: fc.integer({ min: 1, max: 3 }),
    }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant("release" as const), pick: fc.nat() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("cancel" as const), pick: fc.nat() }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("advance" as const),
      milliseconds: fc.integer({ min: 1, max: 500 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("gone" as const), entry: fc.integer({ min: 1, max: 3 }) }),
  },
);

describe("SlotGranter under random interleavings", () => {
  it("keeps slots in use from 0 to 8, ends each request once and refuses no request while a usable slot is free", () => {
    const runs = fc.property(fc.array(actionArbitrary, { minLength: 50, maxLength: 300 }), (actions) => {
      const fixture = createOwnerFixture(3);
      const { granter: owner, grants, refusals, clock } = fixture;
      const released = new Set<string>();
      const submitted: string[] = [];
      const entryOf = new Map<string, string>();
      const cancelled = new Set<string>();
      const hasEnded = (askId: string): boolean =>
        [...grants, ...refusals].some(({ slotRequest }) => slotRequest.askId === askId);
      for (const action of actions) {
        if (action.kind === "ask") {
          const excludedInstances = fixture.targets
            .slice(0, action.excluded)
            .map(({ instanceId }) => instanceId);
          const usable = fixture.targets.slice(action.excluded);
          const freeBefore = usable.some(({ instanceId }) => owner.ledger.countOnInstance(instanceId) < 8);
          const askId = `ask-${submitted.length}`;
          submitted.push(askId);
          entryOf.set(askId, `entry-${action.entry}`);
          const refusedBefore = refusals.length;
          owner.submit(
            createSlotRequest(fixture, askId, {
              deadlineAt: clock.now + action.timeoutMilliseconds,
              excludedInstances,
              urgency: action.urgent ? "urgent" : "normal",
              entryId: `entry-${action.entry}`,
            }),
          );
          if (freeBefore)
            expect(refusals.slice(refusedBefore).map(({ slotRequest }) => slotRequest.askId)).not.toContain(
              askId,
            );
        } else if (action.kind === "release") {
          const grantId = grants[action.pick % Math.max(1, grants.length)]?.grantId;
          if (grantId !== undefined) released.add(grantId);
          if (grantId !== undefined) owner.release(grantId, okUse);
        } else if (action.kind === "cancel") {
          const askId = submitted[action.pick % Math.max(1, submitted.length)];
          if (askId !== undefined && !hasEnded(askId)) cancelled.add(askId);
          if (askId !== undefined) owner.cancel(askId);
        } else if (action.kind === "advance") {
          clock.now += action.milliseconds;
          owner.grantFreeSlots();
        } else {
          const entryId = `entry-${action.entry}`;
          for (const { slotRequest, grantId } of grants)
            if (slotRequest.entryId === entryId) released.add(grantId);
          for (const askId of submitted) {
            if (entryOf.get(askId) === entryId && !hasEnded(askId)) cancelled.add(askId);
          }
          owner.releaseEntry(entryId);
        }
        checkAgainstReference(fixture, released);
      }
      clock.now += 10_000;
      owner.grantFreeSlots();
      const ended = [...grants, ...refusals].map(({ slotRequest }) => slotRequest.askId);
      expect(new Set(ended).size).toBe(ended.length);
      expect([...ended, ...cancelled].sort()).toEqual([...submitted].sort());
    });
    fc.assert(runs, { seed: 4, numRuns: 150 });
  });
});
