/**
 * Retries of requests, and the outcomes reported to their callers.
 * @packageDocumentation
 */
import { ROOT_CONTEXT } from "@opentelemetry/api";
import { Left, Right } from "purify-ts";
import { describe, expect, test } from "vitest";
import type { ExchangeResult } from "../../forwarding/index.js";
import type { SlotAllocator, SlotUse } from "../../routing/index.js";
import { createMetrics, createTracing } from "../../telemetry/index.js";
import {
  createExecutor,
  type CallerRequest,
  type ClaimAnswer,
  type ClaimSettlement,
  type Executor,
} from "../index.js";

const neverAborted = new AbortController().signal;
const ok: ExchangeResult = {
  kind: "answered",
  answer: { status: 200, headers: {}, body: Buffer.from("ok") },
};
const fault: ExchangeResult = {
  kind: "answered",
  answer: { status: 500, headers: {}, body: Buffer.from("no") },
};
const cut: ExchangeResult = { kind: "unknown", reason: "cut" };
const timeout: ExchangeResult = { kind: "unknown", reason: "timeout" };
const busy: ExchangeResult = { kind: "not-started", reason: "refused-by-target" };

interface ExecutorFixture {
  readonly executor: Executor;
  readonly sentTo: string[];
  readonly verdicts: SlotUse["verdict"][];
  readonly settlements: ClaimSettlement[];
}

/** Creates an executor whose exchanges return the given results in order, then successful answers. */
function createFixture(
  results: ExchangeResult[],
  targets = 5,
  claim: ClaimAnswer = { kind: "granted" },
): ExecutorFixture {
  const sentTo: string[] = [];
  const verdicts: SlotUse["verdict"][] = [];
  const settlements: ClaimSettlement[] = [];
  let next = 0;
  const allocator: SlotAllocator = {
    acquire: async (slotRequest) => {
      await Promise.resolve();
      const all = Array.from({ length: targets }, (_, index) => `target-${((next + index) % targets) + 1}`);
      const instanceId = all.find((each) => !slotRequest.excludedInstances.includes(each));
      next += 1;
      if (instanceId === undefined) return Left({ reason: "no-target", retryAfterMilliseconds: 1_000 });
      const place = {
        pool: "pool",
        zone: "zone-1",
        rack: "rack-1",
        state: "serving" as const,
        since: 0,
        recentChanges: [],
      };
      return Right({ grantId: "1", target: { instanceId, address: instanceId, ...place } });
    },
    release: (_grant, { verdict }) => {
      verdicts.push(verdict);
    },
    inProgress: () => 0,
    close: () => undefined,
  };
  const exchange = {
    send: async (address: string): Promise<ExchangeResult> => {
      sentTo.push(address);
      return Promise.resolve(results.shift() ?? ok);
    },
    close: async () => Promise.resolve(),
  };
  const claims = {
    entryId: "entry-1",
    take: async () => Promise.resolve(claim),
    settle: async (settlement: ClaimSettlement) => {
      settlements.push(settlement);
      return Promise.resolve();
    },
    flush: async () => Promise.resolve(),
  };
  const executor = createExecutor({
    allocator,
    exchange,
    claims,
    metrics: createMetrics(),
    tracing: createTracing(undefined),
  });
  return { executor, sentTo, verdicts, settlements };
}

function createRequest(idempotent: boolean, overrides: Partial<CallerRequest> = {}): CallerRequest {
  const operation = { name: "run", idempotent, expectedMilliseconds: 10 };
  return {
    service: {
      name: "service",
      pool: "pool",
      dependsOn: [],
      availability: { objective: 0.999, windowSeconds: 3_600 },
      deadlineMilliseconds: 1_000,
      operations: [operation],
    },
    operation,
    team: "default",
    urgency: "normal",
    deadlineAt: Date.now() + 5_000,
    idempotencyKey: undefined,
    target: { requestId: "request-1", method: "POST", path: "/", headers: {}, body: Buffer.from("job") },
    trace: ROOT_CONTEXT,
    ...overrides,
  };
}

