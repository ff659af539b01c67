/**
 * Store calls and waits of claims at several request rates, against one store write for each key.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { build, type Histogram } from "hdr-histogram-js";
import { createClaimOwner, createRetentionLease, digestParts } from "../execution/index.js";
import { delay } from "../shared/index.js";
import {
  createStoreEngine,
  createStoreFaults,
  MemoryStoreClient,
  type StoreEngine,
} from "../stand-ins/store/index.js";
import type { Figure, Measure } from "./measure.js";

const ratesPerSecond = [100, 1_000, 10_000];
const seconds = 4;
const tickMilliseconds = 10;
const storeDelayMilliseconds = 5;
const shards = 16;
const commitMilliseconds = 100;
const retentionMilliseconds = 3_600_000;
const millisecondsPerSecond = 1_000;
const microsecondsPerMillisecond = 1_000;
const perRequests = 1_000;

interface ClaimRun {
  readonly requests: number;
  readonly storeCalls: number;
  readonly writesPerSecond: number;
  readonly waits: Histogram;
  readonly confirmed: number;
  readonly storedBytes: number;
}

type Record = (key: string) => Promise<boolean>;

/** Measures claims with one owner for all shards. */
export const claimsMeasure: Measure = {
  name: "claims",
  description: "store calls per 1,000 claimed requests, and the wait for a claim",
  run: async () => {
    const figures: Figure[] = [];
    for (const rate of ratesPerSecond) {
      const grouped = await runAtRate(rate, createGrouped);
      const single = await runAtRate(rate, createSingle);
      figures.push(...describe(rate, grouped, single));
    }
    return figures;
  },
};

function createGrouped(engine: StoreEngine): Record {
  const store = createStore(engine);
  const owner = createClaimOwner({
    store,
    shards,
    writerId: "measure",
    lease: createRetentionLease(store, retentionMilliseconds, Date.now),
    commitMilliseconds,
    retentionMilliseconds,
    now: Date.now,
    memory: { answerBytes: 0, largestAnswerBytes: 0, claims: 100_000 },
    isUp: () => true,
  });
  return async (key) => {
    const deadlineAt = Date.now() + 60_000;
    const digest = digestParts([key]);
    const claimRequest = {
      key: digest,
      claimId: randomUUID(),
      fingerprint: digest,
      entryId: "measure",
      deadlineAt,
    };
    const isGranted = (await owner.take(claimRequest)).kind === "granted";
    if (isGranted) owner.settle({ key: digest, claimId: claimRequest.claimId, state: "finished" });
    return isGranted;
  };
}

/** The naive way: each key is created in the store by a write of its own. */
function createSingle(engine: StoreEngine): Record {
  const store = createStore(engine);
  return async (key) => {
    const result = await store.compareAndSwap({ key: `single/${key}`, value: key, expectedRevision: 0 });
    return result.kind === "done";
  };
}

function createStore(engine: StoreEngine): MemoryStoreClient {
  const faults = createStoreFaults();
  faults.delayMilliseconds = storeDelayMilliseconds;
  return new MemoryStoreClient(engine, faults);
}

async function runAtRate(rate: number, create: (engine: StoreEngine) => Record): Promise<ClaimRun> {
  const engine = createStoreEngine();
  const record = create(engine);
  const waits = build({ numberOfSignificantValueDigits: 3 });
  const pending: Promise<boolean>[] = [];
  const startedAt = performance.now();
  const total = rate * seconds;

  const recordTimed = async (key: string): Promise<boolean> => {
    const requestSentAt = performance.now();
    const confirmed = await record(key);
    waits.recordValue(Math.round((performance.now() - requestSentAt) * microsecondsPerMillisecond));
    return confirmed;
  };
  while (pending.length < total) {
    const due = Math.floor(((performance.now() - startedAt) * rate) / millisecondsPerSecond);
    while (pending.length < Math.min(due, total)) pending.push(recordTimed(`key-${pending.length}`));
    await delay(tickMilliseconds);
  }
  const results = await Promise.all(pending);
  const elapsed = (performance.now() - startedAt) / millisecondsPerSecond;
  const { reads, writes, leases } = engine.counts;
  const records = engine.range("", "\uffff");
  const storedBytes = records.reduce((sum, { key, value }) => sum + key.length + value.length, 0);
  engine.close();
  return {
    requests: total,
    storeCalls: reads + writes + leases,
    writesPerSecond: writes / elapsed,
    waits,
    confirmed: results.filter(Boolean).length,
    storedBytes,
  };
}

function describe(rate: number, grouped: ClaimRun, single: ClaimRun): Figure[] {
  const calls = (run: ClaimRun): number => (run.storeCalls * perRequests) / run.requests;
  const wait = (run: ClaimRun, percentile: number): number =>
    run.waits.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
  const name = (text: string): string => `${text} at ${rate} requests/s`;
  return [
    {
      name: name("store calls per 1,000 requests"),
      value: calls(grouped),
      unit: "calls",
      baseline: calls(single),
    },
    {
      name: name("store writes"),
      value: grouped.writesPerSecond,
      unit: "writes/s",
      baseline: single.writesPerSecond,
      target: `at most ${(shards * millisecondsPerSecond) / commitMilliseconds}`,
    },
    { name: name("wait for a claim p50"), value: wait(grouped, 50), unit: "ms", baseline: wait(single, 50) },
    { name: name("wait for a claim p99"), value: wait(grouped, 99), unit: "ms", baseline: wait(single, 99) },
    {
      name: name("stored for a claim"),
      value: grouped.storedBytes / grouped.requests,
      unit: "bytes",
      baseline: single.storedBytes / single.requests,
    },
    { name: name("confirmed"), value: grouped.confirmed / grouped.requests, unit: "share", target: "1" },
  ];
}
