/**
 * What the logs of two owners tell of a task that the second one started again: what it knew of the target of the first start, and
 * why the task could start.
 * @packageDocumentation
 */
import { afterEach, expect, test } from "vitest";
import type { JobTarget } from "../../stand-ins/index.js";
import type { TransactionalStore } from "../../store/index.js";
import { createLog, parseLogLine, readJobTimeline } from "../../telemetry/index.js";
import { mostLinesAtOnce } from "../bounded-lines.js";
import type { JournalResult, OwnerJournal } from "../journal-writes.js";
import { decodeTakeoverState, takeoverStatePrefix, type TakeoverState } from "../owner-record.js";
import { RecordTrace } from "../record-trace.js";
import { TakeoverTrace } from "../takeover-trace.js";
import { TargetRecords } from "../target-records.js";
import { createStep, pool, startOwnerFixture, submission, waitFor } from "./owner-fixture.js";
import type { OwnerFixture, TestEntry } from "./owner-fixture.js";
import { createTestState, createTestTarget, storedJournal } from "./state-fixture.js";

let fixture: OwnerFixture | undefined;
afterEach(() => {
  fixture?.close();
  fixture = undefined;
});

const task = "long.0.0.0";

type Fields = Partial<Record<string, string>>;
type Targets = TakeoverState["targets"];

function readLines(lines: readonly string[], event: string): Fields[] {
  const fields = lines.map((line): Fields => Object.fromEntries(parseLogLine(line)));
  return fields.filter((each) => each.event === event);
}

function findStart({ lines }: TestEntry): Fields | undefined {
  return readLines(lines, "start-order").find((line) => line.task === task);
}

/** Starts an entry and a job with one task that runs for long, and waits until the start is logged. */
async function startTask(): Promise<{ entry: TestEntry; target: JobTarget; found: OwnerFixture }> {
  const found = startOwnerFixture({
    targetCount: 2,
    coresPerTarget: 4,
    longestLeaseMilliseconds: 3_000,
    behaviour: () => ({
      needs: { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 },
      runMilliseconds: 20_000,
      isLasting: false,
      fails: false,
    }),
  });
  fixture = found;
  const entry = found.startEntry("a");
  const owner = await found.owner(entry);
  await owner.submit(submission("long", createStep({ taskCount: 1, estimateMilliseconds: 20_000 })));
  const start = await waitFor(() => findStart(entry));
  const target = found.fleet.targets.get(start.target ?? "");
  if (target === undefined) throw new Error("the run's target does not exist");
  return { entry, target, found };
}

/** Changes the targets that an entry reads in the takeover state. */
function changeRead(
  store: TransactionalStore,
  change: (targets: Targets) => Record<string, unknown>,
): TransactionalStore {
  const get = store.get.bind(store);
  store.get = async (key) => {
    const read = await get(key);
    if (!key.startsWith(takeoverStatePrefix)) return read;
    return read.map((record) => {
      if (record === undefined) return record;
      const state = decodeTakeoverState(record.value, record.revision);
      return { ...record, value: { ...state, targets: change(state.targets) } };
    });
  };
  return store;
}

const waitEnds = new Set(["inherited-target-known", "target-runs-released"]);

interface Finding {
  readonly cause: "missing" | "unused" | "awaited";
  /** How the next owner's wait for the target ended; undefined when it did not wait. */
  readonly wait?: string | undefined;
}

/**
 * Follows docs/OPERATIONS.md, "A second start by the next owner", on what `trace` prints of the logs of two entries: why the second
 * one started a task of the first one again.
 */
function judge(former: readonly string[], next: readonly string[]): Finding {
  const logs = new Map([
    ["former.log", former.join("\n")],
    ["next.log", next.join("\n")],
  ]);
  const timeline = readJobTimeline(logs, "long");
  const starts = timeline.filter(({ event, fields }) => event === "start-order" && fields.task === task);
  const [first, second] = starts.map(({ fields }) => fields);
  const known = timeline.filter(
    ({ source, fields }) => source === "next.log" && fields.target === first?.target,
  );
  const inherited = known.find(({ event }) => event === "target-inherited")?.fields;
  if (inherited === undefined) return { cause: "missing" };
  if (Number(inherited.unusedSince ?? Infinity) < Number(second?.jobRevision)) return { cause: "unused" };
  const end = known.find(({ event }) => waitEnds.has(event));
  return { cause: "awaited", wait: end?.fields.reason ?? end?.event };
}

test("the lines tell of a second start that its target was missing from the takeover state", async () => {
  const { entry, target, found } = await startTask();
  const { targetId } = target.describe();
  target.isSilent = true;
  entry.crash();
  const next = found.startEntry("b", (store) =>
    changeRead(store, (targets) =>
      Object.fromEntries(Object.entries(targets).filter(([each]) => each !== targetId)),
    ),
  );
  const second = await waitFor(() => findStart(next));
  expect(judge(entry.lines, next.lines)).toEqual({ cause: "missing" });
  expect(second).toMatchObject({ startBasis: "none-awaited", awaitedTargets: "0" });
  expect(second.awaitedRevision).toBeUndefined();
  expect(next.metrics.value("former_job_starts_total", { pool, basis: "none-awaited" })).toBe(1);
  const opened = readLines(next.lines, "target-session-opened");
  expect(opened.find((line) => line.target === targetId)).toMatchObject({
    isInherited: "false",
    isAwaited: "false",
  });
  expect(opened.find((line) => line.target === second.target)).toMatchObject({ isInherited: "true" });
  expect(readLines(next.lines, "home-taken")[0]).toMatchObject({ inheritedTargets: "1" });
  expect(next.metrics.value("targets_inherited_total", { pool, use: "used" })).toBe(1);
});

