/**
 * Compares random interleavings of claims, crashes, lost answers and ownership changes with a reference model.
 * @packageDocumentation
 */
import fc from "fast-check";
import { expect, test } from "vitest";
import { delay } from "../../shared/index.js";
import type { ClaimAnswer } from "../index.js";
import { createCluster, type ClaimCluster, type ClusterEntry } from "./claim-cluster.js";

const entryCount = 3;
const keyCount = 5;
const caseCount = 250;
const seed = 20_261_203;
const neverAborted = new AbortController().signal;

const entryIndex = fc.nat(entryCount - 1);
const action = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant("ask" as const),
      entry: entryIndex,
      key: fc.nat(keyCount - 1),
      end: fc.constantFrom("finished" as const, "released" as const, "unknown" as const),
      runMilliseconds: fc.nat(3),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("replace" as const), entry: entryIndex }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("hide" as const), entry: entryIndex, peer: entryIndex }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant("isolate" as const), entry: entryIndex }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("show" as const), entry: entryIndex }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("lose-answer" as const), entry: entryIndex }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("late-write" as const), entry: entryIndex }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("lose-reply" as const), entry: entryIndex }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("store" as const),
      entry: entryIndex,
      slow: fc.nat(6),
      up: fc.boolean(),
    }),
  },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant("wait" as const), milliseconds: fc.nat(4) }) },
);
type Action = typeof action extends fc.Arbitrary<infer Value> ? Value : never;

/** Reference model: runs and answers of the requests with each key. */
interface Reference {
  readonly runs: Map<string, string[]>;
  readonly finished: Map<string, string>;
  readonly answers: { readonly key: string; readonly answer: ClaimAnswer; readonly hasRun: boolean }[];
}

function isAlive({ alive }: ClusterEntry): boolean {
  return alive;
}

async function takeClaim(
  cluster: ClaimCluster,
  reference: Reference,
  step: Extract<Action, { kind: "ask" }>,
  claimId: string,
): Promise<void> {
  const entry = cluster.entries[step.entry];
  if (entry === undefined) return;
  const key = `key-${step.key}`;
  const { entryId } = entry;
  const request = { key, claimId, fingerprint: "same", entryId, deadlineAt: Date.now() + 5_000 };
  const answer = await entry.claims.take(request, neverAborted);
  reference.answers.push({ key, answer, hasRun: (reference.runs.get(key) ?? []).length > 0 });
  if (answer.kind !== "granted" || !isAlive(entry)) return;
  if (step.end !== "released") reference.runs.set(key, [...(reference.runs.get(key) ?? []), claimId]);
  await delay(step.runMilliseconds);
  // A crash during the run loses the report of its end.
  if (!isAlive(entry)) return;
  if (step.end === "finished") reference.finished.set(key, claimId);
  const held = { status: 200, headers: {}, body: Buffer.from(claimId) };
  await entry.claims.settle({
    key,
    claimId,
    state: step.end,
    ...(step.end === "finished" ? { answer: held } : {}),
  });
}

function applyFault(cluster: ClaimCluster, step: Exclude<Action, { kind: "ask" | "wait" }>): void {
  const entry = cluster.entries[step.entry];
  if (entry === undefined) return;
  switch (step.kind) {
    case "replace":
      cluster.replace(step.entry);
      break;
    case "hide":
      entry.unreachablePeers.add(`entry-${step.peer + 1}`);
      break;
    case "isolate":
      for (const { entryId } of cluster.entries) entry.unreachablePeers.add(entryId);
      break;
    case "show":
      entry.unreachablePeers.clear();
      break;
    case "lose-answer":
      entry.faults.loseAnswers += 1;
      break;
    case "late-write":
      entry.store.lateWrites += 1;
      break;
    case "lose-reply":
      entry.loseReplies += 1;
      break;
    case "store":
      entry.faults.mode = step.up ? "up" : "down";
      entry.faults.delayMilliseconds = step.slow;
  }
}

async function runActions(actions: readonly Action[]): Promise<Reference> {
  const cluster = createCluster(entryCount);
  const reference: Reference = { runs: new Map(), finished: new Map(), answers: [] };
  const claimRequests: Promise<void>[] = [];
  for (const [index, step] of actions.entries()) {
    if (step.kind === "ask") claimRequests.push(takeClaim(cluster, reference, step, `claim-${index}`));
    else if (step.kind === "wait") await delay(step.milliseconds);
    else applyFault(cluster, step);
  }
  await Promise.all(claimRequests);
  cluster.engine.close();
  return reference;
}

function checkReference({ runs, finished, answers }: Reference): void {
  for (const [key, claimIds] of runs) expect(claimIds, `runs of ${key}`).toHaveLength(1);
  for (const { key, answer, hasRun } of answers) {
    if (answer.kind === "finished")
      expect(Buffer.from(answer.answer.body).toString()).toBe(finished.get(key));
    if (answer.kind === "already-run") expect(hasRun).toBe(true);
    expect(answer.kind).not.toBe("key-reused");
  }
}

test("no interleaving of faults runs a key twice or returns another request's answer", async () => {
  const granted = { count: 0, total: 0 };
  await fc.assert(
    fc.asyncProperty(fc.array(action, { minLength: 5, maxLength: 50 }), async (actions) => {
      const reference = await runActions(actions);
      checkReference(reference);
      granted.total += reference.answers.length;
      granted.count += reference.answers.filter(({ answer }) => answer.kind === "granted").length;
    }),
    { numRuns: caseCount, seed },
  );
  // Guards against an implementation that passes because it refuses every claim.
  expect(granted.count).toBeGreaterThan(granted.total / 20);
});
