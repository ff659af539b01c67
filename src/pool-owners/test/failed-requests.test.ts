/**
 * The diagnosis steps of docs/OPERATIONS.md, checked against the logs of owners that run over stand-ins: a job's
 * identifier leads to the cause of its failure.
 * @packageDocumentation
 */
import { afterEach, expect, test } from "vitest";
import type { TaskBehaviour } from "../../stand-ins/index.js";
import { readJobTimeline, type TimelineLine } from "../../telemetry/index.js";
import {
  createStep,
  startOwnerFixture,
  submission,
  waitFor,
  type OwnerFixture,
  type TestEntry,
} from "./owner-fixture.js";

let fixture: OwnerFixture;
afterEach(() => {
  fixture.close();
});

const behave =
  (changes: Partial<TaskBehaviour> = {}): ((task: string) => TaskBehaviour) =>
  () => ({
    needs: { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 },
    runMilliseconds: 50,
    isLasting: false,
    fails: false,
    ...changes,
  });

function timelineOf({ lines }: TestEntry, jobId: string): TimelineLine[] {
  return readJobTimeline(new Map([["entry.log", lines.join("\n")]]), jobId);
}

function find(timeline: readonly TimelineLine[], event: string): string[] {
  return timeline.filter((line) => line.event === event).map(({ text }) => text);
}

test("refused job: the log line of the refusal contains the load on which the decision was based", async () => {
  fixture = startOwnerFixture({ targetCount: 1, coresPerTarget: 1, behaviour: behave() });
  const entry = fixture.startEntry("a");
  const owner = await fixture.owner(entry);
  const outcome = await owner.submit(
    submission("refused", createStep({ taskCount: 500, estimateMilliseconds: 1_000 })),
  );
  expect(outcome.kind).toBe("refused");
  const [line] = find(timelineOf(entry, "refused"), "job-refused");
  expect(line).toMatch(
    /endMilliseconds=\S+ objectiveMilliseconds=\d+ backlogCoreSeconds=\d+ cores=\d+ busyCores=\d+/,
  );
});

test("late job: its timeline contains the unanswered start, the stop that settled it and the second start", async () => {
  fixture = startOwnerFixture({ targetCount: 1, coresPerTarget: 4, behaviour: behave() });
  const entry = fixture.startEntry("a");
  const owner = await fixture.owner(entry);
  await waitFor(() => entry.lines.some((line) => line.includes("target-session-opened")));
  fixture.fleet.setLate(5_000);
  await owner.submit(submission("late", createStep({ taskCount: 1 })));
  await waitFor(() =>
    find(timelineOf(entry, "late"), "start-order").some((line) => line.includes("result=unknown")),
  );
  fixture.fleet.setLate(undefined);
  await waitFor(() =>
    find(timelineOf(entry, "late"), "job-ended").some((line) => line.includes("state=complete")),
  );
  const events = timelineOf(entry, "late").map(({ event }) => event);
  const starts = find(timelineOf(entry, "late"), "start-order");
  expect(starts.length).toBeGreaterThan(1);
  expect(starts.find((line) => line.includes("result=unknown"))).toMatch(
    /waited=\d+ isAwaited=true answerMilliseconds=\d+ message=/,
  );
  expect(starts.find((line) => line.includes("result=done"))).toMatch(
    /isAwaited=\S+ answerMilliseconds=\d+$/,
  );
  expect(find(timelineOf(entry, "late"), "stop-order")[0]).toMatch(/result=\S+ answerMilliseconds=\d+/);
  expect(events).toContain("stop-order");
});

test("failed job: the log line of each failed attempt names the target", async () => {
  fixture = startOwnerFixture({ targetCount: 2, coresPerTarget: 4, behaviour: behave({ fails: true }) });
  const entry = fixture.startEntry("a");
  const owner = await fixture.owner(entry);
  await owner.submit(submission("failed", createStep({ taskCount: 1 })));
  await waitFor(() => find(timelineOf(entry, "failed"), "job-ended").length === 1);
  const failures = find(timelineOf(entry, "failed"), "run-ended");
  expect(failures).toHaveLength(2);
  expect(failures.every((line) => line.includes("kind=failed") && /target=presses-\d/.test(line))).toBe(true);
  expect(find(timelineOf(entry, "failed"), "job-ended")[0]).toContain("state=failed");
});