test("the lines tell of a second start that its target was recorded as unused before the job", async () => {
  const { entry, target, found } = await startTask();
  const { targetId } = target.describe();
  target.isSilent = true;
  entry.crash();
  const next = found.startEntry("b", (store) =>
    changeRead(store, (targets) => ({ ...targets, [targetId]: { ...targets[targetId], unusedSince: 1 } })),
  );
  const second = await waitFor(() => findStart(next));
  expect(judge(entry.lines, next.lines)).toEqual({ cause: "unused" });
  expect(second.startBasis).toBe("accepted-later");
  expect(Number(second.awaitedRevision)).toBeLessThan(Number(second.jobRevision));
});

test("the lines tell of a second start that the wait for its target ended, and by what", async () => {
  const { entry, target, found } = await startTask();
  const { targetId, startedAtUnix } = target.describe();
  entry.crash();
  target.restart();
  const next = found.startEntry("b");
  const second = await waitFor(() => findStart(next));
  expect(judge(entry.lines, next.lines)).toEqual({ cause: "awaited", wait: "inherited-target-known" });
  expect(second).toMatchObject({ startBasis: "none-awaited", awaitedTargets: "0" });
  const inherited = readLines(next.lines, "target-inherited").find((line) => line.target === targetId);
  expect(inherited).toMatchObject({ process: String(startedAtUnix), leaseBasis: "earlier-owner-longest" });
  expect(Number(inherited?.waitMilliseconds)).toBeGreaterThan(3_000);
  const known = readLines(next.lines, "inherited-target-known").find((line) => line.target === targetId);
  expect(Number(known?.process)).toBeGreaterThan(startedAtUnix);
}, 15_000);

test("the lines tell of a second start that the lease on its target had ended", async () => {
  const { entry, target, found } = await startTask();
  target.isSilent = true;
  entry.crash();
  const next = found.startEntry("b");
  await waitFor(() => findStart(next));
  expect(judge(entry.lines, next.lines)).toEqual({ cause: "awaited", wait: "lease-lapsed" });
}, 15_000);

test("an owner logs what it has stored of each target, with the revision that the next owner names", async () => {
  const { entry, target, found } = await startTask();
  const { targetId, startedAtUnix } = target.describe();
  const changes = readLines(entry.lines, "target-record-changed").filter((line) => line.target === targetId);
  expect(changes).toHaveLength(1);
  expect(changes[0]).toMatchObject({ change: "listed", process: String(startedAtUnix) });
  entry.crash();
  const next = found.startEntry("b");
  await found.owner(next);
  const [taken] = readLines(next.lines, "home-taken");
  const last = readLines(entry.lines, "target-record-changed").at(-1);
  expect(taken?.stateRevision).toBe(last?.revision);
});

/** A state with captured log lines, and a journal whose writes are settled by the test. */
function createSettledState(): {
  lines: string[];
  settles: ((result: JournalResult) => void)[];
  state: ReturnType<typeof createTestState>;
} {
  const lines: string[] = [];
  const settles: ((result: JournalResult) => void)[] = [];
  const journal: OwnerJournal = {
    ...storedJournal,
    write: () => ({
      result: new Promise<JournalResult>((settle) => settles.push(settle)),
      withdraw: () => undefined,
    }),
    storedRevision: () => 7,
  };
  const log = createLog("info", (line) => lines.push(line));
  return { lines, settles, state: createTestState({ log, journal }) };
}

async function settle(settles: ((result: JournalResult) => void)[]): Promise<void> {
  for (const each of settles.splice(0)) each("stored");
  await new Promise((resolve) => setImmediate(resolve));
}

test("a record is logged once for each change, and not for a write that another one has replaced", async () => {
  const { lines, settles, state } = createSettledState();
  const records = new TargetRecords(state, 1);
  const target = createTestTarget(state);
  state.targets.set("target", target);
  records.write("now");
  await settle(settles);
  records.write("now");
  await settle(settles);
  // Settled together: only the last of the two writes is stored.
  target.unusedSince = 3;
  records.write("now");
  target.unusedSince = undefined;
  records.write("now");
  await settle(settles);
  target.unusedSince = 5;
  records.write("now");
  await settle(settles);
  state.targets.delete("target");
  records.settle("target", "lease-lapsed");
  records.write("soon");
  await settle(settles);
  const changes = readLines(lines, "target-record-changed");
  expect(changes.map(({ change, unusedSince, reason }) => [change, unusedSince, reason])).toEqual([
    ["listed", undefined, undefined],
    ["unused", "5", undefined],
    ["unlisted", undefined, "lease-lapsed"],
  ]);
  expect(changes[0]).toMatchObject({ pool, target: "target", process: "1", revision: "7" });
});

test("the lines of a takeover and of a stored record are limited, and tell how many are left out", async () => {
  const { lines, state } = createSettledState();
  const count = mostLinesAtOnce + 37;
  const ids = Array.from({ length: count }, (_unused, index) => `target-${index}`);
  const inUse = { address: "127.0.0.1:1", startedAtUnix: 1 };
  const targets: Targets = Object.fromEntries(ids.map((each) => [each, inUse]));
  targets.unused = { ...inUse, unusedSince: 2 };
  new TakeoverTrace(state).report({ homes: 1, targets }, performance.now());
  new RecordTrace(state).noteStored(targets);
  await new Promise((resolve) => setImmediate(resolve));
  for (const event of ["target-inherited", "target-record-changed"]) {
    const written = readLines(lines, event);
    expect(written).toHaveLength(mostLinesAtOnce + 1);
    expect(written.at(-1)).toMatchObject({ leftOut: "38" });
  }
  expect(readLines(lines, "target-inherited")[0]).toMatchObject({ target: "unused", unusedSince: "2" });
});
