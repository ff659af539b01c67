/**
 * The timeline of one job, merged from the logs of processes whose clocks differ.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import fc from "fast-check";
import { createLog, parseLogLine, readJobTimeline, type LogFields } from "../index.js";

const job = "5c0e7a21d94b36f8";
const task = `${job}.0.0.1`;

/** Creates the log of one process; each line is one second later than the previous one. */
function writeLog(startSecond: number, ...events: readonly (readonly [string, LogFields])[]): string {
  return events
    .map(([event, fields], index) => {
      const time = new Date((startSecond + index) * 1_000).toISOString();
      const pairs = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
      return [`time=${time}`, "level=info", `event=${event}`, ...pairs].join(" ");
    })
    .join("\n");
}

function readTimelineEvents(logs: Readonly<Record<string, string>>): string[] {
  return readJobTimeline(new Map(Object.entries(logs)), job).map(({ event, source, fields }) =>
    [event, fields.run ?? "", source].join(" ").replace("  ", " "),
  );
}

test("effects follow their causes even if the clock of the new owner is an hour behind", () => {
  const timeline = readTimelineEvents({
    gateway: writeLog(10, ["job-submitted", { job, outcome: "accepted" }]),
    next: writeLog(
      0,
      ["run-adopted", { task, run: 1 }],
      ["run-vanished", { task, run: 1 }],
      ["start-order", { task, run: 65 }],
      ["run-ended", { task, run: 65, kind: "succeeded" }],
      ["job-ended", { job, state: "complete" }],
    ),
    first: writeLog(3_600, ["job-accepted", { job }], ["start-order", { task, run: 1 }]),
  });
  expect(timeline).toEqual([
    "job-accepted first",
    "job-submitted gateway",
    "start-order 1 first",
    "run-adopted 1 next",
    "run-vanished 1 next",
    "start-order 65 next",
    "run-ended 65 next",
    "job-ended next",
  ]);
});

test("the response to the caller directly follows the owner's decision even if the gateway's clock is ahead", () => {
  const timeline = readTimelineEvents({
    owner: writeLog(
      0,
      ["job-accepted", { job }],
      ["start-order", { task, run: 1 }],
      ["run-ended", { task, run: 1 }],
      ["job-ended", { job }],
    ),
    gateway: writeLog(9_000, ["job-submitted", { job, outcome: "accepted" }]),
  });
  expect(timeline.slice(0, 2)).toEqual(["job-accepted owner", "job-submitted gateway"]);
});

test("the end of a job follows the ends of its runs that a former owner logged", () => {
  const timeline = readTimelineEvents({
    next: writeLog(0, ["job-ended", { job, state: "complete" }]),
    first: writeLog(
      100,
      ["job-accepted", { job }],
      ["start-order", { task, run: 1 }],
      ["run-ended", { task, run: 1, kind: "succeeded" }],
    ),
  });
  expect(timeline.at(-1)).toBe("job-ended next");
});

test("the response to each refused submission follows its refusal", () => {
  const timeline = readTimelineEvents({
    gateway: writeLog(
      0,
      ["job-submitted", { job, outcome: "refused" }],
      ["job-submitted", { job, outcome: "refused" }],
      ["job-submitted", { job, outcome: "accepted" }],
    ),
    owner: writeLog(50, ["job-refused", { job }], ["job-refused", { job }], ["job-accepted", { job }]),
  });
  expect(timeline).toEqual([
    "job-refused owner",
    "job-submitted gateway",
    "job-refused owner",
    "job-submitted gateway",
    "job-accepted owner",
    "job-submitted gateway",
  ]);
});

test("lines of other jobs are left out, even if their identifier starts with that of the job", () => {
  const timeline = readTimelineEvents({
    owner: writeLog(
      0,
      ["start-order", { task: `${job}0.0.0.1`, run: 1 }],
      ["job-accepted", { job: `${job}0` }],
      ["job-accepted", { job }],
      ["peer-state", { peer: job, state: "up" }],
    ),
  });
  expect(timeline).toEqual(["job-accepted owner"]);
});