describe("attempts", () => {
  test.each([
    ["nothing ran", false, [busy, ok], "answered", 2],
    ["cut, not idempotent", false, [cut, ok], "unknown", 1],
    ["cut, idempotent", true, [cut, ok], "answered", 2],
    ["failed, not idempotent", false, [fault, ok], "failed", 1],
    ["failed, idempotent", true, [fault, ok], "answered", 2],
    ["timed out, idempotent", true, [timeout, ok], "unknown", 1],
    ["refused after a possible run", true, [cut, busy, busy], "unknown", 3],
    ["refused after a failed run", true, [fault, busy, busy], "failed", 3],
    ["refused by every target", false, [busy, busy, busy], "refused", 3],
  ] as const)("%s", async (_name, idempotent, results, kind, sent) => {
    const fixture = createFixture([...results]);
    expect((await fixture.executor.run(createRequest(idempotent), neverAborted)).kind).toBe(kind);
    expect(fixture.sentTo).toHaveLength(sent);
    expect(new Set(fixture.sentTo).size).toBe(sent);
  });

  test("a request that may have run is unknown when no other target is left", async () => {
    const fixture = createFixture([cut], 1);
    expect(await fixture.executor.run(createRequest(true), neverAborted)).toMatchObject({
      kind: "unknown",
      reason: "cut",
    });
  });

  test("nothing is sent after the deadline or a cancellation", async () => {
    const fixture = createFixture([]);
    const late = await fixture.executor.run(
      createRequest(true, { deadlineAt: Date.now() - 1 }),
      neverAborted,
    );
    expect(late).toMatchObject({ kind: "refused", reason: "deadline-passed" });
    const cancelled = await fixture.executor.run(createRequest(true), AbortSignal.abort());
    expect(cancelled).toMatchObject({ kind: "refused", reason: "cancelled" });
    expect(fixture.sentTo).toEqual([]);
    expect(fixture.verdicts).toEqual(["neutral", "neutral"]);
  });

  test("retries stay within a tenth of the first attempts", async () => {
    const requests = 500;
    const initialTokens = 10;
    const fixture = createFixture(Array.from({ length: 3 * requests }, () => busy));
    for (let index = 0; index < requests; index += 1)
      await fixture.executor.run(createRequest(true), neverAborted);
    expect(fixture.sentTo.length - requests).toBeGreaterThan(0);
    expect(fixture.sentTo.length - requests).toBeLessThanOrEqual(initialTokens + requests / 10);
  });
});

describe("jobs that fail on every target", () => {
  test("a job that failed on two healthy targets is refused, and the second failure is no target fault", async () => {
    const fixture = createFixture([fault, fault, fault]);
    expect((await fixture.executor.run(createRequest(true), neverAborted)).kind).toBe("failed");
    const sent = fixture.sentTo.length;
    expect(fixture.verdicts.slice(0, 2)).toEqual(["target-fault", "neutral"]);
    const again = await fixture.executor.run(createRequest(true), neverAborted);
    expect(again).toMatchObject({ kind: "refused", reason: "job-fails" });
    expect(fixture.sentTo).toHaveLength(sent);
  });

  test("failures on a target that fails every job do not get the jobs refused", async () => {
    const fixture = createFixture(
      Array.from({ length: 40 }, () => fault),
      1,
    );
    for (let index = 0; index < 20; index += 1) {
      const body = Buffer.from(`job ${index % 5}`);
      const target = { ...createRequest(true).target, body };
      expect((await fixture.executor.run(createRequest(true, { target }), neverAborted)).kind).toBe("failed");
    }
    expect(new Set(fixture.verdicts)).toEqual(new Set(["target-fault"]));
  });
});

describe("claims", () => {
  const keyed = createRequest(false, { idempotencyKey: "key" });
  test.each([
    [{ kind: "already-running" }, "unknown", "already-running"],
    [{ kind: "already-run" }, "unknown", "already-run"],
    [{ kind: "unknown" }, "unknown", "earlier-run-unknown"],
    [{ kind: "key-reused" }, "refused", "key-reused"],
    [{ kind: "unavailable" }, "refused", "claims-unavailable"],
  ] as const)("nothing is sent without a granted claim: %o", async (claim, kind, reason) => {
    const fixture = createFixture([], 5, claim);
    expect(await fixture.executor.run(keyed, neverAborted)).toMatchObject({ kind, reason });
    expect(fixture.sentTo).toEqual([]);
    expect(fixture.settlements).toEqual([]);
  });

  test.each([
    ["finished", [ok]],
    ["finished", [fault]],
    ["released", [busy, busy, busy]],
    ["unknown", [busy, cut]],
  ] as const)("a claim is settled as %s", async (state, results) => {
    const fixture = createFixture([...results]);
    await fixture.executor.run(createRequest(false, { idempotencyKey: "key" }), neverAborted);
    expect(fixture.settlements).toMatchObject([{ claimId: "request-1", state }]);
  });
});
