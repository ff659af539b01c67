/**
 * What callers are told about a job while it is not known whether its record is stored, because the store's answer to the
 * write was lost.
 * @packageDocumentation
 */
import { Left } from "purify-ts";
import { afterEach, expect, test } from "vitest";
import type { JobState } from "../../jobs/index.js";
import type { TransactionalStore } from "../../store/index.js";
import type { GatewayOutcome } from "../job-gateway.js";
import type { PoolOwner } from "../pool-owner.js";
import { connectGateways } from "./gateway-fixture.js";
import {
  createStep,
  pool,
  startOwnerFixture,
  submission,
  waitFor,
  type OwnerFixture,
} from "./owner-fixture.js";

let fixture: OwnerFixture;
afterEach(() => {
  fixture.close();
});

const jobKey = "jobs/job";
const failure = { kind: "timeout", message: "no answer" } as const;

/** The first write of the job's record is carried out, and its answer is lost: the call fails when `fail` is called. */
interface LostAnswer {
  isWritten: boolean;
  /** How many of the next reads of the record fail. */
  failingReads: number;
  fail: () => void;
}

function loseAnswer(store: TransactionalStore): LostAnswer {
  const lost: LostAnswer = { isWritten: false, failingReads: 0, fail: () => undefined };
  const called = new Promise<void>((resolve) => {
    lost.fail = resolve;
  });
  const transact = store.transact.bind(store);
  store.transact = async (transaction) => {
    const result = await transact(transaction);
    if (lost.isWritten || !transaction.writes.some(({ key }) => key === jobKey)) return result;
    lost.isWritten = true;
    await called;
    return { kind: "unknown", failure };
  };
  const get = store.get.bind(store);
  store.get = async (key) => {
    if (key !== jobKey || lost.failingReads === 0) return get(key);
    lost.failingReads -= 1;
    return Left(failure);
  };
  return lost;
}

interface SubmittedJob {
  readonly owner: PoolOwner;
  readonly lost: LostAnswer;
  readonly outcome: ReturnType<PoolOwner["submit"]>;
  crash: () => void;
}

/** Submits a job whose record is stored, but whose submission is not decided before `lost.fail` is called. */
async function submitUnsettled(): Promise<SubmittedJob> {
  const runMilliseconds = 5_000;
  const needs = { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 };
  const behaviour = () => ({ needs, runMilliseconds, isLasting: false, fails: false });
  fixture = startOwnerFixture({ targetCount: 2, coresPerTarget: 4, behaviour });
  const losses: LostAnswer[] = [];
  const entry = fixture.startEntry("a", (store) => {
    losses.push(loseAnswer(store));
    return store;
  });
  const owner = await fixture.owner(entry);
  const outcome = owner.submit(submission("job", createStep()));
  const lost = await waitFor(() => losses.find(({ isWritten }) => isWritten));
  return {
    owner,
    lost,
    outcome,
    crash: () => {
      entry.crash();
    },
  };
}

async function pass(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

// Guards against a job that runs after its cancellation was answered with "no such job".
test("a job that is cancelled while its record is unsettled never runs, and stays cancelled with the next owner", async () => {
  const { owner, lost, outcome, crash } = await submitUnsettled();
  const cancellation = owner.cancel("job");
  lost.fail();
  expect(await cancellation).toEqual({ kind: "cancelled" });
  expect(await outcome).toEqual({ kind: "accepted" });
  expect(owner.readState("job")).toEqual({ kind: "state", state: "cancelled" });
  crash();
  const next = await fixture.owner(fixture.startEntry("b"));
  expect(next.readState("job")).toEqual({ kind: "state", state: "cancelled" });
  await pass(300);
  expect(fixture.fleet.world.history).toEqual([]);
});

// Guards against "no such job" for a job whose record is stored.
test("a job whose record is unsettled is not reported as unknown, in its entry and through another one", async () => {
  const { owner, lost, outcome } = await submitUnsettled();
  const gateways = connectGateways(fixture, new Map([[pool, owner]]));
  const deadlineMilliseconds = 500;
  const requests: Promise<GatewayOutcome<JobState | "cancelled">>[] = [];
  for (const gateway of [gateways.local, gateways.remote])
    requests.push(gateway.readState(pool, "job", deadlineMilliseconds));
  const states = await Promise.all(requests);
  expect(states.map(({ kind }) => kind)).toEqual(["unavailable", "unavailable"]);
  lost.fail();
  await outcome;
  const known = await gateways.remote.readState(pool, "job", deadlineMilliseconds);
  expect(known.kind).toBe("found");
});

// Guards against a caller that waits beyond its time for an owner in the same process.
test("a cancellation that cannot be decided in time is answered as unavailable in time", async () => {
  const { owner, lost, outcome } = await submitUnsettled();
  const { local } = connectGateways(fixture, new Map([[pool, owner]]));
  const startedAt = performance.now();
  expect((await local.cancel(pool, "job", 600)).kind).toBe("unavailable");
  expect(performance.now() - startedAt).toBeLessThan(900);
  lost.fail();
  await outcome;
  // The caller did not get its answer, but its cancellation stands.
  await waitFor(() => {
    const outcomeNow = owner.readState("job");
    return outcomeNow.kind === "state" && outcomeNow.state === "cancelled";
  });
  expect(fixture.fleet.world.history).toEqual([]);
});

// Guards against a stored job that its owner does not hold: unknown to callers, until the next owner runs it.
test("an owner holds a job whose record it could not read back at first", async () => {
  const { owner, lost, outcome } = await submitUnsettled();
  lost.failingReads = 3;
  lost.fail();
  expect(await outcome).toEqual({ kind: "accepted" });
  expect(await owner.cancel("job")).toEqual({ kind: "cancelled" });
});

// Guards against "no such job" on the word of an owner that does not hold what the store has.
test("a stored job that its owner does not hold is not reported as unknown", async () => {
  const { lost, outcome } = await submitUnsettled();
  const ownerWithoutJobs = {
    cancel: async () => Promise.resolve({ kind: "not-known" }),
    readState: () => ({ kind: "not-known" }),
  } as unknown as PoolOwner;
  const { remote } = connectGateways(fixture, new Map([[pool, ownerWithoutJobs]]));
  expect((await remote.cancel(pool, "job", 500)).kind).toBe("unavailable");
  expect((await remote.readState(pool, "job", 500)).kind).toBe("unavailable");
  lost.fail();
  await outcome;
});