test("lines that depend on each other in a cycle are all listed, each once", () => {
  const timeline = readTimelineEvents({
    first: writeLog(0, ["run-ended", { task, run: 1 }], ["start-order", { task, run: 2 }]),
    second: writeLog(1, ["run-ended", { task, run: 2 }], ["start-order", { task, run: 1 }]),
  });
  expect([...timeline].sort()).toEqual([
    "run-ended 1 first",
    "run-ended 2 second",
    "start-order 1 second",
    "start-order 2 first",
  ]);
});

test("parseLogLine reads back any value that a log writes", () => {
  fc.assert(
    fc.property(
      fc.dictionary(fc.stringMatching(/^x[A-Za-z]{0,8}$/), fc.string({ unit: "binary" })),
      (fields) => {
        let line = "";
        const log = createLog("info", (text) => {
          line = text;
        });

        log.write("info", "something", fields);
        const read = parseLogLine(line);
        expect(Object.fromEntries([...read].slice(3))).toEqual({ ...fields });
        expect(line).not.toContain("\n");
      },
    ),
  );
});

test("a start that follows a dropped run is preceded by the release of that run's target", () => {
  const timeline = readTimelineEvents({
    owner: writeLog(
      0,
      ["start-order", { task, run: 1 }],
      ["target-runs-released", { target: "other", reason: "lease-lapsed" }],
      ["target-runs-released", { target: "first", reason: "lease-lapsed" }],
      ["start-order", { task, run: 2, afterRun: 1, afterTarget: "first" }],
    ),
  });
  expect(timeline).toEqual(["start-order 1 owner", "target-runs-released owner", "start-order 2 owner"]);
});

test("a start by a later owner is preceded by what it knew of the target of the first start, and by what was stored of it", () => {
  const pool = "pool-1";
  const about = { pool, target: "first" };
  const timeline = readTimelineEvents({
    former: writeLog(
      0,
      ["target-record-changed", { ...about, change: "listed" }],
      ["target-record-changed", { pool, target: "other", change: "listed" }],
      ["start-order", { task, run: 1, target: "first" }],
      ["target-record-changed", { ...about, change: "unlisted" }],
      ["entry-session-opened", { leaseId: 2 }],
      ["target-record-changed", { ...about, change: "listed" }],
    ),
    next: writeLog(
      10,
      ["target-session-opened", { ...about, isInherited: true }],
      ["target-inherited", about],
      ["home-taken", { pool, inheritedTargets: 2 }],
      ["home-lost", { pool }],
      ["target-session-opened", { pool, target: "other", isInherited: true }],
      ["target-inherited", { pool, target: "other" }],
      ["home-taken", { pool: "pool-2" }],
      ["home-taken", { pool, inheritedTargets: 1 }],
      ["target-session-opened", { ...about, isInherited: false }],
      ["start-order", { task, run: 65, target: "other", startBasis: "none-awaited" }],
      ["target-record-changed", { ...about, change: "listed" }],
      ["run-ended", { task, run: 65, target: "other" }],
    ),
  });
  expect(timeline).toEqual([
    "start-order 1 former",
    "target-record-changed former",
    "home-taken next",
    "target-session-opened next",
    "start-order 65 next",
    "run-ended 65 next",
  ]);
});

test("a release that ended the wait of a later owner is listed once, also where its start names it", () => {
  const pool = "pool-1";
  const timeline = readTimelineEvents({
    former: writeLog(0, ["start-order", { task, run: 1, target: "first" }]),
    next: writeLog(
      10,
      ["target-session-opened", { pool, target: "other" }],
      ["target-inherited", { pool, target: "first" }],
      ["target-runs-released", { pool, target: "first", isAwaited: true }],
      [
        "start-order",
        { task, run: 65, target: "other", startBasis: "none-awaited", afterRun: 64, afterTarget: "first" },
      ],
    ),
  });
  expect(timeline).toEqual([
    "start-order 1 former",
    "target-inherited next",
    "target-runs-released next",
    "start-order 65 next",
  ]);
});
